package share

import (
	"context"
	"net/rpc"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// stateTimeout bounds FetchState; the caller then tries another peer.
	stateTimeout = 250 * time.Millisecond
	// changeTimeout bounds FetchChange, including the time for which the peer waits
	// for the wanted version.
	changeTimeout = 600 * time.Millisecond
	// permitTimeout bounds FetchPermit, for which a request waits.
	permitTimeout = 150 * time.Millisecond
)

// FetchState requests a peer's copy of the configuration and of the endpoint
// list. It returns rpc.ErrShutdown if this node can't connect to the peer. What the answer tells
// of parts of requests is known before FetchState returns.
func (m *Mesh) FetchState(address string, a relay.StateArgs) (relay.State, error) {
	a.From = m.self()
	st, err := fetch[relay.State](m, address, stateTimeout, "Node.State", a)
	if err == nil {
		setPartTimes(st.Parts, time.Now())
		deliver(st.Parts, m.OnPartStates, func(a relay.AgedPart) strik.PartState { return a.State })
	}
	return st, err
}

// FetchChange requests a part of an encoded change from a peer. It returns
// rpc.ErrShutdown if this node can't connect to the peer.
func (m *Mesh) FetchChange(address string, a relay.ChangeArgs) (relay.ChangePart, error) {
	a.From = m.self()
	return fetch[relay.ChangePart](m, address, changeTimeout, "Node.Change", a)
}

// FetchPermit requests from a node the permission to send one request to an endpoint. It
// returns rpc.ErrShutdown if this node can't connect to that node.
func (m *Mesh) FetchPermit(n ident.NodeName, k quota.Key) (relay.Permit, error) {
	return fetch[relay.Permit](m, m.addressOf(n), permitTimeout, "Node.Permit", relay.PermitArgs{From: m.self(), Key: k})
}

// fetch returns the reply of a peer to a call, or the zero value and an error.
func fetch[T any](m *Mesh, address string, timeout time.Duration, method string, args any) (T, error) {
	var reply, none T
	if err := m.callPeer(address, timeout, method, args, &reply); err != nil {
		// A call that timed out may still write to the reply.
		return none, err
	}
	return reply, nil
}

// callPeer calls a method of a peer, and connects to it first if this node keeps no connection
// to it. The reply must not be used if callPeer returns an error.
func (m *Mesh) callPeer(address string, timeout time.Duration, method string, args, reply any) error {
	m.mu.Lock()
	p := m.peers[address]
	m.mu.Unlock()
	if p == nil {
		return rpc.ErrShutdown
	}
	m.stats.callsMade.Add(1)
	c := p.acquireClient(m.ctx, timeout)
	if c == nil {
		return rpc.ErrShutdown
	}
	err := conns.CallRPC(m.ctx, c, timeout, method, args, reply)
	if errors.Is(err, context.DeadlineExceeded) {
		// A heartbeat shows soon whether the connection has gone silent.
		p.wakeUp()
	}
	return err
}
