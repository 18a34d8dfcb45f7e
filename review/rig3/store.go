//go:build review3

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/platform/wire"
)

// Topics of the store.
var (
	topicOperator = wire.Topics[feeds.Configuration]
	topicServers  = wire.Topics[feeds.Endpoints]
)

// record is a keyed record. Without a value, its key is deleted.
type record struct {
	key   string
	value []byte
}

// store is a stand-in of the platform's metadata store. It keeps all records of each topic, of
// which only partition 0 is used.
type store struct {
	mu     sync.Mutex
	topics map[string][]record
	era    int
	isDown bool
	// delay is how long each answer takes.
	delay time.Duration
	grown chan struct{}
	srv   *http.Server
	addr  string
}

// newStore starts a store on a loopback address.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string][]record{}, era: 1, grown: make(chan struct{}), addr: l.Addr().String()}
	s.srv = &http.Server{Handler: s}
	go s.srv.Serve(l)
	return s, nil
}

// put writes a record, as the operator and the servers do, and returns when it was acknowledged.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.append(topic, record{key, value})
	return time.Now()
}

func (s *store) append(topic string, rs ...record) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], rs...)
	close(s.grown)
	s.grown = make(chan struct{})
	return offset, len(s.topics[topic])
}

// copyOf returns a copy of all records, for restore.
func (s *store) copyOf() map[string][]record {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[string][]record{}
	for t, rs := range s.topics {
		c[t] = slices.Clone(rs)
	}
	return c
}

// restore replaces all records by those of a copy. The era rises by one.
func (s *store) restore(c map[string][]record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = c
	s.era++
	close(s.grown)
	s.grown = make(chan struct{})
}

// setDown makes the store refuse all calls with 503, or serve them again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = down
}

// setDelay makes each answer take a time.
func (s *store) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// ServeHTTP serves one call of a node.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, delay := s.isDown, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set(wire.FieldEra, strconv.Itoa(s.currentEra()))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case wire.NewestPath:
		s.serveNewest(w, topic)
	case wire.ReadPath:
		s.serveRead(w, r, topic)
	case wire.AppendPath:
		s.serveAppend(w, r, topic)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) currentEra() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]item{}
	for i, r := range s.topics[topic] {
		delete(newest, r.key)
		if len(r.value) > 0 {
			newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString(r.value), i}
		}
	}
	items := []item{}
	for _, k := range slices.Sorted(maps.Keys(newest)) {
		items = append(items, newest[k])
	}
	w.Header().Set(wire.FieldEra, strconv.Itoa(s.era))
	json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from_revision"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit, err := strconv.Atoi(r.URL.Query().Get("max_kilobytes"))
	if err != nil {
		limit = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rs, grown, era := s.topics[topic], s.grown, s.era
		s.mu.Unlock()
		w.Header().Set(wire.FieldEra, strconv.Itoa(era))
		if from < 0 || from > len(rs) {
			w.WriteHeader(http.StatusGone)
			io.WriteString(w, `{"first":0}`)
			return
		}
		if from < len(rs) || wait == 0 {
			w.Write(page(rs, from, limit<<10))
			return
		}
		select {
		case <-grown:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// page encodes the records from an offset on, as many as fit into a number of bytes and at least one.
func page(rs []record, from, limit int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(rs)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for i, r := range rs[from:] {
		n := 1 + len(r.key) + len(r.value)
		if i > 0 && len(b)+4+n > limit {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(n))
		b = append(b, byte(len(r.key)))
		b = append(append(b, r.key...), r.value...)
	}
	return b
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	b, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err != nil || topic == topicOperator || topic == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var rs []record
	for len(b) > 5 {
		n := int(binary.BigEndian.Uint32(b))
		raw := b[4 : 4+n]
		b = b[4+n:]
		k := int(raw[0])
		rs = append(rs, record{string(raw[1 : 1+k]), slices.Clone(raw[1+k:])})
	}
	offset, end := s.append(topic, rs...)
	json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": end})
}
