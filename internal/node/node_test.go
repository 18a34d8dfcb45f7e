package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/engsrv"
	"laburnumstack.org/laburnum/internal/lab/fleet"
	"laburnumstack.org/laburnum/internal/lab/logsrv"
	"laburnumstack.org/laburnum/internal/lab/plain"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/engin"
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

func TestRejectedRequests(t *testing.T) {
	f := startFleet(t)
	good := promptBody(f, "hi", 1)
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     string
	}{
		{"no key", "POST", "/v1/chat/completions", good, []string{"Authorization", ""}, 401, "unauthorized"},
		{"wrong key", "POST", "/v1/chat/completions", good, []string{"Authorization", "Bearer x"}, 401, "unauthorized"},
		{"unknown path", "GET", "/nowhere", "", nil, 404, "unknown-route"},
		{"unknown call", "POST", "/v1/images", "{}", nil, 404, "unknown-route"},
		{"unknown host", "GET", "/bookings/1", "", []string{"Host", "other.example"}, 404, "unknown-route"},
		{"unknown model", "POST", "/v1/chat/completions", `{"model":"x","messages":[{"role":"user","content":"hi"}]}`, nil, 404, "unknown-model"},
		{"malformed body", "POST", "/v1/chat/completions", `{"model":`, nil, 400, "bad-body"},
		{"bad time limit", "POST", "/v1/chat/completions", good, []string{"X-Time-Limit", "soon"}, 400, "bad-header"},
		{"body above the limit", "POST", "/v1/chat/completions", strings.Repeat("x", 17<<20), nil, 413, "body-too-large"},
		{"more tokens than the fleet holds", "POST", "/v1/chat/completions", promptBody(f, strings.Repeat("x", 9<<20), 1), nil, 413, "prompt-too-large"},
		{"time limit that can't be met", "POST", "/v1/chat/completions", promptBody(f, "hi", 10_000), []string{"X-Time-Limit", "100"}, 503, "too-late"},
		{"booking without key", "POST", "/bookings", "{}", []string{"Host", f.Plan.Host}, 400, "key-missing"},
		{"booking with a key that is too long", "POST", "/bookings", "{}", []string{"Host", f.Plan.Host, "Idempotency-Key", strings.Repeat("k", 300)}, 400, "bad-header"},
		{"header above the limit", "GET", "/bookings/1", "", []string{"X-Big", strings.Repeat("x", 32<<10)}, 431, "header-too-large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := call(f, 0, c.method, c.path, c.body, c.header...)
			must.NoError(t, r.err)
			e := r.errorBody(t)
			test.Eq(t, c.status, r.status)
			test.Eq(t, c.code, e.Code)
			test.Eq(t, ident.NotRun, e.Outcome)
			test.Eq(t, ident.NotRun, r.outcome())
			test.Eq(t, r.header.Get("X-Request-Id"), string(e.RequestID))
			test.NotEq(t, "", e.RequestID)
		})
	}
	for _, e := range f.Engines {
		test.Len(t, 0, e.Arrivals())
	}
	test.MapEmpty(t, f.Runs.Counts())
}

func TestNonStreamingCompletion(t *testing.T) {
	f := startFleet(t)
	r := call(f, 0, "POST", "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"hi","max_tokens":3}`, f.Plan.Model))
	must.NoError(t, r.err)
	var c struct {
		Choices []struct{ Text string }
		Usage   struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	must.NoError(t, json.Unmarshal(r.body, &c))
	test.Eq(t, 3, c.Usage.CompletionTokens)
	// Three tokens of seven bytes each.
	test.Eq(t, 21, len(c.Choices[0].Text))
}

func TestBookingSentToAllNodesAtOnceRunsOnce(t *testing.T) {
	f := startFleet(t)
	const rounds = 20
	var wg sync.WaitGroup
	responses := make([]response, rounds*len(f.Nodes))
	for i := range responses {
		wg.Go(func() { responses[i] = book(f, i%len(f.Nodes), fmt.Sprintf("k%d", i/len(f.Nodes))) })
	}
	wg.Wait()
	for i, r := range responses {
		must.NoError(t, r.err)
		test.Eq(t, http.StatusCreated, r.status)
		test.StrContains(t, string(r.body), fmt.Sprintf(`"Key":"k%d","Run":1`, i/len(f.Nodes)))
	}
	counts := f.Runs.Counts()
	test.MapLen(t, rounds, counts)
	for k, n := range counts {
		test.Eq(t, 1, n, test.Sprint(k))
	}
}

// Guards against a counter of appends that stays at zero.
func TestAppendsToTheLogAreCounted(t *testing.T) {
	f := startFleet(t)
	must.Eq(t, http.StatusCreated, book(f, 0, "counted").status)
	res, err := http.Get("http://" + f.AdminAddrs()[0] + "/metrics")
	must.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	// The claim of the booking is one append at least.
	test.RegexMatch(t, regexp.MustCompile(`(?m)^laburnum_log_appends_total [1-9]`), string(body))
}

func TestRequestsWithoutBodyUseNoBodyMemory(t *testing.T) {
	f := startFleet(t)
	v, err := f.Patch(json.RawMessage(`{"Limits":{"BodyBytes":4096,"MemoryBytes":4096}}`), 1)
	must.NoError(t, err)
	must.Eq(t, admin.Accepted, v.Result)
	must.NoError(t, f.AwaitVersion(v.Version))
	for _, s := range f.Services {
		s.Inject(plain.Faults{WorkMillis: 100})
	}
	var wg sync.WaitGroup
	responses := make([]response, 30)
	for i := range responses {
		wg.Go(func() { responses[i] = call(f, 0, "GET", "/bookings/1", "", "Host", f.Plan.Host) })
	}
	wg.Wait()
	for _, r := range responses {
		must.NoError(t, r.err)
		test.Eq(t, http.StatusOK, r.status, test.Sprint(string(r.body)))
	}
}

// The response to a booking is repeated by every node to the same request, while
// another request with the same key is rejected.
func TestRepeatedBookingIsReplayed(t *testing.T) {
	f := startFleet(t)
	for node := range f.Nodes {
		r := book(f, node, "same")
		must.Eq(t, http.StatusCreated, r.status, must.Sprint(string(r.body)))
		test.Eq(t, node > 0, r.header.Get("Idempotent-Replay") == "true")
	}
	r := call(f, 0, "POST", "/bookings", `{"Segment":2}`, "Host", f.Plan.Host, "Idempotency-Key", "same")
	test.Eq(t, "key-reused", r.errorBody(t).Code)
	test.Eq(t, 1, f.Runs.Counts()["same"])
}

func TestBookingWhoseAnswerIsLostStaysUnknown(t *testing.T) {
	f := startFleet(t)
	for _, s := range f.Services {
		s.Inject(plain.Faults{LoseAnswers: 1})
	}
	for node := range f.Nodes {
		r := book(f, node, "lost")
		must.NoError(t, r.err)
		test.Eq(t, ident.Unknown, r.outcome())
	}
	test.Eq(t, 1, f.Runs.Counts()["lost"])
}

func TestRefusedBookingMayBeRepeated(t *testing.T) {
	f := startFleet(t)
	for _, s := range f.Services {
		s.Inject(plain.Faults{RefuseMillis: int(testTimeout.Milliseconds())})
	}
	r := book(f, 0, "again")
	must.NoError(t, r.err)
	test.Eq(t, ident.NotRun, r.outcome())
	test.NotEq(t, "", r.header.Get("Retry-After"))
	test.MapEmpty(t, f.Runs.Counts())
	for _, s := range f.Services {
		s.Inject(plain.Faults{RefuseMillis: 1})
	}
	waitFor(t, "booking runs", func() bool { return book(f, 1, "again").status == http.StatusCreated })
	test.Eq(t, 1, f.Runs.Counts()["again"])
}

func TestLogOutage(t *testing.T) {
	f := startFleet(t)
	f.Log.Inject(logsrv.Faults{OutageMillis: 5000})
	r := book(f, 0, "down")
	must.NoError(t, r.err)
	test.Eq(t, ident.NotRun, r.outcome())
	test.MapEmpty(t, f.Runs.Counts())
	wantText(t, complete(f, 1, "hi", 4), "hi", 4)
	waitFor(t, "booking runs", func() bool { return book(f, 2, "down").status == http.StatusCreated })
	test.Eq(t, 1, f.Runs.Counts()["down"])
}

func TestLogThatLosesAnswersOrIsSilent(t *testing.T) {
	f := startFleet(t)
	f.Log.Inject(logsrv.Faults{LoseAnswers: 3})
	for i := range 6 {
		waitFor(t, "booking runs", func() bool { return book(f, i%3, fmt.Sprint(i)).status == http.StatusCreated })
	}
	f.Log.Inject(logsrv.Faults{Silence: true})
	waitFor(t, "booking runs", func() bool { return book(f, 0, "silent").status == http.StatusCreated })
	for k, n := range f.Runs.Counts() {
		test.Eq(t, 1, n, test.Sprint(k))
	}
}

func TestStreamSurvivesFaultsOfItsEngine(t *testing.T) {
	const output = 300
	cases := []struct {
		name  string
		fault engsrv.Faults
		down  bool
	}{
		{"crash", engsrv.Faults{CrashMillis: 60_000}, true},
		{"silent connections", engsrv.Faults{Silence: true}, false},
		{"stall", engsrv.Faults{StallMillis: 60_000}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t)
			got := make(chan response, 1)
			go func() { got <- complete(f, 0, c.name, output) }()
			waitFor(t, "engine is busy", func() bool { return busyEngine(f) >= 0 })
			i := busyEngine(f)
			time.Sleep(200 * time.Millisecond)
			f.Engines[i].Inject(c.fault)
			wantText(t, <-got, c.name, output)
			es, err := f.Client(0).Endpoints()
			must.NoError(t, err)
			for _, e := range es {
				if e.Name == f.Plan.EngineName(i) {
					test.Eq(t, c.down, e.State == "down", test.Sprint(e.State))
				}
			}
		})
	}
}

func TestPromptLargerThanAnEngine(t *testing.T) {
	f := startFleet(t)
	text := strings.Repeat("a", 4_000_000)
	wantText(t, complete(f, 0, text, 5), text, 5)
	waitFor(t, "memory is free", func() bool { return usedMemory(f) == 0 })
}

func TestConcurrentPromptsLargerThanAnEngine(t *testing.T) {
	f := startFleet(t)
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			text := strings.Repeat(string(rune('a'+i)), 4_000_000)
			wantText(t, complete(f, i, text, 5), text, 5)
		})
	}
	wg.Wait()
	waitFor(t, "memory is free", func() bool { return usedMemory(f) == 0 })
}

func TestCallerDisconnects(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		stream bool
	}{
		{"while it waits", strings.Repeat("a", 1_200_000), true},
		{"while several engines work", strings.Repeat("a", 4_000_000), true},
		{"without stream", "hi", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t)
			body := strings.Replace(promptBody(f, c.text, 1500), `"stream":true`, fmt.Sprintf(`"stream":%t`, c.stream), 1)
			ctx, cancel := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, "POST", "http://"+f.CallerAddrs()[0]+"/v1/chat/completions", strings.NewReader(body))
			must.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+f.Plan.Workspaces[0].Key())
			go client.Do(req)
			waitFor(t, "engine is busy", func() bool { return busyEngine(f) >= 0 })
			cancel()
			waitFor(t, "memory is free", func() bool { return usedMemory(f) == 0 })
		})
	}
}

func TestCrashingRequest(t *testing.T) {
	f := startFleetOf(t, 11)
	unrelated := make(chan response, 20)
	for i := range cap(unrelated) {
		go func() { unrelated <- complete(f, i%3, fmt.Sprintf("unrelated %d", i), 200) }()
	}
	waitFor(t, "engines are busy", func() bool { return usedMemory(f) > 0 })
	// A crash after the first token truncates the response, so the first responses
	// may be errors and only the last is checked.
	var last response
	for i := range 6 {
		last = complete(f, i%3, poisonText, 50)
	}
	must.NoError(t, last.err)
	test.Eq(t, "crashes-endpoints", last.errorBody(t).Code)
	test.Eq(t, ident.NotRun, last.outcome())
	crashes := 0
	for _, e := range f.Engines {
		crashes += e.CrashCount()
	}
	test.LessEq(t, 3, crashes)
	for range cap(unrelated) {
		r := <-unrelated
		must.NoError(t, r.err)
		test.Eq(t, http.StatusOK, r.status, test.Sprint(string(r.body)))
	}
}

// Guards against prompts that share a message which crashes engines: no two of them are
// alike, so each crashed some engines. Prompts that share only the other messages must be
// answered.
func TestMessageThatCrashesEnginesIsNoLongerSent(t *testing.T) {
	f := startFleetOf(t, 11)
	ask := func(i int, shared string) response {
		text := `[{"role":"system","content":"common"},{"role":"user","content":"` + shared + `"},{"role":"user","content":"question ` + fmt.Sprint(i) + `"}]`
		body := fmt.Sprintf(`{"model":%q,"max_tokens":20,"messages":%s}`, f.Plan.Model, text)
		return call(f, i%3, http.MethodPost, "/v1/chat/completions", body)
	}
	var last response
	for i := range 12 {
		last = ask(i, poisonText)
		ask(i, "sound")
	}
	must.NoError(t, last.err)
	test.Eq(t, "crashes-endpoints", last.errorBody(t).Code)
	crashes := 0
	for _, e := range f.Engines {
		crashes += e.CrashCount()
	}
	test.LessEq(t, 5, crashes)
	for i := range 6 {
		r := ask(i, "sound")
		must.NoError(t, r.err)
		test.Eq(t, http.StatusOK, r.status, test.Sprint(string(r.body)))
	}
}

func TestGracefulShutdownsFinishAllRequests(t *testing.T) {
	f := startFleet(t)
	const output = 150
	got := make(chan response, 60)
	for i := range cap(got) {
		go func() { got <- complete(f, i%3, fmt.Sprint(i), output) }()
	}
	waitFor(t, "engines are busy", func() bool { return usedMemory(f) > 0 })
	var wg sync.WaitGroup
	for _, m := range f.Nodes {
		wg.Go(func() { test.NoError(t, m.Stop()) })
	}
	for range cap(got) {
		r := <-got
		must.NoError(t, r.err)
		test.Eq(t, http.StatusOK, r.status)
		test.True(t, bytes.HasSuffix(r.body, []byte("data: [DONE]\n\n")))
	}
	wg.Wait()
}

func TestMemberStateAfterStopAndStart(t *testing.T) {
	f := startFleet(t)
	last := f.Nodes[len(f.Nodes)-1]
	member := func() admin.Member {
		ms, err := f.Client(0).Nodes()
		must.NoError(t, err)
		for _, m := range ms {
			if m.Admin == last.AdminAddr() {
				return m
			}
		}
		return admin.Member{}
	}
	waitFor(t, "member is alive", func() bool { return member().State == "alive" })
	boot := member().Boot
	must.NoError(t, last.Stop())
	waitFor(t, "member is gone", func() bool { return member().State == "leaving" || member().State == "dead" })
	must.NoError(t, last.Start())
	waitFor(t, "member is back", func() bool { return member().State == "alive" })
	test.Greater(t, boot, member().Boot)
	waitFor(t, "member has the version", func() bool { return member().Version == 1 })
	wantText(t, complete(f, 2, "hi", 3), "hi", 3)
}

func TestRacingPatches(t *testing.T) {
	f := startFleet(t)
	results := make(chan admin.Verdict, len(f.Nodes))
	for i := range f.Nodes {
		go func() {
			v, err := f.Client(i).Patch(admin.PatchRequest{ID: ident.PatchID(ident.NewID()), Base: 1, Author: "t", Merge: json.RawMessage(`{}`)})
			test.NoError(t, err)
			results <- v
		}()
	}
	accepted := 0
	for range f.Nodes {
		if v := <-results; v.Result == admin.Accepted {
			accepted++
		} else {
			test.Eq(t, admin.Stale, v.Result)
		}
	}
	test.Eq(t, 1, accepted)
	must.NoError(t, f.AwaitVersion(2))
}

func TestOrdersFollowTheConfiguration(t *testing.T) {
	f := startFleet(t)
	const extra = "assistente-mapas"
	merge := fmt.Sprintf(`{"Endpoints":{%q:{"Models":[%q,%q]},%q:{"Models":[%q]}},"Routes":{"maps":{"PathPrefix":"/v1/","Class":"Prompt","Models":[%q]}}}`,
		f.Plan.EngineName(0), f.Plan.Model, extra, f.Plan.EngineName(1), extra, extra)
	v, err := f.Patch(json.RawMessage(merge), 1)
	must.NoError(t, err)
	must.Eq(t, admin.Accepted, v.Result, must.Sprint(v.Problems))
	waitFor(t, "models are loaded and dropped", func() bool {
		return f.Engines[0].HasModel(extra) && f.Engines[1].HasModel(extra) && !f.Engines[1].HasModel(f.Plan.Model)
	})
	body := fmt.Sprintf(`{"model":%q,"prompt":"hi","max_tokens":2}`, extra)
	waitFor(t, "prompt is served", func() bool {
		return call(f, 0, "POST", "/v1/completions", body).status == http.StatusOK
	})
	test.Eq(t, 1, f.Engines[0].OrderCount())
	test.Eq(t, 2, f.Engines[1].OrderCount())
	test.Eq(t, 0, f.Engines[2].OrderCount())
	eng := &engin.Client{Pools: &conns.Pools{}}
	old := messg.Order{Number: -1, Drop: extra}
	test.ErrorIs(t, eng.Order(context.Background(), f.Engines[0].Address, old), messg.ErrOldFencingNumber)
	must.True(t, f.Engines[0].HasModel(extra))
	must.NoError(t, eng.Order(context.Background(), f.Engines[1].Address, old))
	waitFor(t, "the effect of the late order is undone", func() bool { return f.Engines[1].HasModel(extra) })
}

func TestTimelineAndUsageOfARequest(t *testing.T) {
	f := startFleet(t)
	r := complete(f, 0, "hi", 2)
	es, err := f.Client(0).Timeline(ident.RequestID(r.header.Get("X-Request-Id")), 100)
	must.NoError(t, err)
	var kinds []string
	for _, e := range es {
		kinds = append(kinds, string(e.Kind))
	}
	test.Eq(t, []string{"arrived", "admitted", "chosen", "first-token", "ended"}, kinds)
	rows, err := f.Client(0).Usage()
	must.NoError(t, err)
	must.Len(t, 1, rows)
	test.Eq(t, 2, rows[0].GeneratedTokens)
	_, err = (&admin.Client{Address: f.AdminAddrs()[0], Token: "wrong", Timeout: testTimeout}).Usage()
	test.ErrorIs(t, err, admin.ErrDenied)
}
