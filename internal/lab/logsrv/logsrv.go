// Package logsrv is a stand-in for the platform's append-only log service.
package logsrv

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/flaky"
	"laburnumstack.org/laburnum/internal/lab/httpd"
	"laburnumstack.org/laburnum/pkg/ident"
)

const maxWait = 10 * time.Second

var errRate = errors.New("too many appends")

// Record is one record of a stream.
type Record struct {
	Offset ident.Offset
	At     time.Time
	Data   []byte
}

// Page is the answer to a read.
type Page struct {
	// Oldest is the offset of the oldest record kept.
	Oldest ident.Offset
	// Next is the offset that the next record will get.
	Next    ident.Offset
	Records []Record
}

// Appended is the answer to an append.
type Appended struct {
	Offset ident.Offset
}

// Faults are failures on command; zero fields change nothing.
type Faults struct {
	// OutageMillis refuses every call for so long.
	OutageMillis int
	// LoseAnswers takes effect on the next appends but cuts their answers.
	LoseAnswers int
	// SlowMillis delays every call, until set again.
	SlowMillis int
	// Silence makes the open connections go silent.
	Silence bool
}

// Server is the log service.
type Server struct {
	// Address is the address to listen on.
	Address string
	// AppendRate bounds appends a second over all streams.
	AppendRate int
	// Retention is how long records are kept.
	Retention time.Duration
	// MaxRecords bounds the records kept in a stream; zero keeps all.
	MaxRecords int

	mu       sync.Mutex
	streams  map[string]*stream
	listener *flaky.Listener
	outage   time.Time
	lose     int
	slow     time.Duration
	tokens   float64
	filled   time.Time
	appends  int64
}

type stream struct {
	oldest  ident.Offset
	records []Record
	// grew is closed at the next append.
	grew chan struct{}
}

func (t *stream) next() ident.Offset { return t.oldest + ident.Offset(len(t.records)) }

// Listen opens the listener, so that the address is known before Run.
func (s *Server) Listen() error {
	l, err := httpd.Listen(&s.Address)
	if err != nil {
		return err
	}
	s.listener = l
	s.streams = map[string]*stream{}
	s.tokens = float64(s.AppendRate)
	return nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	web := &httpd.Server{Handler: s.handle, Listener: s.listener}
	return web.Run(ctx)
}

// Inject applies faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.OutageMillis > 0 {
		s.outage = time.Now().Add(time.Duration(f.OutageMillis) * time.Millisecond)
	}
	s.lose += f.LoseAnswers
	s.slow = time.Duration(f.SlowMillis) * time.Millisecond
	if f.Silence {
		s.listener.Silence()
	}
}

// Appends returns the number of appends so far.
func (s *Server) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/faults" {
		var f Faults
		if httpd.DecodeBody(ctx, &f) {
			s.Inject(f)
		}
		return
	}
	if s.isDown() {
		httpd.WriteError(ctx, fasthttp.StatusServiceUnavailable, "outage", "log is down")
		return
	}
	name, ok := strings.CutPrefix(path, "/streams/")
	if !ok || name == "" {
		httpd.WriteError(ctx, fasthttp.StatusNotFound, "not-found", "no such call")
		return
	}
	if ctx.IsPost() {
		s.appendTo(ctx, name)
		return
	}
	s.read(ctx, name)
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	slow := s.slow
	down := time.Now().Before(s.outage)
	s.mu.Unlock()
	time.Sleep(slow)
	return down
}

func (s *Server) appendTo(ctx *fasthttp.RequestCtx, name string) {
	data := append([]byte(nil), ctx.PostBody()...)
	off, lost, err := s.add(name, data)
	switch {
	case err != nil:
		httpd.WriteError(ctx, fasthttp.StatusTooManyRequests, "rate", err.Error())
	case lost:
		ctx.Conn().Close()
	default:
		httpd.WriteJSON(ctx, fasthttp.StatusOK, Appended{off})
	}
}

func (s *Server) add(name string, data []byte) (at ident.Offset, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.take(now) {
		return 0, false, errRate
	}
	s.appends++
	t := s.stream(name)
	at = t.next()
	t.records = append(t.records, Record{at, now, data})
	s.trim(t, now)
	close(t.grew)
	t.grew = make(chan struct{})
	if s.lose > 0 {
		s.lose--
		return at, true, nil
	}
	return at, false, nil
}

func (s *Server) take(now time.Time) bool {
	if s.AppendRate <= 0 {
		return true
	}
	rate := float64(s.AppendRate)
	s.tokens = min(rate, s.tokens+now.Sub(s.filled).Seconds()*rate)
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *Server) stream(name string) *stream {
	t, ok := s.streams[name]
	if !ok {
		t = &stream{grew: make(chan struct{})}
		s.streams[name] = t
	}
	return t
}

func (s *Server) trim(t *stream, now time.Time) {
	n := 0
	for n < len(t.records) && s.expired(t, n, now) {
		n++
	}
	t.records = t.records[n:]
	t.oldest += ident.Offset(n)
}

func (s *Server) expired(t *stream, n int, now time.Time) bool {
	if s.MaxRecords > 0 && len(t.records)-n > s.MaxRecords {
		return true
	}
	return s.Retention > 0 && now.Sub(t.records[n].At) > s.Retention
}

func (s *Server) read(ctx *fasthttp.RequestCtx, name string) {
	q := ctx.QueryArgs()
	from := ident.Offset(q.GetUintOrZero("from"))
	most := q.GetUintOrZero("max")
	wait := min(maxWait, time.Duration(q.GetUintOrZero("wait"))*time.Millisecond)
	page, grew := s.page(name, from, most)
	if len(page.Records) == 0 && wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-grew:
		case <-t.C:
		}
		page, _ = s.page(name, from, most)
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, page)
}

func (s *Server) page(name string, from ident.Offset, most int) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(name)
	s.trim(t, time.Now())
	p := Page{Oldest: t.oldest, Next: t.next(), Records: []Record{}}
	first := max(0, int(from-t.oldest))
	if first < len(t.records) {
		rs := t.records[first:]
		if most > 0 && len(rs) > most {
			rs = rs[:most]
		}
		p.Records = append(p.Records, rs...)
	}
	return p, t.grew
}
