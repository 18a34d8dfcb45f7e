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

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/engsrv"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// The time limits of the routes of the example fleets.
	promptLimit  = 30 * time.Second
	bookingLimit = 5 * time.Second
	statusLimit  = 2 * time.Second
	// callerSlack is how long the runner waits for the response beyond the time
	// limit of the request before it abandons the request.
	callerSlack = 5 * time.Second
	// maxLineBytes is the length of the longest line of a stream that is read.
	maxLineBytes = 64 << 10
	// maxBodyBytes is the size of the largest response body that is read.
	maxBodyBytes = 1 << 20
)

// errorBody is the body of an error response, or the error in an event of a
// stream.
type errorBody struct {
	Code    string
	Outcome ident.Outcome
}

func (r *Runner) sendPrompt(ctx context.Context, rnd *rand.Rand, n int) {
	r.streamPrompt(ctx, rnd, fmt.Sprint(n), PickClass(r.Plan.Mix, rnd))
}

// streamPrompt sends a prompt and checks the streamed response.
func (r *Runner) streamPrompt(ctx context.Context, rnd *rand.Rand, name string, class PromptClass) {
	key := r.Plan.pickKey(rnd)
	text := r.promptText(rnd, fmt.Sprintf("%d-%s", r.Plan.Seed, name), int(class.Tokens)*4)
	messages := append(append([]byte(`[{"role":"user","content":"`), text...), `"}]`...)
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":`, r.Plan.Model, r.Plan.Output)
	body = append(append(body, messages...), '}')
	limit := promptLimit
	if r.Plan.Limit > 0 {
		limit = r.Plan.Limit
	}
	res := Result{Kind: Prompt, Class: class.Name, Workspace: key.Workspace, Limit: limit}
	req := r.newRequest(key, fasthttp.MethodPost, "/v1/chat/completions", body)
	defer fasthttp.ReleaseRequest(req)
	if r.Plan.Limit > 0 {
		req.Header.Set("X-Time-Limit", r.Plan.Limit.String())
	}
	r.do(ctx, req, &res, func(reply *conns.Response, began time.Time) {
		readStream(reply, began, &res, engsrv.Digest(messages), int64(r.Plan.Output))
	})
	r.results.add(res)
}

// sendBooking sends a booking, or two copies of it at the same time.
func (r *Runner) sendBooking(ctx context.Context, rnd *rand.Rand, n int) {
	k := r.Plan.pickKey(rnd)
	idempotencyKey := fmt.Sprintf("key-%d-%d", r.Plan.Seed, n)
	copies := 1
	if rnd.IntN(100) < r.Plan.RepeatPercent {
		copies = 2
	}
	var wg sync.WaitGroup
	for range copies {
		wg.Go(func() { r.book(ctx, k, idempotencyKey, n) })
	}
	wg.Wait()
}

func (r *Runner) book(ctx context.Context, k WorkspaceKey, idempotencyKey string, n int) {
	res := Result{Kind: Booking, Workspace: k.Workspace, Limit: bookingLimit, Key: idempotencyKey}
	req := r.newRequest(k, fasthttp.MethodPost, "/bookings", fmt.Appendf(nil, `{"Segment":%d}`, n))
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(r.Plan.Host)
	req.Header.Set("Idempotency-Key", idempotencyKey)
	r.do(ctx, req, &res, func(reply *conns.Response, _ time.Time) { readBooking(reply, &res, idempotencyKey) })
	r.results.add(res)
}

func (r *Runner) sendStatus(ctx context.Context, rnd *rand.Rand, n int) {
	k := r.Plan.pickKey(rnd)
	id := fmt.Sprintf("s-%d-%d", r.Plan.Seed, n)
	res := Result{Kind: Status, Workspace: k.Workspace, Limit: statusLimit}
	req := r.newRequest(k, fasthttp.MethodGet, "/bookings/"+id, nil)
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(r.Plan.Host)
	r.do(ctx, req, &res, func(reply *conns.Response, _ time.Time) { readBooking(reply, &res, id) })
	r.results.add(res)
}

// readBooking reads the response to a booking or a status check, and checks that it names
// the given key.
func readBooking(reply *conns.Response, res *Result, key string) {
	raw, err := reply.ReadAll(maxBodyBytes)
	var booking struct{ Key string }
	if err != nil || json.Unmarshal(raw, &booking) != nil {
		return
	}
	res.Whole = booking.Key == key
	res.Wrong = !res.Whole
}

func (r *Runner) newRequest(k WorkspaceKey, method, path string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost("laburnum.example")
	req.Header.Set("Authorization", "Bearer "+k.APIKey)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	return req
}

// do sends a request to a node, and calls read for a successful response. Prompts use
// new connections, as with the platform's load balancer; the others use kept ones until
// these have ended.
func (r *Runner) do(ctx context.Context, req *fasthttp.Request, res *Result, read func(*conns.Response, time.Time)) {
	began := time.Now()
	res.At = began.Sub(r.start)
	defer func() { res.Took = time.Since(began) }()
	addr, err := r.Balancer.Pick()
	if err != nil {
		res.Error = err.Error()
		return
	}
	res.Node = addr
	ctx, cancel := context.WithTimeout(ctx, res.Limit+callerSlack)
	defer cancel()
	reply, err := r.Balancer.Pools.Get(addr).Do(ctx, conns.Call{Request: req, Fresh: res.Kind == Prompt})
	if err != nil {
		res.Error = err.Error()
		res.Unanswered = errors.Is(err, conns.ErrNoResponse) && ctx.Err() == nil
		return
	}
	defer reply.Close()
	res.Status = reply.Status
	res.Outcome = ident.Outcome(reply.Header.Peek("X-Outcome"))
	res.RequestID = ident.RequestID(reply.Header.Peek("X-Request-Id"))
	if reply.Status >= 400 {
		var e errorBody
		json.Unmarshal(reply.ReadError(), &e)
		res.Code = e.Code
		return
	}
	read(reply, began)
}

// event holds the fields of a server-sent event that readStream checks.
type event struct {
	Choices []struct {
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
	Error *errorBody
}

// readStream reads a streamed response and compares each token with the one
// that the stand-in engines generate for the prompt with this digest.
func readStream(reply *conns.Response, began time.Time, res *Result, digest uint64, output int64) {
	lines := bufio.NewScanner(reply)
	lines.Buffer(make([]byte, maxLineBytes), maxLineBytes)
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
		if e.Choices[0].Delta.Content != engsrv.TokenText(digest, n) {
			res.Wrong = true
		}
		n++
	}
	if err := lines.Err(); err != nil || !res.Whole {
		res.Error = fmt.Sprintf("stream incomplete or wrong after %d tokens, read error: %v", n, err)
	}
}
