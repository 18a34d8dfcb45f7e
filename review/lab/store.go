//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/platform/wire"
)

// Topics of the store into which the system may not write.
var topicOp, topicServers = wire.Topics[feeds.Configuration], wire.Topics[feeds.Endpoints]

// entry is one record of a topic.
type entry struct {
	key   string
	value []byte
	at    time.Time
}

// topic is a log of keyed records with one partition. Nothing expires in the time of a case.
type topic struct {
	entries []entry
	grown   chan struct{}
}

// store stands in for the platform's metadata store.
type store struct {
	address string
	server  *http.Server

	mu     sync.Mutex
	topics map[string]*topic
	era    int
	// away is set while the store answers nobody; gone is closed when that begins.
	away bool
	gone chan struct{}
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: map[string]*topic{}, era: 1, gone: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s, nil
}

// topic returns a topic, which is created on first use. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record; one without a value drops its key. It returns false, and does nothing,
// while the store is away.
func (s *store) put(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.append(name, entry{key, value, time.Now()})
	return true
}

func (s *store) append(name string, e entry) {
	t := s.topic(name)
	t.entries = append(t.entries, e)
	close(t.grown)
	t.grown = make(chan struct{})
}

// leave makes the store answer nobody.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.gone)
}

// comeBack makes the store answer again, as a copy of what it held at the given time: what was
// written since is gone, its offsets are given out again, and the era rises by one.
func (s *store) comeBack(copyOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		n := slices.IndexFunc(t.entries, func(e entry) bool { return e.at.After(copyOf) })
		if n >= 0 {
			t.entries = t.entries[:n]
		}
	}
	s.era++
	s.away, s.gone = false, make(chan struct{})
}

// newest returns the newest entry of each key that has a value, by key.
func (t *topic) newest() (keys []string, byKey map[string]int) {
	byKey = map[string]int{}
	for i, e := range t.entries {
		byKey[e.key] = i
	}
	for k, i := range byKey {
		if len(t.entries[i].value) > 0 {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys, byKey
}

// ServeHTTP serves a call of a node.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, gone := s.away, s.gone
	s.mu.Unlock()
	if away {
		drop(w)
		return
	}
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case wire.NewestPath:
		s.serveNewest(w, name, r.URL.Query().Get("after"))
	case wire.ReadPath:
		s.serveRead(w, r, name, gone)
	case wire.AppendPath:
		s.serveAppend(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// drop ends a connection without an answer.
func drop(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		c.Close()
	}
}

func (s *store) setEra(w http.ResponseWriter) { w.Header().Set(wire.FieldEra, strconv.Itoa(s.era)) }

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	const page = 500
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	res := struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		End   int    `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	res.End = len(t.entries)
	keys, byKey := t.newest()
	for _, k := range keys {
		if k <= after {
			continue
		}
		if len(res.Items) == page {
			res.More = true
			break
		}
		res.Items = append(res.Items, item{k, base64.StdEncoding.EncodeToString(t.entries[byKey[k]].value), byKey[k]})
	}
	s.setEra(w)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(res)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string, gone chan struct{}) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from_revision"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		if s.gone != gone || s.away {
			s.mu.Unlock()
			drop(w)
			return
		}
		t := s.topic(name)
		grown := t.grown
		if from < 0 || from > len(t.entries) {
			s.setEra(w)
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			io.WriteString(w, `{"first":0}`)
			return
		}
		if from < len(t.entries) || over {
			s.setEra(w)
			b := binary.BigEndian.AppendUint64(nil, uint64(len(t.entries)))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, e := range t.entries[from:] {
				b = binary.BigEndian.AppendUint32(b, uint32(1+len(e.key)+len(e.value)))
				b = append(append(append(b, byte(len(e.key))), e.key...), e.value...)
			}
			s.mu.Unlock()
			w.Write(b)
			return
		}
		s.mu.Unlock()
		select {
		case <-grown:
		case <-end.C:
			over = true
		case <-gone:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	b, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err != nil {
		return
	}
	if name == topicOp || name == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		drop(w)
		return
	}
	offset := len(s.topic(name).entries)
	for len(b) > 4 {
		n := int(binary.BigEndian.Uint32(b))
		b = b[4:]
		if n < 1 || n > len(b) || n < 1+int(b[0]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		key := 1 + int(b[0])
		s.append(name, entry{string(b[1:key]), slices.Clone(b[key:n]), time.Now()})
		b = b[n:]
	}
	s.setEra(w)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": len(s.topic(name).entries)})
}
