package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/lab/vmlist"
	"laburnumstack.org/laburnum/internal/node"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Node is a node of the fleet. It can be stopped and started again.
type Node struct {
	fleet *Fleet
	index int

	// mu guards the fields below.
	mu   sync.Mutex
	node *node.Node
	// stop begins the node's graceful shutdown. It is nil before Start and after
	// Stop.
	stop context.CancelFunc
	// done receives the result of node.Run.
	done chan error
}

// Start starts the node on new ports and adds it to the VM list, where it
// replaces the entry from before a restart.
func (n *Node) Start() error {
	f := n.fleet
	name := ident.NodeName(fmt.Sprintf("%s-%d", f.Plan.DataCentre(n.index), n.index+1))
	started := &node.Node{
		Logger: f.Logger.With().Str("node", string(name)).Logger(),
		Settings: node.Settings{
			Name: name, DataCentre: f.Plan.DataCentre(n.index),
			Listen: listenAddress, Admin: listenAddress, Peer: listenAddress,
			Log: f.Log.Address, VMs: f.VMs.Address, AdminToken: f.AdminToken,
			LogRetention: retention, SnapshotEvery: time.Minute, DrainDelay: f.DrainDelay,
			Peers: f.peerAddrs(),
		},
	}
	if err := started.Listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	n.mu.Lock()
	n.node, n.stop, n.done = started, cancel, done
	n.mu.Unlock()
	go func() { done <- started.Run(ctx) }()
	f.VMs.Set(vmlist.VM{Name: string(name), Address: started.PeerAddr(), DataCentre: f.Plan.DataCentre(n.index), Role: "Node"})
	return nil
}

func (f *Fleet) peerAddrs() []string {
	var addrs []string
	for _, n := range f.Nodes {
		if a := n.peerAddr(); a != "" {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

// Stop stops the node gracefully and waits until it has ended.
func (n *Node) Stop() error {
	n.mu.Lock()
	stop, done := n.stop, n.done
	n.stop = nil
	n.mu.Unlock()
	if stop == nil {
		return nil
	}
	stop()
	return <-done
}

func (n *Node) currentNode() *node.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.node
}

func (n *Node) peerAddr() string {
	if current := n.currentNode(); current != nil {
		return current.PeerAddr()
	}
	return ""
}

// CallerAddr returns the node's address for callers.
func (n *Node) CallerAddr() string { return n.currentNode().CallerAddr() }

// AdminAddr returns the node's address for operators.
func (n *Node) AdminAddr() string { return n.currentNode().AdminAddr() }
