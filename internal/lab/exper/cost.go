package exper

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

const (
	metricsTimeout = 5 * time.Second
	maxAnswer      = 1 << 20
)

// Cost measures what one node spends, from outside of its process.
type Cost struct {
	// Node and Admin are addresses of the node, Direct is an endpoint's.
	Node, Admin, Direct string
	Key, Host, Model    string
	Workers             int
	For                 time.Duration
}

// Sample is what a closed loop of calls took.
type Sample struct {
	PerSecond float64
	P50, P99  time.Duration
	// CPU is the node's processor time for each call or token.
	CPU time.Duration
	// PerCore is what one core of the node can do at that CPU.
	PerCore float64
	Errors  int64
}

// Plain measures idempotent requests through the node and straight to the
// endpoint.
func (c Cost) Plain(ctx context.Context) (node, direct Sample, err error) {
	direct, err = c.loop(ctx, c.Direct, c.plainRequest, false)
	if err != nil {
		return node, direct, err
	}
	node, err = c.loop(ctx, c.Node, c.plainRequest, false)
	return node, direct, err
}

// Stream measures streamed tokens through the node.
func (c Cost) Stream(ctx context.Context) (Sample, error) {
	return c.loop(ctx, c.Node, c.promptRequest, true)
}

func (c Cost) plainRequest() *fasthttp.Request {
	r := fasthttp.AcquireRequest()
	r.SetRequestURI("/bookings/17")
	r.Header.SetHost(c.Host)
	r.Header.Set("Authorization", "Bearer "+c.Key)
	return r
}

func (c Cost) promptRequest() *fasthttp.Request {
	r := fasthttp.AcquireRequest()
	r.Header.SetMethod(fasthttp.MethodPost)
	r.SetRequestURI("/v1/chat/completions")
	r.Header.SetHost("laburnum.example")
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.SetBodyString(fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"hi"}]}`, c.Model))
	return r
}

// loop calls from all workers, one call after the other on each.
func (c Cost) loop(ctx context.Context, addr string, build func() *fasthttp.Request, tokens bool) (Sample, error) {
	var done, failed atomic.Int64
	took := make([][]time.Duration, c.Workers)
	before, err := c.cpu(ctx)
	if err != nil {
		return Sample{}, err
	}
	pools := &conns.Pools{}
	end := time.Now().Add(c.For)
	var wg sync.WaitGroup
	for w := range c.Workers {
		wg.Go(func() {
			req := build()
			defer fasthttp.ReleaseRequest(req)
			for time.Now().Before(end) && ctx.Err() == nil {
				began := time.Now()
				n, err := one(ctx, pools.Get(addr), req, tokens)
				if err != nil {
					failed.Add(1)
					continue
				}
				done.Add(n)
				took[w] = append(took[w], time.Since(began))
			}
		})
	}
	began := time.Now()
	wg.Wait()
	elapsed := time.Since(began)
	after, err := c.cpu(ctx)
	if err != nil {
		return Sample{}, err
	}
	return sample(slices.Concat(took...), done.Load(), failed.Load(), elapsed, after-before), nil
}

func sample(took []time.Duration, done, failed int64, elapsed, cpu time.Duration) Sample {
	s := Sample{Errors: failed}
	if done == 0 || len(took) == 0 {
		return s
	}
	slices.Sort(took)
	s.PerSecond = float64(done) / elapsed.Seconds()
	s.P50, s.P99 = took[len(took)/2], took[len(took)*99/100]
	s.CPU = cpu / time.Duration(done)
	s.PerCore = float64(done) / cpu.Seconds()
	return s
}

// one makes a call and returns 1, or the number of tokens of its answer.
func one(ctx context.Context, p *conns.Pool, req *fasthttp.Request, tokens bool) (int64, error) {
	r, err := p.Do(ctx, conns.Call{Request: req})
	if err != nil {
		return 0, err
	}
	defer r.Close()
	if r.Status != fasthttp.StatusOK {
		r.ReadError()
		return 0, errors.Errorf("status %d", r.Status)
	}
	if !tokens {
		_, err := r.ReadAll(maxAnswer)
		return 1, err
	}
	lines := bufio.NewReader(r)
	var n int64
	for {
		line, err := lines.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte("data: {")) {
			n++
		}
		if err == io.EOF {
			return n - 1, nil
		}
		if err != nil {
			return 0, err
		}
	}
}

// cpu reads the node's processor time from its metrics.
func (c Cost) cpu(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/metrics")
	req.Header.SetHost(c.Admin)
	r, err := (&conns.Pool{Address: c.Admin}).Do(ctx, conns.Call{Request: req})
	if err != nil {
		return 0, errors.Annotate(err, "metrics")
	}
	defer r.Close()
	raw, err := r.ReadAll(maxAnswer)
	if err != nil {
		return 0, errors.Annotate(err, "metrics")
	}
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "process_cpu_seconds_total "); ok {
			s, err := strconv.ParseFloat(v, 64)
			return time.Duration(s * float64(time.Second)), errors.Trace(err)
		}
	}
	return 0, errors.New("node's metrics hold no processor time")
}
