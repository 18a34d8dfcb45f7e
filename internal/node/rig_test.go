package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/engsrv"
	"laburnumstack.org/laburnum/internal/lab/fleet"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// poisonText is a text that crashes an engine if a prompt contains it.
	poisonText = "poisonous"
	// testTimeout is how long a test waits for a condition or a response before it
	// fails.
	testTimeout = 30 * time.Second
)

// startFleet runs a fleet with five engines until the test ends.
func startFleet(t *testing.T) *fleet.Fleet { return startFleetOf(t, 5) }

func startFleetOf(t *testing.T, engines int) *fleet.Fleet {
	t.Parallel()
	plan, err := fleet.PlanOf("duct")
	must.NoError(t, err)
	plan.Engines = engines
	sim := engsim.DefaultSettings()
	f := &fleet.Fleet{Plan: plan, Seed: 1, Logger: zerolog.Nop(), DrainDelay: 300 * time.Millisecond, PoisonText: poisonText, EngineSettings: &sim}
	must.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() { test.NoError(t, f.Stop()) })
	return f
}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r response) outcome() ident.Outcome { return ident.Outcome(r.header.Get("X-Outcome")) }

// errorBody decodes the body of an error response.
func (r response) errorBody(t *testing.T) admin.Error {
	var e admin.Error
	must.NoError(t, json.Unmarshal(r.body, &e), must.Sprint(string(r.body)))
	return e
}

// client opens a new connection for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}

// call sends a request to a node with the key of the first workspace.
func call(f *fleet.Fleet, node int, method, path, body string, header ...string) response {
	req, err := http.NewRequest(method, "http://"+f.CallerAddrs()[node]+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+f.Plan.Workspaces[0].Key())
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	if h := req.Header.Get("Host"); h != "" {
		req.Host = h
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, raw, err}
}

func book(f *fleet.Fleet, node int, key string) response {
	return call(f, node, "POST", "/bookings", `{"Segment":1}`, "Host", f.Plan.Host, "Idempotency-Key", key)
}

func messages(text string) string { return `[{"role":"user","content":"` + text + `"}]` }

func promptBody(f *fleet.Fleet, text string, output int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":%s}`, f.Plan.Model, output, messages(text))
}

func complete(f *fleet.Fleet, node int, text string, output int, header ...string) response {
	return call(f, node, "POST", "/v1/chat/completions", promptBody(f, text, output), header...)
}

// wantText checks that a streamed response contains the tokens expected for a
// prompt and is complete.
func wantText(t *testing.T, r response, text string, output int) {
	t.Helper()
	must.NoError(t, r.err)
	must.Eq(t, http.StatusOK, r.status, must.Sprint(string(r.body)))
	var got, want strings.Builder
	for line := range strings.Lines(string(r.body)) {
		var e struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		data, ok := strings.CutPrefix(line, "data: {")
		if ok && json.Unmarshal([]byte("{"+data), &e) == nil && len(e.Choices) > 0 {
			got.WriteString(e.Choices[0].Delta.Content)
		}
	}
	for i := range output {
		want.WriteString(engsrv.TokenText(engsrv.Digest([]byte(messages(text))), int64(i)))
	}
	must.Eq(t, want.String(), got.String())
	test.True(t, bytes.HasSuffix(r.body, []byte("data: [DONE]\n\n")))
}

// waitFor waits until a condition holds, and fails the test after testTimeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint(what))
	}
}

func usedMemory(f *fleet.Fleet) (n ident.Tokens) {
	for _, e := range f.Engines {
		n += e.UsedMemory()
	}
	return n
}

// busyEngine returns the index of the first engine that holds KV memory, or -1.
func busyEngine(f *fleet.Fleet) int {
	for i, e := range f.Engines {
		if e.UsedMemory() > 0 {
			return i
		}
	}
	return -1
}
