package node_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/fleet"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

func benchFleet(b *testing.B) *fleet.Fleet {
	plan, err := fleet.PlanOf("duct")
	must.NoError(b, err)
	plan.Engines, plan.Nodes = 2, 1
	sim := engsim.DefaultSettings()
	sim.StepBase, sim.StepPerSequence = 0, 1
	f := &fleet.Fleet{Plan: plan, Seed: 1, Logger: zerolog.Nop(), EngineSettings: &sim}
	must.NoError(b, f.Start(context.Background()))
	b.Cleanup(func() { f.Stop() })
	for _, s := range f.Services {
		s.ServiceTime = 0
	}
	return f
}

// BenchmarkPlain measures an idempotent request through a node, with the caller,
// the node and the endpoints in one process.
func BenchmarkPlain(b *testing.B) {
	f := benchFleet(b)
	pool := &conns.Pool{Address: f.CallerAddrs()[0]}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("/bookings/17")
		req.Header.SetHost(f.Plan.Host)
		req.Header.Set("Authorization", "Bearer "+f.Plan.Workspaces[0].Key())
		for pb.Next() {
			r, err := pool.Do(context.Background(), conns.Call{Request: req})
			if err != nil {
				b.Error(err)
				return
			}
			if _, err := r.ReadAll(1 << 20); err != nil || r.Status != fasthttp.StatusOK {
				b.Errorf("status %d: %v", r.Status, err)
			}
			r.Close()
		}
	})
}

// BenchmarkToken measures the time per token of streamed answers through a node,
// with the caller, the node and the engines in one process. One request covers
// as many iterations of the benchmark as its answer has tokens.
func BenchmarkToken(b *testing.B) {
	f := benchFleet(b)
	pool := &conns.Pool{Address: f.CallerAddrs()[0]}
	const output = 1000
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		req := fasthttp.AcquireRequest()
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("/v1/chat/completions")
		req.Header.SetHost("h")
		req.Header.Set("Authorization", "Bearer "+f.Plan.Workspaces[0].Key())
		req.SetBodyString(promptBody(f, "hi", output))
		left := 0
		for pb.Next() {
			if left > 0 {
				left--
				continue
			}
			left = output - 1
			r, err := pool.Do(context.Background(), conns.Call{Request: req})
			if err != nil {
				b.Error(err)
				return
			}
			raw, err := r.ReadAll(1 << 22)
			if err != nil || !bytes.HasSuffix(raw, []byte("[DONE]\n\n")) {
				b.Errorf("status %d: %v", r.Status, err)
			}
			r.Close()
		}
	})
}
