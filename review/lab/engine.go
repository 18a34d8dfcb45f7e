//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/platform/wire"
)

const (
	// firstEventTime is the time from a request's arrival at an engine to its first event,
	// eventPause that between two events, and events how many a stream has.
	firstEventTime = 120 * time.Millisecond
	eventPause     = 40 * time.Millisecond
	events         = 12
	// downTime is how long an engine is down after a crash.
	downTime = 2 * time.Second
)

// badPart is the part of a prompt that crashes each engine which begins to write an answer on it,
// sharedPart the first part of all prompts.
const badPart, sharedPart = "bad0bad0", "5c1e07a2"

// engine stands in for a model server. Each start has a new ID.
type engine struct {
	w       *world
	zone    string
	address string
	starts  atomic.Int64
	index   int

	mu    sync.Mutex
	id    string
	up    bool
	conns map[net.Conn]struct{}
	srv   *http.Server
	// crashes holds the times of all crashes.
	crashes []time.Time
}

func (w *world) startEngine(i int, zone string) (*engine, error) {
	e := &engine{w: w, zone: zone, index: i, address: fmt.Sprintf("%s.%d:0", w.network, 101+i), conns: map[net.Conn]struct{}{}}
	return e, e.start()
}

// start starts the engine, at the address that it had.
func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = l.Addr().String()
	e.id = fmt.Sprintf("m-%d-%d", e.index, e.starts.Add(1))
	e.up = true
	e.srv = &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s == http.StateNew {
			e.conns[c] = struct{}{}
		} else if s == http.StateClosed {
			delete(e.conns, c)
		}
	}}
	go e.srv.Serve(l)
	e.w.line("engine %s starts at %s", e.id, e.address)
	e.writeEntry()
	return nil
}

// writeEntry writes the engine's record to the store. The caller holds e.mu.
func (e *engine) writeEntry() {
	b, _ := json.Marshal(map[string]any{
		"service": "llm", "address": e.address, "zone": e.zone, "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	e.w.store.put(topicServers, e.id, b)
}

// crash ends the engine: all connections are reset. It is back after downTime, under a new ID.
func (e *engine) crash(id string) {
	e.mu.Lock()
	if !e.up || e.id != id {
		e.mu.Unlock()
		return
	}
	e.up = false
	e.crashes = append(e.crashes, time.Now())
	e.w.line("engine %s crashes", e.id)
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	}
	srv := e.srv
	e.conns = map[net.Conn]struct{}{}
	e.mu.Unlock()
	srv.Close()
	time.AfterFunc(downTime, func() {
		e.w.store.put(topicServers, id, nil)
		e.start()
	})
}

func (e *engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	me := e.id
	e.mu.Unlock()
	h := rw.Header()
	id := r.Header.Get(wire.FieldID)
	if id != "" {
		h.Set(wire.FieldID, id)
	}
	switch want := r.Header.Get(wire.FieldExpectedEndpoint); {
	case r.URL.Path == wire.ReportPath:
		h.Set("Content-Type", "application/json")
		fmt.Fprint(rw, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting_count":0,"running_count":0,"kv_used":0,"kv_total":315000,"handles":0}`)
		return
	case r.URL.Path == wire.OrderPath:
		rw.WriteHeader(http.StatusBadRequest)
		return
	case want != "" && want != me:
		h.Set(wire.FieldNotRun, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.w.line("arrives %s at %s", id, me)
	time.Sleep(firstEventTime)
	e.w.mu.Lock()
	if q := e.w.seen[id]; q != nil {
		q.ran = append(q.ran, me)
	}
	e.w.mu.Unlock()
	e.w.line("run %s at %s", id, me)
	if strings.Contains(r.Header.Get(wire.FieldParts), badPart) {
		e.crash(me)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set(wire.FieldSignature, me+"."+id)
	from := 0
	fmt.Sscan(r.Header.Get(wire.FieldLastEvent), &from)
	for i := from + 1; i <= events; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: x\n\n", i)
		if rw.(http.Flusher).Flush(); r.Context().Err() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}
