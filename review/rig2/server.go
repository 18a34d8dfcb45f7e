//go:build review2

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/platform/wire"
)

// Names of header fields that the nodes don't use: the model that a request asks for, and the load of
// a server.
var (
	fieldPrefix = strings.TrimSuffix(wire.FieldID, "Attempt-Id")
	fieldModel  = fieldPrefix + "Model"
	fieldLoad   = fieldPrefix + "Server-Load"
)

// server is a stand-in for a server of a service: it registers itself, runs requests and says so.
type server struct {
	rig           *rig
	id, service   string
	zone, address string
	slots         int
	// streams is set for a model server: it answers with events.
	streams bool
	// unframed is set if streams have neither a length nor chunks.
	unframed bool
	// stream returns the number of events of a stream with a path and the time between two.
	stream func(path string) (events int, pause time.Duration)
	// work is how long a plain request runs.
	work time.Duration
	// onRun, if it is set, is called when a request begins to run. If it returns true, the
	// server crashes.
	onRun func(s *server, q *http.Request, body string) bool
	// onAnswer, if it is set, is called before the answer of a request that has run is
	// written. If it returns true, the connection is reset instead.
	onAnswer func(s *server, q *http.Request) bool
	// idle, if it is above zero, is how long the server keeps idle connections.
	idle atomic.Int64

	mu       sync.Mutex
	up       bool
	listener net.Listener
	conns    map[net.Conn]struct{}
	born     int64
	sequence int
	// byPath counts the requests that run, by the first segment of their paths.
	byPath  map[string]int
	running atomic.Int64
	runs    atomic.Int64
	stamp   atomic.Int64
}

// entryTime is the silence after which the store removes the entry of a server: three heartbeats.
const entryTime = 3 * 1200 * time.Millisecond

// addServer starts a server at a free port of its own loopback address.
func (r *rig) addServer(s *server) *server {
	s.rig = r
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", r.prefix, 100+len(r.servers)))
	if err != nil {
		r.fail("server: %v", err)
	}
	s.address = l.Addr().String()
	r.servers = append(r.servers, s)
	s.serve(l)
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			s.heartbeat()
		}
	}()
	return s
}

// serve begins an incarnation of the server.
func (s *server) serve(l net.Listener) {
	s.mu.Lock()
	s.up, s.listener, s.conns, s.born = true, l, map[net.Conn]struct{}{}, time.Now().UnixMilli()
	s.mu.Unlock()
	s.heartbeat()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if !s.up {
				s.mu.Unlock()
				reset(c)
				continue
			}
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			go s.serveConn(c)
		}
	}()
}

// heartbeat writes the entry of the server to the store.
func (s *server) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.rig.store == nil {
		return
	}
	s.sequence++
	s.rig.put(feeds.Endpoints, s.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
		s.service, s.address, s.zone, s.slots, s.sequence, s.born))
}

// crash ends the server as a kill of its process does: all connections are reset and nobody
// listens. It is back after some time, under its id, as another incarnation.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	s.listener.Close()
	for c := range s.conns {
		reset(c)
	}
	s.conns = nil
	s.mu.Unlock()
	s.rig.note("server %s crashes", s.id)
	time.AfterFunc(entryTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.up {
			s.rig.put(feeds.Endpoints, s.id, "")
		}
	})
	time.AfterFunc(down, func() {
		for range 100 {
			if l, err := net.Listen("tcp", s.address); err == nil {
				s.serve(l)
				s.rig.note("server %s is back", s.id)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		s.rig.fail("server %s can't listen again", s.id)
	})
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (s *server) serveConn(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		if idle := s.idle.Load(); idle > 0 {
			// A connection that was idle for so long is forgotten: nothing tells the other end,
			// and what it sends next is answered with a reset.
			waited := time.Now()
			if _, err := br.Peek(1); err != nil {
				return
			}
			if time.Since(waited) > time.Duration(idle) {
				s.rig.note("server %s resets a connection that had been idle", s.id)
				reset(c)
				return
			}
		}
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if !s.serveRequest(c, q, string(body)) || q.Close {
			return
		}
	}
}

// serveRequest answers one request. It returns false if the connection has ended.
func (s *server) serveRequest(c net.Conn, q *http.Request, body string) bool {
	id := q.Header.Get(wire.FieldID)
	if want := q.Header.Get(wire.FieldExpectedEndpoint); want != "" && want != s.id {
		return s.write(c, 421, map[string]string{wire.FieldID: id, wire.FieldNotRun: "1"}, "")
	}
	switch q.URL.Path {
	case wire.ReportPath:
		if !s.streams {
			return s.write(c, 404, nil, "")
		}
		n := s.running.Load()
		b, _ := json.Marshal(map[string]any{"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
			"waiting_count": 0, "running_count": n, "kv_used": n * 5000, "kv_total": 315000, "handles": 0})
		return s.write(c, 200, map[string]string{"Content-Type": "application/json"}, string(b))
	case wire.OrderPath:
		return s.write(c, 200, map[string]string{"Content-Type": "application/json"}, `{"free":100000}`)
	}
	if id == "" {
		return s.write(c, 400, map[string]string{wire.FieldNotRun: "1"}, "")
	}
	n := s.running.Add(1)
	defer s.running.Add(-1)
	if int(n) > s.slots+24 {
		return s.write(c, 503, map[string]string{wire.FieldID: id, wire.FieldNotRun: "1"}, "")
	}
	s.runs.Add(1)
	s.rig.note("run %s %s at %s", id, q.URL.Path, s.id)
	defer s.count(q.URL.Path)()
	if s.onRun != nil && s.onRun(s, q, body) {
		return false
	}
	headers := map[string]string{
		wire.FieldID:        id,
		wire.FieldSignature: fmt.Sprintf("%s.%d", s.id, s.stamp.Add(1)),
		fieldLoad:           fmt.Sprintf("%d,0,%d", n, s.slots),
	}
	if s.streams {
		return s.writeStream(c, q, headers)
	}
	time.Sleep(s.work)
	if s.onAnswer != nil && s.onAnswer(s, q) {
		reset(c)
		return false
	}
	return s.write(c, 200, headers, answerBody(id))
}

// count counts a request that runs until the function that it returns is called.
func (s *server) count(path string) (end func()) {
	segment := strings.SplitN(path, "/", 3)[1]
	add := func(n int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.byPath == nil {
			s.byPath = map[string]int{}
		}
		s.byPath[segment] += n
	}
	add(1)
	return func() { add(-1) }
}

// runningOf returns the number of requests that run and whose paths begin with a segment.
func (s *server) runningOf(segment string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return 0
	}
	return s.byPath[segment]
}

// answerBody is the answer to a plain request.
func answerBody(id string) string { return "answer to " + id + " " + strings.Repeat("x", 760) }

func (s *server) write(c net.Conn, status int, headers map[string]string, body string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}

// writeStream writes the events after Last-Event-Id.
func (s *server) writeStream(c net.Conn, q *http.Request, headers map[string]string) bool {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")
	if s.unframed {
		b.WriteString("Connection: close\r\n")
	} else {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n")
	last, _ := strconv.Atoi(q.Header.Get(wire.FieldLastEvent))
	time.Sleep(60 * time.Millisecond)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return false
	}
	events, pause := s.stream(q.URL.Path)
	for i := last + 1; i <= events; i++ {
		if i > last+1 {
			time.Sleep(pause)
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, q.URL.Path)
		if !s.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return false
		}
	}
	if s.unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
