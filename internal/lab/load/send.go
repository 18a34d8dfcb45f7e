package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/engsrv"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	promptLimit  = 30 * time.Second
	bookingLimit = 5 * time.Second
	statusLimit  = 2 * time.Second
	// patience is how long a client waits beyond the limit before it counts
	// the request as broken.
	patience  = 5 * time.Second
	lineBytes = 64 << 10
	maxBody   = 1 << 20
)

// errorBody is the answer to a request that was not answered.
type errorBody struct {
	Code    string
	Outcome ident.Outcome
}

func (r *Runner) sendPrompt(ctx context.Context, rnd *rand.Rand, n int) {
	r.prompt(ctx, rnd, fmt.Sprint(n), Pick(r.Plan.Lengths, rnd))
}

func (r *Runner) prompt(ctx context.Context, rnd *rand.Rand, name string, l Length) {
	k := r.Plan.pickKey(rnd)
	text := r.content(rnd, fmt.Sprintf("%d-%s", r.Plan.Seed, name), int(l.Tokens)*4)
	messages := append(append([]byte(`[{"role":"user","content":"`), text...), `"}]`...)
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":`, r.Plan.Model, r.Plan.Output)
	body = append(append(body, messages...), '}')
	limit := promptLimit
	if r.Plan.Limit > 0 {
		limit = r.Plan.Limit
	}
	res := Result{Kind: Prompt, Class: l.Name, Workspace: k.Workspace, Limit: limit}
	req := r.request(k, fasthttp.MethodPost, "/v1/chat/completions", body)
	defer fasthttp.ReleaseRequest(req)
	if r.Plan.Limit > 0 {
		req.Header.Set("X-Time-Limit", r.Plan.Limit.String())
	}
	r.do(ctx, req, &res, func(a *conns.Reply, began time.Time) {
		readStream(a, began, &res, engsrv.Digest(messages), int64(r.Plan.Output))
	})
	r.results.add(res)
}

func (r *Runner) sendBooking(ctx context.Context, rnd *rand.Rand, n int) {
	k := r.Plan.pickKey(rnd)
	key := fmt.Sprintf("key-%d-%d", r.Plan.Seed, n)
	times := 1
	if rnd.IntN(100) < r.Plan.RepeatPercent {
		times = 2
	}
	var wg sync.WaitGroup
	for range times {
		wg.Go(func() { r.book(ctx, k, key, n) })
	}
	wg.Wait()
}

func (r *Runner) book(ctx context.Context, k Key, key string, n int) {
	res := Result{Kind: Booking, Workspace: k.Workspace, Limit: bookingLimit, Key: key}
	req := r.request(k, fasthttp.MethodPost, "/bookings", fmt.Appendf(nil, `{"Segment":%d}`, n))
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(r.Plan.Host)
	req.Header.Set("Idempotency-Key", key)
	r.do(ctx, req, &res, func(a *conns.Reply, _ time.Time) {
		raw, err := a.ReadAll(maxBody)
		var b struct{ Key string }
		bad := err != nil || json.Unmarshal(raw, &b) != nil
		res.Whole = !bad && b.Key == key
		res.Wrong = !bad && b.Key != key
	})
	r.results.add(res)
}

func (r *Runner) sendStatus(ctx context.Context, rnd *rand.Rand, n int) {
	k := r.Plan.pickKey(rnd)
	id := fmt.Sprintf("s-%d-%d", r.Plan.Seed, n)
	res := Result{Kind: Status, Workspace: k.Workspace, Limit: statusLimit}
	req := r.request(k, fasthttp.MethodGet, "/bookings/"+id, nil)
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(r.Plan.Host)
	r.do(ctx, req, &res, func(a *conns.Reply, _ time.Time) {
		raw, err := a.ReadAll(maxBody)
		var b struct{ Key string }
		bad := err != nil || json.Unmarshal(raw, &b) != nil
		res.Whole = !bad && b.Key == id
		res.Wrong = !bad && b.Key != id
	})
	r.results.add(res)
}

func (r *Runner) request(k Key, method, path string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost("laburnum.example")
	req.Header.Set("Authorization", "Bearer "+k.Key)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	return req
}

// do sends a request to a node and reads its answer. Requests use new
// connections, as callers behind the platform's balancer do.
func (r *Runner) do(ctx context.Context, req *fasthttp.Request, res *Result, read func(*conns.Reply, time.Time)) {
	began := time.Now()
	res.At = began.Sub(r.start)
	defer func() { res.Took = time.Since(began) }()
	addr, err := r.Balancer.Pick()
	if err != nil {
		res.Error = err.Error()
		return
	}
	res.Node = addr
	ctx, cancel := context.WithTimeout(ctx, res.Limit+patience)
	defer cancel()
	a, err := r.Balancer.Pools.Get(addr).Do(ctx, conns.Call{Request: req, Fresh: true})
	if err != nil {
		res.Error = err.Error()
		return
	}
	defer a.Close()
	res.Status = a.Status
	res.Outcome = ident.Outcome(a.Header.Peek("X-Outcome"))
	res.RequestID = ident.RequestID(a.Header.Peek("X-Request-Id"))
	if a.Status >= 400 {
		var e errorBody
		json.Unmarshal(a.ReadError(), &e)
		res.Code = e.Code
		return
	}
	read(a, began)
}

// event is what the load reads of a server-sent event.
type event struct {
	Choices []struct {
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
	Error *errorBody
}

// readStream reads a streamed answer and compares it with the one that the
// stand-in engines give to the prompt.
func readStream(a *conns.Reply, began time.Time, res *Result, digest uint64, output int64) {
	lines := bufio.NewScanner(a)
	lines.Buffer(make([]byte, lineBytes), lineBytes)
	var n int64
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			res.Whole = n == output && !res.Wrong
			continue
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			res.Wrong = true
			continue
		}
		if e.Error != nil {
			res.Outcome, res.Code = e.Error.Outcome, e.Error.Code
			return
		}
		if len(e.Choices) == 0 || e.Choices[0].Delta.Content == "" {
			continue
		}
		if n == 0 {
			res.First = time.Since(began)
		}
		if e.Choices[0].Delta.Content != engsrv.Text(digest, n) {
			res.Wrong = true
		}
		n++
	}
	if err := lines.Err(); err != nil || !res.Whole {
		res.Error = fmt.Sprintf("stream ended early after %d tokens: %v", n, err)
	}
}
