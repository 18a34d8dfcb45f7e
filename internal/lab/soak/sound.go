package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/trans/feeds"
)

const (
	// silenceProbability is the probability that an endpoint of SilenceStreams falls
	// silent in a stream, for minSilence to maxSilence.
	silenceProbability = 0.5
	minSilence         = time.Second
	maxSilence         = 1500 * time.Millisecond
	// repeatProbability is the probability that an endpoint of RepeatAnswers writes an
	// earlier answer before that of a request on a kept connection.
	repeatProbability = 0.2
	// failTruncateProbability is the probability that a new stream is cut off during
	// FailResumes.
	failTruncateProbability = 0.2
)

// behaviour is what endpoints do for some time. It is safe for concurrent use.
type behaviour struct{ holders atomic.Int32 }

// hold turns the behaviour on for the duration d.
func (b *behaviour) hold(ctx context.Context, d time.Duration) {
	b.holders.Add(1)
	defer b.holders.Add(-1)
	delay.For(ctx, d)
}

func (b *behaviour) isOn() bool { return b.holders.Load() > 0 }

// draws reports whether the behaviour is on and applies, with the given probability.
func (b *behaviour) draws(probability float64) bool {
	return b.isOn() && rand.Float64() < probability
}

// silentEvent returns the number of the event before which an endpoint falls silent in a
// stream that goes on with the event first; zero if it doesn't.
func (s *endpointServer) silentEvent(first, events int) int {
	if first >= events || !s.silences.draws(silenceProbability) {
		return 0
	}
	return first + 1 + rand.IntN(events-first)
}

// fallSilent waits without a word in the midst of a stream. It reports whether the node
// kept the connection.
func (s *endpointServer) fallSilent(ctx context.Context, id string) bool {
	s.journal.UpdateRun(id, s.endpoint().Name, func(r *Run) { r.Silent = true })
	return delay.For(ctx, minSilence+rand.N(maxSilence-minSilence))
}

// markTruncated records that the endpoint cuts off its answer to a request.
func (s *endpointServer) markTruncated(id string) {
	s.journal.UpdateRun(id, s.endpoint().Name, func(r *Run) { r.Truncated = true })
}

// keptConn is an endpoint's connection, with what repeated answers need.
type keptConn struct {
	net.Conn
	// earlierID is the ID of the request before; empty for the first one. Only the
	// handler of the current request uses it.
	earlierID string
}

type keptConnKey struct{}

func withKeptConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, keptConnKey{}, &keptConn{Conn: c})
}

// repeatAnswer writes an answer to the request before once more if the connection was kept
// and the endpoint repeats answers.
func (s *endpointServer) repeatAnswer(ctx context.Context, id string) {
	c, ok := ctx.Value(keptConnKey{}).(*keptConn)
	if !ok {
		return
	}
	earlier := c.earlierID
	c.earlierID = id
	if earlier == "" || !s.repeats.draws(repeatProbability) {
		return
	}
	c.Write(s.repeatedAnswer(earlier, rand.IntN(4)))
}

// repeatedAnswer returns an earlier answer: a success, or a refusal with the ID of its
// request, with an empty ID or with none.
func (s *endpointServer) repeatedAnswer(earlier string, form int) []byte {
	h := http.Header{}
	var b bytes.Buffer
	if form == 0 {
		s.codec.SetSignature(h, earlier, s.endpoint().Name)
		text := responseBody(earlier, earlier)
		fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(text))
		h.Write(&b)
		fmt.Fprintf(&b, "\r\n%s", text)
		return b.Bytes()
	}
	s.codec.SetNotRun(h, earlier)
	switch form {
	case 1:
	case 2:
		replaceValue(h, earlier, "")
	default:
		maps.DeleteFunc(h, func(_ string, values []string) bool { return values[0] == earlier })
	}
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest}[rand.IntN(3)]
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

func replaceValue(h http.Header, from, to string) {
	for name, values := range h {
		if values[0] == from {
			h[name] = []string{to}
		}
	}
}

// failedResumes are the answers to a resumed stream in FailResumes. Zero stands for a
// success that isn't signed.
var failedResumes = [...]int{
	http.StatusFound, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusTooManyRequests,
	http.StatusInternalServerError, http.StatusNoContent, 0,
}

// failResume answers a resumed stream with an error, with or without the request's ID.
func (s *endpointServer) failResume(w http.ResponseWriter, id string) {
	h := http.Header{}
	s.codec.SetNotRun(h, id)
	if rand.IntN(2) == 0 {
		for name, values := range h {
			if values[0] == id {
				w.Header()[name] = values
			}
		}
	}
	status := failedResumes[rand.IntN(len(failedResumes))]
	switch status {
	case http.StatusNoContent:
		w.WriteHeader(status)
		return
	case http.StatusFound:
		w.Header().Set("Location", "http://elsewhere.example/")
	case 0:
		status = http.StatusOK
	}
	text := "error page of " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// addOddRecord injects OddRecord.
func (s *Soak) addOddRecord(index int) {
	records := s.Deployment.OddEndpoints()
	n := index % len(records)
	s.store.Put(feeds.Endpoints, fmt.Sprintf("odd%d", n), records[n])
}
