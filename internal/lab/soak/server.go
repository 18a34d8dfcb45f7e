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
	// shedProbability is the probability that an endpoint rejects a request with
	// 503 without running it. truncateProbability is that of a plain answer cut
	// off in the middle; for streams it is twice as high.
	shedProbability     = 0.02
	truncateProbability = 0.02
	// meanWorkTime is the mean duration of a plain request, meanEventPause the
	// mean pause between two events.
	meanWorkTime   = 30 * time.Millisecond
	meanEventPause = 15 * time.Millisecond
)

// server is a stand-in endpoint behind a proxy.
type server struct {
	codec   Codec
	journal *Journal
	proxy   *Proxy
	// workspace is the one that nodes must name in requests.
	workspace ident.WorkspaceName

	// replaceLock is held by a fault that stops the endpoint and starts another in
	// its place.
	replaceLock sync.Mutex

	mu       sync.Mutex
	record   topol.Endpoint
	listener net.Listener
	http     *http.Server
}

// start serves as the given endpoint, on a new port behind the proxy.
func (s *server) start(e topol.Endpoint) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h := &http.Server{Handler: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record, s.listener, s.http = e, l, h
	go h.Serve(l)
	return nil
}

// stop closes the endpoint's listener and connections at once.
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
	return s.record
}

func (s *server) setLeaving() topol.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Leaving = true
	return s.record
}

// ServeHTTP runs a request, unless it is meant for another endpoint or is shed.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := s.codec.ParseEndpointRequest(r.Header)
	self := s.endpoint()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if req.Endpoint != self.Name {
		s.codec.SetNotRun(w.Header(), req.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rand.Float64() < shedProbability {
		s.codec.SetNotRun(w.Header(), req.ID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.checkRequest(self, req, r, body)
	end := s.journal.StartRun(req.ID, self.Name)
	s.codec.SetSignature(w.Header(), req.ID, self.Name)
	if events := eventsOf(r.URL.Path); events > 0 {
		end(s.answerStream(r.Context(), w, req, events))
		return
	}
	end(s.answerPlain(r.Context(), w, req, body))
}

// checkRequest records violations by the request as it reached the endpoint.
func (s *server) checkRequest(self topol.Endpoint, req EndpointRequest, r *http.Request, body []byte) {
	if req.Key != "" {
		s.journal.AddViolation("unasked", "request %s reached %s with the caller's key", req.ID, self.Name)
	}
	if req.Workspace != s.workspace {
		s.journal.AddViolation("unasked", "request %s reached %s for workspace %q", req.ID, self.Name, req.Workspace)
	}
	if string(body) != bodyOf(req.ID, r.URL.Path) {
		s.journal.AddViolation("unasked", "request %s reached %s with a changed body of %d bytes", req.ID, self.Name, len(body))
	}
	if service := serviceOf(r.URL.Path); service != self.Service {
		s.journal.AddViolation("route", "request %s for service %s reached %s of service %s", req.ID, service, self.Name, self.Service)
	}
}

// answerPlain answers a plain request after a random time. It reports whether the
// node closed the connection before.
func (s *server) answerPlain(ctx context.Context, w http.ResponseWriter, req EndpointRequest, body []byte) bool {
	if !delay.For(ctx, time.Duration(rand.ExpFloat64()*float64(meanWorkTime))) {
		return true
	}
	text := answerOf(req.ID, string(body))
	if rand.IntN(2) == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	if rand.Float64() < truncateProbability {
		w.Write([]byte(text[:len(text)/2]))
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, text)
	return ctx.Err() != nil
}

// answerStream answers with the events after the last one that the node has. It
// reports whether the node closed the connection before the end.
func (s *server) answerStream(ctx context.Context, w http.ResponseWriter, req EndpointRequest, events int) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	truncatedEvent := -1
	if rand.Float64() < truncateProbability*2 {
		truncatedEvent = rand.IntN(events) + 1
	}
	for i := req.LastEvent + 1; i <= events; i++ {
		if !delay.For(ctx, time.Duration(rand.ExpFloat64()*float64(meanEventPause))) {
			return true
		}
		text := eventOf(req.ID, i)
		if i == truncatedEvent {
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

// The contents of requests and answers are derived from the request's id and path,
// so that callers and endpoints can check what they receive.

// pathOf returns the path of a request. For streams, it ends with the number of
// events.
func pathOf(service ident.ServiceName, k topol.Kind, events int) string {
	if k == topol.Stream {
		return fmt.Sprintf("/%s/%s/%d", service, k, events)
	}
	return fmt.Sprintf("/%s/%s/x", service, k)
}

// eventsOf returns the number of events that a path asks for, or zero if it is not
// that of a stream.
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

// bodyOf returns a request's body. It is some 70 kB long for ids that end with 7,
// and short for all others.
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
