//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/platform/wire"
)

const (
	// slots is how many requests a server runs at once, queue how many more may wait.
	slots, queue = 6, 24
	// workTime is how long a request runs.
	workTime = 60 * time.Millisecond
)

// server stands in for a sound server of the plain service.
type server struct {
	w        *world
	id, zone string
	address  string
	born     int64
	http     *http.Server
	running  chan struct{}
	waiting  atomic.Int64
	// leaving is set once the server says in its answers that it leaves.
	leaving atomic.Bool
	// sequence counts its records in the store.
	sequence atomic.Int64
}

func (w *world) startServer(i int, zone string) (*server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.network, 101+i))
	if err != nil {
		return nil, err
	}
	s := &server{w: w, id: fmt.Sprintf("i-%d", i), zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), running: make(chan struct{}, slots)}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	w.line("server %s starts at %s", s.id, s.address)
	return s, nil
}

// entry returns the next record of the server.
func (s *server) entry(state string) []byte {
	b, _ := json.Marshal(map[string]any{
		"service": "portal", "address": s.address, "zone": s.zone, "version": "v1", "slots": slots, "state": state,
		"cold_remaining_ms": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	return b
}

// write writes a record of the server to the store.
func (s *server) write(state string) {
	e := s.entry(state)
	w := s.w
	if w.store.put(topicServers, s.id, e) {
		w.line("store: servers/%s is %s", s.id, e)
	}
}

// beatUntil writes the server's record at each interval until stop is closed; it writes none in an
// empty state.
func (s *server) beatUntil(stop <-chan struct{}, state func() string) {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			if st := state(); st != "" {
				s.write(st)
			}
		}
	}
}

// exit ends the server at once; work that it has not finished is lost.
func (s *server) exit() {
	s.w.line("server %s exits", s.id)
	s.http.Close()
}

func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	id := r.Header.Get(wire.FieldID)
	if id != "" {
		h.Set(wire.FieldID, id)
	}
	if s.leaving.Load() {
		h.Set(wire.FieldLeaving, wire.LeavingValue)
		h.Set("Connection", "close")
	}
	switch want := r.Header.Get(wire.FieldExpectedEndpoint); {
	case want != "" && want != s.id:
		h.Set(wire.FieldNotRun, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == wire.ReportPath:
		rw.WriteHeader(http.StatusNotFound)
		return
	case id == "":
		h.Set(wire.FieldNotRun, "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.waiting.Add(1) > queue+slots {
		s.waiting.Add(-1)
		h.Set(wire.FieldNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	s.running <- struct{}{}
	defer func() { <-s.running }()
	s.w.mu.Lock()
	if q := s.w.seen[id]; q != nil {
		q.ran = append(q.ran, s.id)
	}
	s.w.mu.Unlock()
	s.w.line("run %s at %s for tenant %q", id, s.id, r.Header.Get(wire.FieldWorkspace))
	time.Sleep(workTime)
	h.Set(wire.FieldSignature, s.id+"."+id)
	fmt.Fprintf(rw, "done %s", id)
}
