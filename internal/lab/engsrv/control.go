package engsrv

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/httpd"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/pkg/ident"
)

// transferRate is the speed of KV export and import in tokens a second.
const transferRate = 2_000_000

const (
	fetchTries = 20
	fetchPause = 200 * time.Millisecond
)

// report is a load snapshot.
type report struct {
	at time.Time
	engsim.Load
	leaving bool
}

// Report is the answer to a load call.
type Report struct {
	Running, Waiting      int
	ShortQueue, LongQueue ident.Tokens
	Held, Memory          ident.Tokens
	PrefillRate           ident.Tokens
	StepMicros            int64
	Models                []ident.ModelName
	Leaving               bool
}

// snapshots keeps the load of the last moments, so that reports can lag.
func (s *Server) snapshots(ctx context.Context) {
	delay.Every(ctx, reportEvery, s.snapshot)
}

func (s *Server) snapshot(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, report{now, s.engine.Load(), s.engine.Leaving})
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.Lag {
		s.history = s.history[1:]
	}
}

func (s *Server) load(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r report
	if len(s.history) > 0 {
		r = s.history[0]
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, Report{
		Running: r.Running, Waiting: r.Waiting,
		ShortQueue: r.ShortQueue, LongQueue: r.LongQueue,
		Held: r.Held, Memory: s.Sim.Memory,
		PrefillRate: s.Sim.PrefillRate,
		StepMicros:  r.Step.Microseconds(),
		Models:      s.Models,
		Leaving:     r.leaving,
	})
}

// events lists cache events, with gaps.
func (s *Server) events(ctx *fasthttp.RequestCtx) {
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := []engsim.CacheEvent{}
	for _, v := range s.engine.Events(after) {
		if s.rnd.IntN(100) >= s.GapPercent {
			kept = append(kept, v)
		}
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, kept)
}

// Reservation asks for memory or for work on reserved memory.
type Reservation struct {
	Owner  string
	Tokens ident.Tokens
}

func (s *Server) reserve(ctx *fasthttp.RequestCtx) {
	var r Reservation
	if !s.accepts(ctx) || !httpd.DecodeBody(ctx, &r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.engine.Reserve(r.Owner, r.Tokens); err != nil {
		failWith(ctx, err)
	}
}

func (s *Server) release(ctx *fasthttp.RequestCtx) {
	var r Reservation
	if !httpd.DecodeBody(ctx, &r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Release(r.Owner)
	s.poke()
}

// prefill computes the KV of a reserved part and returns when it is done.
func (s *Server) prefill(ctx *fasthttp.RequestCtx) {
	var r Reservation
	if !s.accepts(ctx) || !httpd.DecodeBody(ctx, &r) {
		return
	}
	q := &engsim.Sequence{ID: ident.RequestID("prefill-" + r.Owner), Prompt: r.Tokens, Output: 1, Priority: 1, Reserved: true}
	t := &stream{seq: q, tokens: make(chan engsim.Token, 2), lost: make(chan struct{})}
	if !s.holds(r.Owner) {
		failWith(ctx, engsim.ErrUnknown)
		return
	}
	if err := s.submit(t); err != nil {
		failWith(ctx, err)
		return
	}
	select {
	case <-t.tokens:
	case <-t.lost:
		failWith(ctx, errLost)
	}
}

func (s *Server) holds(owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.engine.Reserved(owner)
	return ok
}

// transfer models a KV export or import of a reservation.
func (s *Server) transfer(ctx *fasthttp.RequestCtx) {
	var r Reservation
	if !httpd.DecodeBody(ctx, &r) {
		return
	}
	if !s.holds(r.Owner) {
		failWith(ctx, engsim.ErrUnknown)
		return
	}
	time.Sleep(time.Duration(float64(r.Tokens) / transferRate * float64(time.Second)))
}

// Order tells an engine to change what it serves.
type Order struct {
	// Number is the fencing number of the holder.
	Number ident.Offset
	// Load names a model to load, Drop one to drop.
	Load, Drop ident.ModelName
}

func (s *Server) order(ctx *fasthttp.RequestCtx) {
	var o Order
	if !httpd.DecodeBody(ctx, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ChecksOrders && o.Number < s.lastNum {
		httpd.WriteError(ctx, fasthttp.StatusConflict, "old-number", fmt.Sprintf("newest number is %d", s.lastNum))
		return
	}
	s.lastNum = max(s.lastNum, o.Number)
	s.orders++
	if o.Load == "" || s.WeightStore == "" {
		s.carryOut(o)
		return
	}
	go s.fetch(o)
}

// fetch loads a model from the weight store, which may refuse for a while.
func (s *Server) fetch(o Order) {
	for range fetchTries {
		status, _, err := fasthttp.Get(nil, "http://"+s.WeightStore+"/fetch?model="+url.QueryEscape(string(o.Load)))
		if err == nil && status == fasthttp.StatusOK {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.carryOut(o)
			return
		}
		time.Sleep(fetchPause)
	}
}

// Orders returns the number of orders accepted.
func (s *Server) Orders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

// HasModel reports whether the engine serves a model.
func (s *Server) HasModel(m ident.ModelName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.Models, m)
}

func (s *Server) carryOut(o Order) {
	ms := []ident.ModelName{}
	for _, m := range s.Models {
		if m != o.Drop && m != o.Load {
			ms = append(ms, m)
		}
	}
	if o.Load != "" {
		ms = append(ms, o.Load)
	}
	s.Models = ms
}

// failWith answers with the status of an engine error.
func failWith(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, engsim.ErrLeaving):
		httpd.WriteError(ctx, fasthttp.StatusServiceUnavailable, "leaving", err.Error())
	case errors.Is(err, engsim.ErrNoMemory):
		httpd.WriteError(ctx, fasthttp.StatusConflict, "no-memory", err.Error())
	case errors.Is(err, engsim.ErrTooLarge):
		httpd.WriteError(ctx, fasthttp.StatusRequestEntityTooLarge, "too-large", err.Error())
	default:
		httpd.WriteError(ctx, fasthttp.StatusInternalServerError, "failed", err.Error())
	}
}
