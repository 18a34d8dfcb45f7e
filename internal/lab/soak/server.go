package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// shedShare is the part of requests that an endpoint sheds, and breakShare
	// the part whose stream or answer it breaks off.
	shedShare  = 0.02
	breakShare = 0.02
	// workTime is the mean time of a plain request and eventPause that between
	// two events.
	workTime   = 30 * time.Millisecond
	eventPause = 15 * time.Millisecond
)

// server is a stand-in endpoint behind a proxy.
type server struct {
	codec   Codec
	journal *Journal
	proxy   *Proxy
	// workspace is what nodes must tell the endpoint.
	workspace ident.WorkspaceName

	// turn keeps faults apart that take the endpoint away.
	turn sync.Mutex

	mu       sync.Mutex
	state    topol.Endpoint
	listener net.Listener
	http     *http.Server
}

// start listens and serves under a name.
func (s *server) start(e topol.Endpoint) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h := &http.Server{Handler: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.listener, s.http = e, l, h
	go h.Serve(l)
	return nil
}

// stop ends the endpoint at once and cuts its connections.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http.Close()
}

func (s *server) target() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

func (s *server) endpoint() topol.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *server) setLeaving() topol.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Leaving = true
	return s.state
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in := s.codec.Received(r.Header)
	me := s.endpoint()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if in.Endpoint != me.Name {
		s.codec.NotRun(w.Header(), in.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rand.Float64() < shedShare {
		s.codec.NotRun(w.Header(), in.ID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.inspect(me, in, r, body)
	end := s.journal.Began(in.ID, me.Name)
	s.codec.Sign(w.Header(), in.ID, me.Name)
	if events := eventsOf(r.URL.Path); events > 0 {
		end(s.stream(r.Context(), w, in, events))
		return
	}
	end(s.plain(r.Context(), w, in, body))
}

// inspect checks what reached the endpoint.
func (s *server) inspect(me topol.Endpoint, in Received, r *http.Request, body []byte) {
	if in.Key != "" {
		s.journal.Fault("unasked", "request %s reached %s with its key", in.ID, me.Name)
	}
	if in.Workspace != s.workspace {
		s.journal.Fault("unasked", "request %s reached %s for workspace %q", in.ID, me.Name, in.Workspace)
	}
	if string(body) != bodyOf(in.ID, r.URL.Path) {
		s.journal.Fault("unasked", "request %s reached %s with %d other bytes", in.ID, me.Name, len(body))
	}
	if service := serviceOf(r.URL.Path); service != me.Service {
		s.journal.Fault("route", "request %s for %s reached %s of %s", in.ID, service, me.Name, me.Service)
	}
}

// plain answers after some work. It reports whether the node left before.
func (s *server) plain(ctx context.Context, w http.ResponseWriter, in Received, body []byte) bool {
	if !delay.For(ctx, time.Duration(rand.ExpFloat64()*float64(workTime))) {
		return true
	}
	text := answerOf(in.ID, string(body))
	if rand.IntN(2) == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	if rand.Float64() < breakShare {
		w.Write([]byte(text[:len(text)/2]))
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, text)
	return ctx.Err() != nil
}

// stream answers with events after the one that the node has. It reports
// whether the node left before the last.
func (s *server) stream(ctx context.Context, w http.ResponseWriter, in Received, events int) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	breaks := -1
	if rand.Float64() < breakShare*2 {
		breaks = rand.IntN(events) + 1
	}
	for i := in.After + 1; i <= events; i++ {
		if !delay.For(ctx, time.Duration(rand.ExpFloat64()*float64(eventPause))) {
			return true
		}
		text := eventOf(in.ID, i)
		if i == breaks {
			io.WriteString(w, text[:len(text)/2])
			c.Flush()
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, text)
		if c.Flush() != nil {
			return true
		}
	}
	return false
}

// Requests and answers are made so that each side can tell whether what it
// got belongs to the request.

// pathOf is the target of a request; streams tell their number of events.
func pathOf(service ident.ServiceName, k topol.Kind, events int) string {
	if k == topol.Stream {
		return fmt.Sprintf("/%s/%s/%d", service, k, events)
	}
	return fmt.Sprintf("/%s/%s/x", service, k)
}

func eventsOf(path string) int {
	parts := strings.Split(path, "/")
	n, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil {
		return 0
	}
	return n
}

func serviceOf(path string) ident.ServiceName {
	return ident.ServiceName(strings.Split(path, "/")[1])
}

// bodyOf is a request's body, up to some 70 kB long.
func bodyOf(id, path string) string {
	n := 10 + len(id)
	if id[len(id)-1] == '7' {
		n = 3000
	}
	return strings.Repeat(id+path+" ", n)
}

func answerOf(id, body string) string {
	return fmt.Sprintf("answer to %s with %d bytes %s", id, len(body), strings.Repeat(id, 20))
}

func eventOf(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, id, i) }
