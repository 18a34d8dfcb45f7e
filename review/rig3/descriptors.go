//go:build review3

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/platform/wire"
)

func init() { cases["descriptors"] = descriptors }

const (
	// descriptorLimit is file_descriptors of the settings.
	descriptorLimit = 4200
	// burst is the largest dose of many users at once.
	burst = 2.9
	// shortRate and longRate are the prompts a second on the sheet with a deadline of 10 s, and those
	// with one of 15 s, plainRate the other requests.
	shortRate, longRate, plainRate = 47 + 2.39, 1.44, 4.36 + 3
	shortTime, longTime            = 9500 * time.Millisecond, 14 * time.Second
	plainWork                      = 60 * time.Millisecond
	// keptTime is how long clients keep an idle connection: four fifths of the idle timeout.
	keptTime = 12 * time.Second
	// loadTime is how long the burst lasts.
	loadTime    = 40 * time.Second
	keptClients = 20
)

// descriptors checks LOST with as many users as a burst brings, at the last node that is left.
func descriptors(r *rig) (bool, error) {
	for _, z := range []string{"poa-a", "poa-b", "canoas-c", "poa-a", "poa-b", "canoas-c"} {
		s := r.newServer(fmt.Sprintf("i-%s-%d", z, len(r.servers)), z, plainWork, func(*http.Request) []byte { return []byte("ok") })
		s.srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if strings.HasPrefix(req.URL.Path, "/prompt/") && req.Header.Get(wire.FieldExpectedEndpoint) == s.id {
				streamEvents(s, w, req)
				return
			}
			s.ServeHTTP(w, req)
		})
	}
	prompt := route("prompt", topol.Stream, 15*time.Second)
	prompt.Resumable, prompt.GapMS = true, 1000
	r.store.put(topicOperator, wire.ConfigKey, r.newConfig([]wire.Route{prompt, route("read", topol.Idempotent, 4*time.Second)}, "key-1"))
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < 3*descriptorLimit {
		return false, fmt.Errorf("the rig needs %d descriptors, the limit is %d: %v", 3*descriptorLimit, own.Cur, err)
	}
	for _, n := range r.nodes {
		if err := limitDescriptors(n.cmd.Process.Pid); err != nil {
			return false, err
		}
	}
	l := &load{rig: r, nodes: r.nodes, stop: make(chan struct{})}
	if r.trouble {
		for _, n := range r.nodes[1:] {
			n.kill()
		}
		l.nodes = r.nodes[:1]
	}
	time.Sleep(stableWindow + time.Second)
	l.wg.Go(l.check)
	for range keptClients {
		l.wg.Go(l.useKept)
	}
	x := 1.0
	if r.trouble {
		x = burst
	}
	l.every(shortRate*x, "/prompt/9500", shortTime)
	l.every(longRate*x, "/prompt/14000", longTime)
	l.every(plainRate*x, "/read/x", 2*time.Second)
	select {
	case <-time.After(loadTime):
	case <-r.nodes[0].ended:
	}
	time.Sleep(time.Second)
	close(l.stop)
	l.wg.Wait()
	r.printf("%d requests on kept connections have no answer, %d others; %d were answered, %d refused", l.lost.Load(), l.cut.Load(), l.served.Load(), l.refused.Load())
	return l.lost.Load() > 3, nil
}

// limitDescriptors sets the limit on the descriptors of a process.
func limitDescriptors(pid int) error {
	limit := syscall.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// streamEvents answers with events for the number of milliseconds in the path.
func streamEvents(s *server, w http.ResponseWriter, req *http.Request) {
	var ms, last int
	fmt.Sscanf(req.URL.Path, "/prompt/%d", &ms)
	fmt.Sscan(req.Header.Get(wire.FieldLastEvent), &last)
	id := req.Header.Get(wire.FieldID)
	w.Header().Set(wire.FieldID, id)
	w.Header().Set(wire.FieldSignature, s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	const pause = 240 * time.Millisecond
	for i := last + 1; i <= ms/int(pause.Milliseconds()); i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", i, id, i)
		if c.Flush() != nil {
			return
		}
		time.Sleep(pause)
	}
}

// load are the clients of the nodes.
type load struct {
	rig *rig
	// nodes are those that are left.
	nodes []*node
	stop  chan struct{}
	wg    sync.WaitGroup

	served, refused, lost, cut atomic.Int64
}

// sleep waits for a time. It returns false if the load ends.
func (l *load) sleep(d time.Duration) bool {
	select {
	case <-l.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// check asks whether the nodes are ready, once per second as the platform does.
func (l *load) check() {
	for l.sleep(time.Second) {
		for _, n := range l.nodes {
			l.rig.printf("%s is ready: %v, descriptors: %d; %d requests answered, %d refused", n.name, n.isReady(), n.descriptors(), l.served.Load(), l.refused.Load())
		}
	}
}

// descriptors returns how many descriptors the process has open.
func (n *node) descriptors() int {
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	return len(fds)
}

// address returns that of a node that is left.
func (l *load) address() string { return l.nodes[rand.IntN(len(l.nodes))].address() }

// every sends requests at a rate, each on a new connection that is kept idle for keptTime.
func (l *load) every(rate float64, path string, deadline time.Duration) {
	l.wg.Go(func() {
		for l.sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))) {
			l.wg.Go(func() {
				c := &client{address: l.address()}
				defer func() { c.close() }()
				if c.connect() == nil && l.request(c, path, deadline, &l.cut) {
					l.sleep(keptTime)
				}
			})
		}
	})
}

// useKept sends one request after the other over one connection.
func (l *load) useKept() {
	c := &client{address: l.address()}
	defer func() { c.close() }()
	lost := &l.cut
	for l.sleep(10 * time.Millisecond) {
		if c.connect() != nil {
			return
		}
		if !l.request(c, "/read/x", 2*time.Second, lost) {
			return
		}
		lost = &l.lost
	}
}

// request sends a request and reads its answer. It counts one without an answer in lost, and reports
// whether the connection can be used again.
func (l *load) request(c *client, path string, deadline time.Duration, lost *atomic.Int64) bool {
	id := newID()
	if c.send("GET", path, id, "key-1", deadline) != nil {
		return false
	}
	res, err := c.response("GET")
	if err != nil {
		lost.Add(1)
		l.rig.printf("client: %s has no answer: %v", id, err)
		return false
	}
	_, err = io.Copy(io.Discard, res.Body)
	switch {
	case err != nil:
		l.cut.Add(1)
	case res.StatusCode == http.StatusOK:
		l.served.Add(1)
	default:
		l.refused.Add(1)
	}
	return err == nil && !res.Close
}
