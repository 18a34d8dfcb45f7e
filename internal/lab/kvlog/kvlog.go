// Package kvlog is an in-memory store of logs of keyed records, for stand-ins of platforms. It
// can lose records as a store does that comes back from a copy.
package kvlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrNotKept means that there are no records at an offset, since they were deleted or the log
// ends before it.
const ErrNotKept = errors.ConstError("offset is not kept")

// Store holds topics, each of which is a log of keyed records. The zero value has none. It is
// safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// losses counts the calls of Lose.
	losses uint64
}

// Record is a key with its value.
type Record struct {
	Key string
	// Value is empty if the key was deleted.
	Value []byte
	// Offset is the offset of the record in its topic.
	Offset ident.Offset
}

// Page holds records of a topic, which begins at First and ends before End.
type Page struct {
	First, End ident.Offset
	// Era rises each time the store loses records. The first one is 1.
	Era     uint64
	Records []Record
}

// topic is a log of keyed records.
type topic struct {
	// first is the offset of the oldest record in records.
	first   ident.Offset
	records []Record
	// newest maps each key to its newest record, except for deleted keys.
	newest map[string]Record
	// grown is closed and replaced when a record is appended.
	grown chan struct{}
}

// end returns the offset after the newest record.
func (t *topic) end() ident.Offset { return t.first + ident.Offset(len(t.records)) }

func (t *topic) append(r Record) {
	r.Offset = t.end()
	if len(r.Value) == 0 {
		delete(t.newest, r.Key)
	} else {
		t.newest[r.Key] = r
	}
	t.records = append(t.records, r)
	close(t.grown)
	t.grown = make(chan struct{})
}

// topic returns a topic and creates it if needed. The caller must hold mu.
func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]Record{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// page returns a page with records of a topic. The caller must hold mu.
func (s *Store) page(t *topic, records []Record) Page {
	return Page{First: t.first, End: t.end(), Era: 1 + s.losses, Records: records}
}

// Append appends records to a topic and returns a page with them.
func (s *Store) Append(name string, rs ...Record) Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	n := len(t.records)
	for _, r := range rs {
		t.append(r)
	}
	return s.page(t, slices.Clone(t.records[n:]))
}

// Newest returns the newest record of each key of a topic that is not deleted, in no order.
func (s *Store) Newest(name string) Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var records []Record
	for _, r := range t.newest {
		records = append(records, r)
	}
	return s.page(t, records)
}

// Read returns the records of a topic from an offset on. If there are none, it waits up to the
// given time for the first one. With ErrNotKept, the page has no records.
func (s *Store) Read(ctx context.Context, name string, from ident.Offset, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		p, grown, err := s.readNow(name, from)
		if err != nil || len(p.Records) > 0 || ctx.Err() != nil {
			return p, err
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

// readNow does as Read without a wait. It also returns a channel that is closed when the topic
// grows.
func (s *Store) readNow(name string, from ident.Offset) (Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first || from > t.end() {
		return s.page(t, nil), t.grown, ErrNotKept
	}
	return s.page(t, slices.Clone(t.records[from-t.first:])), t.grown, nil
}

// Trim deletes all records of a topic from the log. The newest record of each key stays
// available to Newest.
func (s *Store) Trim(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first, t.records = t.end(), nil
}

// Lose removes the last n records of each topic, as if they had never been written. Their
// offsets are given out again. Of deleted records, too, the newest one of each key is kept.
func (s *Store) Lose(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses++
	for _, t := range s.topics {
		kept := t.records[:max(0, len(t.records)-n)]
		for k, r := range t.newest {
			if r.Offset >= t.first {
				delete(t.newest, k)
			}
		}
		t.records = nil
		for _, r := range kept {
			t.append(r)
		}
	}
}
