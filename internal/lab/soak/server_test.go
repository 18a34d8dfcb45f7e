package soak

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// testCodec sets no header fields, and takes the request from the test.
type testCodec struct {
	request EndpointRequest
}

func (testCodec) SetCallerRequest(http.Header, CallerRequest)          {}
func (testCodec) ParseResponse(http.Header) CallerResponse             { return CallerResponse{} }
func (c testCodec) ParseEndpointRequest(http.Header) EndpointRequest   { return c.request }
func (testCodec) SetSignature(http.Header, string, ident.EndpointName) {}
func (testCodec) SetNotRun(http.Header, string)                        {}
func (testCodec) SetLimit(http.Header, float64)                        {}
func (testCodec) SetLeaving(http.Header)                               {}
func (testCodec) SetRest(http.Header, time.Duration)                   {}

// Guards against a run that counts as continuing after its caller left, since the endpoint
// cut its answer off and the end was not recorded.
func TestRunThatTheEndpointCutsOffHasEnded(t *testing.T) {
	const id, path = "r1", "/model/stream/5"
	j := NewJournal()
	j.AddCall(&Call{ID: id, Kind: topol.Stream})
	var crashing atomic.Pointer[crashingPart]
	crashing.Store(&crashingPart{id: "bad"})
	s := &endpointServer{
		codec: testCodec{EndpointRequest{ID: id, Parts: []string{"bad"}}}, journal: j, crashing: &crashing, onCrash: func(*crashingPart) {}, failResumes: &behaviour{},
	}
	h := httptest.NewServer(s)
	defer h.Close()
	ended := func() bool {
		j.mu.Lock()
		defer j.mu.Unlock()
		rs := j.calls[id].Runs
		return len(rs) > 0 && !slices.ContainsFunc(rs, func(r Run) bool { return r.EndedAt.IsZero() })
	}
	// The endpoint refuses some requests at random.
	for range 20 {
		res, err := http.Post(h.URL+path, "", strings.NewReader(requestBody(id, path)))
		if err == nil {
			res.Body.Close()
		}
	}
	// The end is recorded after the caller has seen the connection end. If it never is,
	// the timeout of go test ends the test.
	for !ended() {
		time.Sleep(time.Millisecond)
	}
}
