package gate

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// failureLines and successLines are the lines logged in a second of
	// requests that went wrong and of those that went well.
	failureLines = 30
	successLines = 2
)

// lines bounds the lines that a node logs of its requests. It is safe for
// concurrent use.
type lines struct {
	mu      sync.Mutex
	second  int64
	good    int
	bad     int
	leftOut int
}

// allow reports whether a line of a request may be logged, and how many were
// left out before it.
func (l *lines) allow(good bool, now time.Time) (ok bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.good, l.bad = s, 0, 0
	}
	count, most := &l.bad, failureLines
	if good {
		count, most = &l.good, successLines
	}
	*count++
	if *count > most {
		l.leftOut++
		return false, 0
	}
	leftOut, l.leftOut = l.leftOut, 0
	return true, leftOut
}

// line begins a line about a request, or returns nil if there are too many;
// the methods of a nil event do nothing.
func (s *Server) line(good bool) *zerolog.Event {
	ok, leftOut := s.lines.allow(good, time.Now())
	if !ok {
		s.figures().leftOut.Inc()
		return nil
	}
	e := s.Logger.Info()
	if leftOut > 0 {
		e = e.Int("leftOut", leftOut)
	}
	return e
}
