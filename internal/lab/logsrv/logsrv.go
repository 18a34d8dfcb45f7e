// Package logsrv is a stand-in for the platform's append-only log service.
package logsrv

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/httpd"
	"laburnumstack.org/laburnum/pkg/ident"
)

// maxReadWait bounds how long a read waits for new records.
const maxReadWait = 10 * time.Second

var errTooManyAppends = errors.New("too many appends")

// Record is an entry of a stream.
type Record struct {
	Offset ident.Offset
	// At is the time of the append.
	At   time.Time
	Data []byte
}

// Page is the response body of a read.
type Page struct {
	// Oldest is the offset of the oldest retained record.
	Oldest ident.Offset
	// Next is the offset of the next record to be appended.
	Next    ident.Offset
	Records []Record
}

// AppendResponse is the response body of an append. Offset is the offset of the new
// record.
type AppendResponse struct {
	Offset ident.Offset
}

// Faults are failures to inject. A zero field injects nothing, but a zero
// SlowMillis ends an earlier delay.
type Faults struct {
	// OutageMillis is how long all reads and appends are rejected, in
	// milliseconds.
	OutageMillis int
	// LoseAnswers is how many of the next appends are carried out without a
	// response: the connection is closed instead. It is added to the number left
	// from earlier faults.
	LoseAnswers int
	// SlowMillis delays every read and append, in milliseconds.
	SlowMillis int
	// Silence makes the open connections drop all bytes in both directions. New
	// connections work.
	Silence bool
}

// Server is the log service. The exported fields are set before Listen.
type Server struct {
	// Address is the address to listen on. Listen sets the port if it is zero.
	Address string
	// AppendRate is the maximum average number of appends per second in all
	// streams together, with bursts of up to that number; zero sets no limit.
	AppendRate int
	// Retention is how long records are retained; zero retains them for ever.
	Retention time.Duration
	// MaxRecords is the maximum number of records retained in a stream; zero
	// sets no limit.
	MaxRecords int

	mu            sync.Mutex
	streams       map[string]*stream
	web           httpd.Server
	outageUntil   time.Time
	answersToLose int
	responseDelay time.Duration
	// appendTokens is the content of the token bucket for AppendRate at the time
	// refilledAt.
	appendTokens float64
	refilledAt   time.Time
	appendCount  int64
}

// stream holds the retained records of one stream.
type stream struct {
	// oldest is the offset of records[0], or of the next record to be appended if
	// records is empty.
	oldest  ident.Offset
	records []Record
	// appended is closed at the next append.
	appended chan struct{}
}

// nextOffset returns the offset of the next record to be appended.
func (t *stream) nextOffset() ident.Offset { return t.oldest + ident.Offset(len(t.records)) }

// Listen opens the listener and sets Address to the actual address. It is separate
// from Run so that clients can be given the address before.
func (s *Server) Listen() error {
	s.web.Handler = s.handle
	s.streams = map[string]*stream{}
	s.appendTokens = float64(s.AppendRate)
	return s.web.Listen(&s.Address)
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error { return s.web.Run(ctx) }

// Inject injects faults.
func (s *Server) Inject(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.OutageMillis > 0 {
		s.outageUntil = time.Now().Add(time.Duration(f.OutageMillis) * time.Millisecond)
	}
	s.answersToLose += f.LoseAnswers
	s.responseDelay = time.Duration(f.SlowMillis) * time.Millisecond
	if f.Silence {
		s.web.Listener.Silence()
	}
}

// AppendCount returns the number of records appended so far.
func (s *Server) AppendCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendCount
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
	if s.delayAndCheckOutage() {
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

// delayAndCheckOutage waits for the injected delay and reports whether the call
// came during an outage.
func (s *Server) delayAndCheckOutage() bool {
	s.mu.Lock()
	slow := s.responseDelay
	down := time.Now().Before(s.outageUntil)
	s.mu.Unlock()
	time.Sleep(slow)
	return down
}

func (s *Server) appendTo(ctx *fasthttp.RequestCtx, name string) {
	data := append([]byte(nil), ctx.PostBody()...)
	offset, lost, err := s.appendRecord(name, data)
	switch {
	case err != nil:
		httpd.WriteError(ctx, fasthttp.StatusTooManyRequests, "rate", err.Error())
	case lost:
		ctx.Conn().Close()
	default:
		httpd.WriteJSON(ctx, fasthttp.StatusOK, AppendResponse{offset})
	}
}

// appendRecord appends a record and returns its offset, and whether the response
// is to be lost.
func (s *Server) appendRecord(name string, data []byte) (offset ident.Offset, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.takeAppendToken(now) {
		return 0, false, errTooManyAppends
	}
	s.appendCount++
	t := s.stream(name)
	offset = t.nextOffset()
	t.records = append(t.records, Record{offset, now, data})
	s.trim(t, now)
	close(t.appended)
	t.appended = make(chan struct{})
	if s.answersToLose > 0 {
		s.answersToLose--
		return offset, true, nil
	}
	return offset, false, nil
}

// takeAppendToken takes a token of the bucket that limits the rate of appends. It
// reports whether there was one.
func (s *Server) takeAppendToken(now time.Time) bool {
	if s.AppendRate <= 0 {
		return true
	}
	rate := float64(s.AppendRate)
	s.appendTokens = min(rate, s.appendTokens+now.Sub(s.refilledAt).Seconds()*rate)
	s.refilledAt = now
	if s.appendTokens < 1 {
		return false
	}
	s.appendTokens--
	return true
}

// stream returns the stream with the given name and creates it if it doesn't
// exist. s.mu must be held.
func (s *Server) stream(name string) *stream {
	t, ok := s.streams[name]
	if !ok {
		t = &stream{appended: make(chan struct{})}
		s.streams[name] = t
	}
	return t
}

// trim drops the expired records of a stream. s.mu must be held.
func (s *Server) trim(t *stream, now time.Time) {
	n := 0
	for n < len(t.records) && s.expired(t, n, now) {
		n++
	}
	t.records = t.records[n:]
	t.oldest += ident.Offset(n)
}

// expired reports whether record n of a stream, whose earlier records are all
// dropped, has to be dropped too because of MaxRecords or Retention.
func (s *Server) expired(t *stream, n int, now time.Time) bool {
	if s.MaxRecords > 0 && len(t.records)-n > s.MaxRecords {
		return true
	}
	return s.Retention > 0 && now.Sub(t.records[n].At) > s.Retention
}

// read responds with the records from an offset on. Its query parameters are from,
// the offset; max, the maximum number of records, or zero for all; and wait, the
// maximum time in milliseconds to wait for an append if there are no records yet,
// which maxReadWait limits.
func (s *Server) read(ctx *fasthttp.RequestCtx, name string) {
	q := ctx.QueryArgs()
	from := ident.Offset(q.GetUintOrZero("from"))
	limit := q.GetUintOrZero("max")
	wait := min(maxReadWait, time.Duration(q.GetUintOrZero("wait"))*time.Millisecond)
	page, appended := s.page(name, from, limit)
	if len(page.Records) == 0 && wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-appended:
		case <-t.C:
		}
		page, _ = s.page(name, from, limit)
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, page)
}

// page returns up to limit records from an offset on, or from the oldest record if
// that is later. If limit is zero, it returns all of them. It also returns a
// channel that is closed at the next append.
func (s *Server) page(name string, from ident.Offset, limit int) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(name)
	s.trim(t, time.Now())
	p := Page{Oldest: t.oldest, Next: t.nextOffset(), Records: []Record{}}
	first := max(0, int(from-t.oldest))
	if first < len(t.records) {
		rs := t.records[first:]
		if limit > 0 && len(rs) > limit {
			rs = rs[:limit]
		}
		p.Records = append(p.Records, rs...)
	}
	return p, t.appended
}
