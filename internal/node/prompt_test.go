package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/engsrv"
)

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
