//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
	"laburnumstack.org/laburnum/platform/wire"
)

// server is a stand-in of a plain server. It runs each request that names it and answers with its
// stamp.
type server struct {
	rig      *rig
	id, zone string
	addr     string
	// work is how long a request runs, body returns the body of its answer.
	work time.Duration
	body func(r *http.Request) []byte
	// onRun is called when a request begins to run; it may be nil.
	onRun func(id string, r *http.Request)
	srv   *http.Server
	mu    sync.Mutex
	runs  map[string]int
	born  int64
}

// newServer starts a server and writes its record.
func (r *rig) newServer(id, zone string, work time.Duration, body func(*http.Request) []byte) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{rig: r, id: id, zone: zone, addr: l.Addr().String(), work: work, body: body, runs: map[string]int{}, born: time.Now().UnixMilli()}
	s.srv = &http.Server{Handler: s}
	go s.srv.Serve(l)
	r.servers = append(r.servers, s)
	s.publish(wire.StateReady)
	return s
}

// publish writes the record of the server.
func (s *server) publish(state string) {
	cold := 0.0
	b, err := json.Marshal(wire.Endpoint{Service: serviceName, Address: s.addr, Zone: ident.DataCentre(s.zone), Slots: 16, State: state, Born: s.born, Sequence: 1, ColdMS: &cold})
	must(err)
	s.rig.store.put(topicServers, s.id, b)
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.FieldID)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if id != "" {
		w.Header().Set(wire.FieldID, id)
	}
	switch {
	case r.Header.Get(wire.FieldExpectedEndpoint) != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set(wire.FieldNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rig.printf("%s: runs %s", s.id, id)
	if s.onRun != nil {
		s.onRun(id, r)
	}
	time.Sleep(s.work)
	b := s.body(r)
	w.Header().Set(wire.FieldSignature, fmt.Sprintf("%s.%s", s.id, id))
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.Write(b)
}
