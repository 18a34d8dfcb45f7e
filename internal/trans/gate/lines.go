package gate

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxFailureLines and maxSuccessLines bound the lines logged per second:
	// maxSuccessLines those about complete sends, maxFailureLines all others.
	maxFailureLines = 30
	maxSuccessLines = 2
)

// logLimiter limits the lines that a node logs about requests. It is safe for
// concurrent use.
type logLimiter struct {
	mu sync.Mutex
	// countedSince is when the second began for which successes and failures are counted.
	countedSince time.Time
	successes    int
	failures     int
	// omitted counts the lines omitted since the last one that was logged.
	omitted int
}

// allow reports whether a line may be logged, and how many lines were omitted
// since the last one that was logged.
func (l *logLimiter) allow(success bool, now time.Time) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.countedSince) >= time.Second {
		l.countedSince, l.successes, l.failures = now, 0, 0
	}
	count, limit := &l.failures, maxFailureLines
	if success {
		count, limit = &l.successes, maxSuccessLines
	}
	*count++
	if *count > limit {
		l.omitted++
		return false, 0
	}
	omitted, l.omitted = l.omitted, 0
	return true, omitted
}

// addLoad adds the load that the last placement of a prompt was based on. A prompt that may be
// deferred also has the digest, which is the same for all tries of a request.
func (x *exchange) addLoad(e *zerolog.Event) *zerolog.Event {
	e = e.Float64("loss", x.load.LossOfOthers).Float64("maxLoss", x.load.MaxLossOfOthers).
		Float64("interactiveLoss", x.load.InteractiveLoss).Float64("maxInteractiveLoss", x.load.MaxInteractiveLoss).Float64("favour", x.load.Favour)
	if x.isDecided {
		e = e.Hex("digest", binary.BigEndian.AppendUint64(nil, uint64(x.digest())))
	}
	return e
}

// requestLog returns an event for a log line about a request, or nil if the
// limit is reached; the methods of a nil event do nothing.
func (s *Server) requestLog(success bool) *zerolog.Event {
	ok, omitted := s.logLimiter.allow(success, time.Now())
	if !ok {
		s.getMetrics().omittedLines.Inc()
		return nil
	}
	e := s.Logger.Info()
	if omitted > 0 {
		e = e.Int("leftOut", omitted)
	}
	return e
}
