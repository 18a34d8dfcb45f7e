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
	// maxBodyBytes is the size of the largest response that is read.
	maxBodyBytes = 1 << 20
)

// CostBenchmark measures the latency, throughput and CPU time of one node from
// outside its process.
type CostBenchmark struct {
	// NodeAddr and AdminAddr are the node's addresses for callers and for
	// operators. ServiceAddr is the address of a plain service, which is also
	// called directly for comparison.
	NodeAddr, AdminAddr, ServiceAddr string
	// Host is the Host header of plain requests.
	APIKey, Host, Model string
	// Workers is the number of concurrent calls.
	Workers int
	// Duration is the length of each measurement.
	Duration time.Duration
}

// Measurement summarizes calls of concurrent workers, each of which sends its
// next call when its previous one has ended.
type Measurement struct {
	// PerSecond is the number of calls or tokens per second.
	PerSecond float64
	// P50 and P99 are percentiles of the duration of the successful calls. A
	// call lasts until its response, or its whole stream, has been read.
	P50, P99 time.Duration
	// CPU is the node's CPU time per call or token. CPU and PerCore have no
	// meaning for calls that bypass the node.
	CPU time.Duration
	// PerCore is the number of calls or tokens per second of CPU time.
	PerCore float64
	Failed  int64
}

// MeasurePlain measures status checks, which are idempotent plain requests, sent
// through the node and directly to the service.
func (c CostBenchmark) MeasurePlain(ctx context.Context) (node, direct Measurement, err error) {
	direct, err = c.runClosedLoop(ctx, c.ServiceAddr, c.plainRequest, false)
	if err != nil {
		return node, direct, err
	}
	node, err = c.runClosedLoop(ctx, c.NodeAddr, c.plainRequest, false)
	return node, direct, err
}

// MeasureStream measures tokens streamed through the node.
func (c CostBenchmark) MeasureStream(ctx context.Context) (Measurement, error) {
	return c.runClosedLoop(ctx, c.NodeAddr, c.promptRequest, true)
}

func (c CostBenchmark) plainRequest() *fasthttp.Request {
	r := fasthttp.AcquireRequest()
	r.SetRequestURI("/bookings/17")
	r.Header.SetHost(c.Host)
	r.Header.Set("Authorization", "Bearer "+c.APIKey)
	return r
}

func (c CostBenchmark) promptRequest() *fasthttp.Request {
	r := fasthttp.AcquireRequest()
	r.Header.SetMethod(fasthttp.MethodPost)
	r.SetRequestURI("/v1/chat/completions")
	r.Header.SetHost("laburnum.example")
	r.Header.Set("Authorization", "Bearer "+c.APIKey)
	r.SetBodyString(fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"hi"}]}`, c.Model))
	return r
}

// runClosedLoop calls an address from all workers until the duration is over.
// Each worker sends its next call when its previous one has ended. If streamed
// is set, the tokens are counted instead of the calls.
func (c CostBenchmark) runClosedLoop(ctx context.Context, addr string, build func() *fasthttp.Request, streamed bool) (Measurement, error) {
	var count, failed atomic.Int64
	took := make([][]time.Duration, c.Workers)
	before, err := c.nodeCPU(ctx)
	if err != nil {
		return Measurement{}, err
	}
	pools := &conns.Pools{}
	end := time.Now().Add(c.Duration)
	var wg sync.WaitGroup
	for w := range c.Workers {
		wg.Go(func() {
			req := build()
			defer fasthttp.ReleaseRequest(req)
			for time.Now().Before(end) && ctx.Err() == nil {
				began := time.Now()
				n, err := call(ctx, pools.Get(addr), req, streamed)
				if err != nil {
					failed.Add(1)
					continue
				}
				count.Add(n)
				took[w] = append(took[w], time.Since(began))
			}
		})
	}
	began := time.Now()
	wg.Wait()
	elapsed := time.Since(began)
	after, err := c.nodeCPU(ctx)
	if err != nil {
		return Measurement{}, err
	}
	return summarize(slices.Concat(took...), count.Load(), failed.Load(), elapsed, after-before), nil
}

func summarize(took []time.Duration, count, failed int64, elapsed, cpu time.Duration) Measurement {
	s := Measurement{Failed: failed}
	if count == 0 || len(took) == 0 {
		return s
	}
	slices.Sort(took)
	s.PerSecond = float64(count) / elapsed.Seconds()
	s.P50, s.P99 = took[len(took)/2], took[len(took)*99/100]
	s.CPU = cpu / time.Duration(count)
	s.PerCore = float64(count) / cpu.Seconds()
	return s
}

// call sends a request and returns 1, or the number of tokens if the response is
// streamed. Each event of a stream has one token, except for the last one, which
// has none.
func call(ctx context.Context, p *conns.Pool, req *fasthttp.Request, streamed bool) (int64, error) {
	r, err := p.Do(ctx, conns.Call{Request: req})
	if err != nil {
		return 0, err
	}
	defer r.Close()
	if r.Status != fasthttp.StatusOK {
		r.ReadError()
		return 0, errors.Errorf("status %d", r.Status)
	}
	if !streamed {
		_, err := r.ReadAll(maxBodyBytes)
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

// nodeCPU returns the CPU time that the node has used, from its metrics.
func (c CostBenchmark) nodeCPU(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("/metrics")
	req.Header.SetHost(c.AdminAddr)
	r, err := (&conns.Pool{Address: c.AdminAddr}).Do(ctx, conns.Call{Request: req})
	if err != nil {
		return 0, errors.Annotate(err, "read the node's metrics")
	}
	defer r.Close()
	raw, err := r.ReadAll(maxBodyBytes)
	if err != nil {
		return 0, errors.Annotate(err, "read the node's metrics")
	}
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "process_cpu_seconds_total "); ok {
			s, err := strconv.ParseFloat(v, 64)
			return time.Duration(s * float64(time.Second)), errors.Trace(err)
		}
	}
	return 0, errors.New("the node's metrics lack process_cpu_seconds_total")
}
