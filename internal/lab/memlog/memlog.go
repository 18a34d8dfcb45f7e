// Package memlog is an in-memory log for tests. It can simulate outages and lost
// responses, and drop old records.
package memlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrDown is returned by Append and Read during an outage, and by an Append that
// took effect but whose response was lost.
const ErrDown = errors.ConstError("log is down")

// Log keeps streams of records in memory. The zero value is an empty log. It is
// safe for concurrent use.
type Log struct {
	mu            sync.Mutex
	streams       map[messg.StreamName]*stream
	down          bool
	answersToLose int
	appends       int
}

// stream holds the records of one stream.
type stream struct {
	// oldest is the offset of the first of records, or of the next one if there
	// are none.
	oldest  ident.Offset
	records []messg.Record
	// appended is closed at the next append.
	appended chan struct{}
}

var _ messg.Log = (*Log)(nil)

// SetDown starts or ends an outage.
func (l *Log) SetDown(v bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = v
}

// LoseAnswers makes the next n appends take effect but return ErrDown, as if their
// responses were lost. It replaces an earlier n.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = n
}

// DropBefore drops the records of a stream before an offset.
func (l *Log) DropBefore(s messg.StreamName, before ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(s)
	n := int(min(ident.Offset(len(st.records)), max(0, before-st.oldest)))
	st.records = st.records[n:]
	st.oldest += ident.Offset(n)
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// stream returns a stream, and creates it if necessary. l.mu must be held.
func (l *Log) stream(s messg.StreamName) *stream {
	if l.streams == nil {
		l.streams = map[messg.StreamName]*stream{}
	}
	st, ok := l.streams[s]
	if !ok {
		st = &stream{appended: make(chan struct{})}
		l.streams[s] = st
	}
	return st
}

// Append appends a record to a stream and returns its offset.
func (l *Log) Append(_ context.Context, s messg.StreamName, data []byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, ErrDown
	}
	st := l.stream(s)
	offset := st.oldest + ident.Offset(len(st.records))
	st.records = append(st.records, messg.Record{Offset: offset, At: time.Now(), Data: slices.Clone(data)})
	l.appends++
	close(st.appended)
	st.appended = make(chan struct{})
	if l.answersToLose > 0 {
		l.answersToLose--
		return 0, ErrDown
	}
	return offset, nil
}

// Read returns the records of a stream from an offset on. If there are none, it
// waits up to the given time for the next append; the page stays empty if there
// is none.
func (l *Log) Read(ctx context.Context, s messg.StreamName, from ident.Offset, wait time.Duration) (messg.Page, error) {
	page, appended, err := l.readPage(s, from)
	if err != nil || len(page.Records) > 0 || wait <= 0 {
		return page, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return messg.Page{}, ctx.Err()
	case <-appended:
	case <-timer.C:
	}
	page, _, err = l.readPage(s, from)
	return page, err
}

// readPage returns the records from an offset on, and a channel that is closed at
// the next append.
func (l *Log) readPage(s messg.StreamName, from ident.Offset) (messg.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return messg.Page{}, nil, ErrDown
	}
	st := l.stream(s)
	next := st.oldest + ident.Offset(len(st.records))
	first := min(ident.Offset(len(st.records)), max(0, from-st.oldest))
	return messg.Page{Oldest: st.oldest, Next: next, Records: slices.Clone(st.records[first:])}, st.appended, nil
}
