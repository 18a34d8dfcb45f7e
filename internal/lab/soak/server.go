package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// refuseProbability is the probability that an endpoint refuses a request with
	// 503 without running it. truncateProbability is the probability that it cuts a
	// plain response off in the middle. A new stream is cut off with twice that
	// probability.
	refuseProbability   = 0.02
	truncateProbability = 0.02
	// unframedProbability is the probability that a stream has neither a length nor
	// chunks and ends with its connection.
	unframedProbability = 0.2
	// meanServiceTime is the mean duration of a plain request, meanEventPause the
	// mean pause between two events.
	meanServiceTime = 30 * time.Millisecond
	meanEventPause  = 15 * time.Millisecond
)

// endpointServer simulates an endpoint behind a proxy.
type endpointServer struct {
	codec   Codec
	journal *Journal
	proxy   *Proxy
	// workspace is the workspace that nodes must name in requests.
	workspace ident.WorkspaceName

	// replaceLock is held by a fault that stops the endpoint and starts another in
	// its place.
	replaceLock sync.Mutex
	// limit is the period in which the endpoint names a limit; nil if it names none.
	limit atomic.Pointer[limitPeriod]
	// rest is the period in which the endpoint asks for rest; nil if it doesn't.
	// statesLeaving is set while it says that it is leaving.
	rest          atomic.Pointer[restPeriod]
	statesLeaving atomic.Bool
	// crashing is the part that crashes endpoints, and onCrash crashes this one.
	crashing *atomic.Pointer[crashingPart]
	onCrash  func(*crashingPart)
	// silences is on while the endpoint falls silent in streams, repeats while it writes
	// earlier answers once more, and failResumes while all endpoints fail resumed streams.
	silences, repeats behaviour
	failResumes       *behaviour

	mu       sync.Mutex
	record   topol.Endpoint
	listener net.Listener
	http     *http.Server
	// conns are the open connections of http.
	conns map[net.Conn]struct{}
}

// start begins to serve as the given endpoint, on a new port behind the proxy.
func (s *endpointServer) start(e topol.Endpoint) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h := &http.Server{Handler: s, ConnState: s.trackConn, ConnContext: withKeptConn}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record, s.listener, s.http, s.conns = e, l, h, map[net.Conn]struct{}{}
	go h.Serve(l)
	return nil
}

func (s *endpointServer) trackConn(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// stop closes the endpoint's listener and resets its connections at once: a stream that
// only the end of its connection marks must not look complete.
func (s *endpointServer) stop() {
	s.mu.Lock()
	h, open := s.http, s.conns
	s.conns = map[net.Conn]struct{}{}
	for c := range open {
		reset(c)
	}
	s.mu.Unlock()
	h.Close()
}

func (s *endpointServer) target() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

func (s *endpointServer) endpoint() topol.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

func (s *endpointServer) setLeaving() topol.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Leaving = true
	return s.record
}

// ServeHTTP runs a request, unless it is meant for another endpoint or is refused
// at random.
func (s *endpointServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := s.codec.ParseEndpointRequest(r.Header)
	self := s.endpoint()
	if l := s.limit.Load(); l != nil && req.Endpoint == self.Name && self.Name == l.endpoint {
		l.recordArrival(time.Now())
		s.codec.SetLimit(w.Header(), limitRate)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if req.ID == "" {
		// Not a request of a caller, such as a probe.
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.repeatAnswer(r.Context(), req.ID)
	if req.Endpoint != self.Name {
		s.codec.SetNotRun(w.Header(), req.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.journal.RecordArrival(req.ID, self)
	if s.statesLeaving.Load() {
		s.codec.SetLeaving(w.Header())
		s.journal.RecordDeparture(self.Name)
	}
	if p := s.rest.Load(); p != nil && p.endpoint == self.Name && p.refuses(s.proxy.OwnerOf(r.RemoteAddr), time.Now()) {
		s.codec.SetRest(w.Header(), time.Until(p.until))
		s.codec.SetNotRun(w.Header(), req.ID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if rand.Float64() < refuseProbability {
		s.codec.SetNotRun(w.Header(), req.ID)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.checkRequest(self, req, r, body)
	if req.LastEvent > 0 && s.failResumes.isOn() {
		s.failResume(w, req.ID)
		return
	}
	cancelled := false
	end := s.journal.StartRun(req.ID, self.Name)
	// An answer that is cut off ends by a panic.
	defer func() { end(cancelled) }()
	s.codec.SetSignature(w.Header(), req.ID, self.Name)
	if events := eventCount(r.URL.Path); events > 0 {
		cancelled = s.answerStream(r.Context(), w, req, events)
		return
	}
	cancelled = s.answerPlain(r.Context(), w, req, body)
}

// checkRequest records a violation if the node forwarded the caller's key, named
// the wrong workspace, changed the body or sent the request to the wrong service.
func (s *endpointServer) checkRequest(self topol.Endpoint, req EndpointRequest, r *http.Request, body []byte) {
	if req.Key != "" {
		s.journal.AddViolation("unasked", "request %s reached %s with the caller's key", req.ID, self.Name)
	}
	if req.Workspace != s.workspace {
		s.journal.AddViolation("unasked", "request %s reached %s for workspace %q", req.ID, self.Name, req.Workspace)
	}
	if string(body) != requestBody(req.ID, r.URL.Path) {
		s.journal.AddViolation("unasked", "request %s reached %s with a changed body of %d bytes", req.ID, self.Name, len(body))
	}
	if service := requestedService(r.URL.Path); service != self.Service {
		s.journal.AddViolation("route", "request %s for service %s reached %s of service %s", req.ID, service, self.Name, self.Service)
	}
}

// answerPlain responds to a plain request after a random time. It reports whether
// the node closed the connection before the response was written.
func (s *endpointServer) answerPlain(ctx context.Context, w http.ResponseWriter, req EndpointRequest, body []byte) bool {
	if !delay.For(ctx, time.Duration(rand.ExpFloat64()*float64(meanServiceTime))) {
		return true
	}
	text := responseBody(req.ID, string(body))
	if rand.IntN(2) == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	if rand.Float64() < truncateProbability {
		s.markTruncated(req.ID)
		w.Write([]byte(text[:len(text)/2]))
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, text)
	return ctx.Err() != nil
}

// answerStream sends the events after the last one that the node has. It reports
// whether the node closed the connection before the last event was sent.
func (s *endpointServer) answerStream(ctx context.Context, w http.ResponseWriter, req EndpointRequest, events int) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	if rand.Float64() < unframedProbability {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	crashing := s.crashing.Load()
	if crashing != nil && !slices.Contains(req.Parts, crashing.id) {
		crashing = nil
	}
	if crashing != nil {
		crashing.recordArrival(time.Now())
	}
	c := http.NewResponseController(w)
	truncatedEvent := -1
	if rand.Float64() < truncateProbability*2 || s.failResumes.draws(failTruncateProbability) {
		truncatedEvent = rand.IntN(events) + 1
	}
	silentEvent := s.silentEvent(req.LastEvent+1, events)
	for i := req.LastEvent + 1; i <= events; i++ {
		if !delay.For(ctx, time.Duration(rand.ExpFloat64()*float64(meanEventPause))) {
			return true
		}
		if i == silentEvent && !s.fallSilent(ctx, req.ID) {
			return true
		}
		text := eventText(req.ID, i)
		if crashing != nil {
			go s.onCrash(crashing)
		}
		if i == truncatedEvent || crashing != nil {
			s.markTruncated(req.ID)
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

// The contents of requests and responses are derived from the request's ID and
// path, so that callers and endpoints can check what they receive.

// requestPath returns the path of a request. For streams, it ends with the number
// of events.
func requestPath(service ident.ServiceName, k topol.Kind, events int) string {
	if k == topol.Stream {
		return fmt.Sprintf("/%s/%s/%d", service, k, events)
	}
	return fmt.Sprintf("/%s/%s/x", service, k)
}

// eventCount returns the number of events that a path asks for, or zero if the
// path is not that of a stream.
func eventCount(path string) int {
	parts := strings.Split(path, "/")
	n, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil {
		return 0
	}
	return n
}

func requestedService(path string) ident.ServiceName {
	return ident.ServiceName(strings.Split(path, "/")[1])
}

// requestBody returns a request's body. It is about 50 to 80 kB long for IDs that
// end with 7, and below 1 kB for all others.
func requestBody(id, path string) string {
	n := 10 + len(id)
	if id[len(id)-1] == '7' {
		n = 3000
	}
	return strings.Repeat(id+path+" ", n)
}

func responseBody(id, body string) string {
	return fmt.Sprintf("answer to %s with %d bytes %s", id, len(body), strings.Repeat(id, 20))
}

func eventText(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, id, i) }
