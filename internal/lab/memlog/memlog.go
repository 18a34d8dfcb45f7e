// Package memlog is a log in memory for tests: it can be down, lose answers
// and forget old records.
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

// ErrDown is the error of every call while the log is down, and of appends
// whose answer is lost.
const ErrDown = errors.ConstError("log is down")

// Log keeps streams in memory. The zero value is ready; it is safe for
// concurrent use.
type Log struct {
	mu            sync.Mutex
	streams       map[messg.StreamName]*stream
	down          bool
	answersToLose int
	appends       int
}

type stream struct {
	oldest   ident.Offset
	records  []messg.Record
	appended chan struct{}
}

var _ messg.Log = (*Log)(nil)

// SetDown begins or ends an outage.
func (l *Log) SetDown(v bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = v
}

// LoseAnswers makes the next appends take effect and fail.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = n
}

// DropBefore drops the records before an offset.
func (l *Log) DropBefore(s messg.StreamName, before ident.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.stream(s)
	n := int(min(ident.Offset(len(t.records)), max(0, before-t.oldest)))
	t.records = t.records[n:]
	t.oldest += ident.Offset(n)
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) stream(s messg.StreamName) *stream {
	if l.streams == nil {
		l.streams = map[messg.StreamName]*stream{}
	}
	t, ok := l.streams[s]
	if !ok {
		t = &stream{appended: make(chan struct{})}
		l.streams[s] = t
	}
	return t
}

// Append adds a record.
func (l *Log) Append(_ context.Context, s messg.StreamName, data []byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, ErrDown
	}
	t := l.stream(s)
	at := t.oldest + ident.Offset(len(t.records))
	t.records = append(t.records, messg.Record{Offset: at, At: time.Now(), Data: slices.Clone(data)})
	l.appends++
	close(t.appended)
	t.appended = make(chan struct{})
	if l.answersToLose > 0 {
		l.answersToLose--
		return 0, ErrDown
	}
	return at, nil
}

// Read returns records from an offset on, waiting for the first one.
func (l *Log) Read(ctx context.Context, s messg.StreamName, from ident.Offset, wait time.Duration) (messg.Page, error) {
	p, appended, err := l.readPage(s, from)
	if err != nil || len(p.Records) > 0 || wait <= 0 {
		return p, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return messg.Page{}, ctx.Err()
	case <-appended:
	case <-t.C:
	}
	p, _, err = l.readPage(s, from)
	return p, err
}

func (l *Log) readPage(s messg.StreamName, from ident.Offset) (messg.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return messg.Page{}, nil, ErrDown
	}
	t := l.stream(s)
	next := t.oldest + ident.Offset(len(t.records))
	first := min(ident.Offset(len(t.records)), max(0, from-t.oldest))
	return messg.Page{Oldest: t.oldest, Next: next, Records: slices.Clone(t.records[first:])}, t.appended, nil
}
