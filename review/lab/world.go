//go:build review

package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumstack.org/laburnum/platform/wire"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment: the store, the servers of one plain service, and nodes, which are
// processes of their own. The clients are in this process.
type world struct {
	*record
	dir, root, temp string
	trouble         bool
	network         string
	store           *store
	client          *http.Client

	mu    sync.Mutex
	nodes []*node
	seen  map[string]*sent
	// quiet is set once nodes may end.
	quiet bool
	ids   atomic.Int64
}

// sent is one request of a client and what became of it.
type sent struct {
	id, key, method, via string
	at                   time.Time
	// ran lists the servers that ran it.
	ran []string
	// status is that of the answer, zero if there was none; leaving is set if the answer said
	// that its server leaves.
	status   int
	leaving  bool
	answered time.Time
}

// Bounds and limits of the deployment, those of the sheets.
const (
	drainMS  = 2000
	graceS   = 8
	revokeMS = 5000
	beat     = 1200 * time.Millisecond
)

func newWorld(dir string) (*world, error) {
	root, err := filepath.Abs(filepath.Join(dir, "..", ".."))
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		record: &record{file: f, began: time.Now()}, dir: dir, root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0",
		network: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)),
		seen:    map[string]*sent{},
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	w.store, err = newStore(w.network + ".250:0")
	w.line("trouble: %v", w.trouble)
	return w, err
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	w.quiet = true
	nodes := w.nodes
	w.mu.Unlock()
	for _, n := range nodes {
		n.cmd.Process.Kill()
		<-n.ended
	}
	os.RemoveAll(w.temp)
	w.file.Close()
}

// freePort returns a port that is free at each of some addresses.
func freePort(hosts ...string) int {
next:
	for {
		p := 10_000 + rand.IntN(10_000)
		for _, h := range hosts {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, p))
			if err != nil {
				continue next
			}
			l.Close()
		}
		return p
	}
}

// node is a process of the system on a machine of its own, which is a loopback address.
type node struct {
	name, ip, zone string
	front, ready   int
	cmd            *exec.Cmd
	ended          chan struct{}
	// killed is set once the case has killed the process.
	killed atomic.Bool
}

func (n *node) frontAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.front) }

// ports are those that are the same on all machines.
type ports struct{ front, ready, control, peer, metrics int }

var shared ports

// startNode starts a node on the ith machine with the command of the deploy file.
func (w *world) startNode(i int, zone string, bootstrap bool) (*node, error) {
	ip := fmt.Sprintf("%s.%d", w.network, 11+i)
	if shared.front == 0 {
		hosts := []string{ip, w.network + ".12", w.network + ".13", w.network + ".14", w.network + ".15"}
		shared = ports{freePort(hosts...), freePort(hosts...), freePort(hosts...), freePort(hosts...), freePort(hosts...)}
	}
	n := &node{name: fmt.Sprintf("front-%s-%d", zone, i), ip: ip, zone: zone, front: shared.front, ready: shared.ready, ended: make(chan struct{})}
	path := filepath.Join(w.temp, n.name+".yaml")
	if err := os.WriteFile(path, []byte(w.settings(n, bootstrap)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(w.temp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	n.cmd = exec.Command("target/laburnumgw", "--metrics-port", fmt.Sprint(shared.metrics))
	n.cmd.Dir = w.root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.temp, wire.SettingsVariable + "=" + path}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	w.line("node %s starts at %s", n.name, n.frontAddress())
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	go func() {
		err := n.cmd.Wait()
		w.mu.Lock()
		quiet := w.quiet
		w.mu.Unlock()
		if !quiet && !n.killed.Load() {
			w.line("node %s ended: %v", n.name, err)
		}
		close(n.ended)
	}()
	return n, nil
}

//go:embed settings.yaml
var settingsText string

// settings returns the settings file of a node, with the bounds of the sheets.
func (w *world) settings(n *node, bootstrap bool) string {
	return fmt.Sprintf(settingsText, n.name, n.ip, n.zone, n.ip, shared.front, n.ip, shared.ready, n.ip, shared.control, shared.peer, shared.peer,
		w.network, shared.control, w.network, shared.control, w.network, shared.control, bootstrap, beat.Milliseconds(), drainMS, graceS, revokeMS, w.store.address)
}

// isReady asks a node whether it takes requests, as the platform does.
func (w *world) isReady(n *node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", n.ip, n.ready, wire.ReadyPath), nil)
	res, err := w.client.Do(r)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// waitReady waits until a node takes requests.
func (w *world) waitReady(n *node, d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if w.isReady(n) {
			w.line("node %s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready", n.name)
}

// clientTimeout is how long a client waits for an answer; the sheet's deadline for plain requests.
const clientTimeout = 4 * time.Second

// send sends one request to a node over a new connection and waits for its answer.
func (w *world) send(n *node, method, path, key string) *sent {
	q := &sent{id: fmt.Sprintf("%s-%06d", filepath.Base(w.temp), w.ids.Add(1)), key: key, method: method, via: n.name}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+n.frontAddress()+path, nil)
	r.Host = clientHost
	r.Header.Set(wire.FieldID, q.id)
	r.Header.Set(wire.FieldTimeLeft, fmt.Sprint(clientTimeout.Milliseconds()))
	r.Header.Set(wire.FieldKey, wire.KeyPrefix+key)
	w.mu.Lock()
	w.seen[q.id] = q
	q.at = time.Now()
	w.mu.Unlock()
	w.line("sent %s %s %s with key %s to %s", q.id, method, path, key, n.name)
	res, err := w.client.Do(r)
	status, leaving := 0, false
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		status, leaving = res.StatusCode, res.Header.Get(wire.FieldLeaving) == wire.LeavingValue
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		q.status = status
	}
	q.leaving, q.answered = leaving, time.Now()
	w.line("answered %s: status %d, leaving %v, error %v", q.id, status, leaving, err)
	return q
}

// sendEvery sends requests at a rate to each of some nodes until the context ends, bookings and
// look-ups in turn. It waits for the answers.
func (w *world) sendEvery(ctx context.Context, pause time.Duration, key string, nodes func() []*node) {
	var wg sync.WaitGroup
	t := time.NewTicker(pause)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-t.C:
		}
		for _, n := range nodes() {
			wg.Go(func() {
				if i%2 == 0 {
					w.send(n, http.MethodPost, "/book/x", key)
				} else {
					w.send(n, http.MethodGet, "/map/x", key)
				}
			})
		}
	}
}

// requests returns all requests of clients in the order in which they were sent.
func (w *world) requests() []*sent {
	w.mu.Lock()
	defer w.mu.Unlock()
	qs := make([]*sent, 0, len(w.seen))
	for _, q := range w.seen {
		qs = append(qs, q)
	}
	for i := range qs {
		for j := i; j > 0 && qs[j].at.Before(qs[j-1].at); j-- {
			qs[j], qs[j-1] = qs[j-1], qs[j]
		}
	}
	return qs
}
