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

// transferRate is the speed of KV export and import, in tokens per second.
const transferRate = 2_000_000

// A model is fetched from the weight store in up to maxFetchAttempts attempts,
// with a pause of fetchRetryInterval after each failure.
const (
	maxFetchAttempts   = 20
	fetchRetryInterval = 200 * time.Millisecond
)

// loadSnapshot is the engine's load at the time takenAt.
type loadSnapshot struct {
	takenAt time.Time
	engsim.Load
	leaving bool
}

// Report is the response body of /load.
type Report struct {
	// Running and Waiting are numbers of sequences.
	Running, Waiting int
	// ShortQueue and LongQueue are the prompt tokens not yet prefilled, of
	// sequences with priority zero and of all others.
	ShortQueue, LongQueue ident.Tokens
	// Held is the memory used by running sequences and reservations, Memory the
	// size of the KV memory, both in tokens.
	Held, Memory ident.Tokens
	// PrefillRate is in tokens per second.
	PrefillRate ident.Tokens
	// StepMicros is the duration of the last step in microseconds.
	StepMicros int64
	Models     []ident.ModelName
	Leaving    bool
}

// recordLoad takes a snapshot of the load at each interval until the context
// ends, so that handleLoad can report a load that is Lag old.
func (s *Server) recordLoad(ctx context.Context) {
	delay.Every(ctx, snapshotInterval, s.takeSnapshot)
}

// takeSnapshot adds a snapshot to the load history and drops old ones, so that the
// first one left is the one to report.
func (s *Server) takeSnapshot(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadHistory = append(s.loadHistory, loadSnapshot{now, s.engine.Load(), s.engine.Leaving})
	for len(s.loadHistory) > 1 && now.Sub(s.loadHistory[1].takenAt) >= s.Lag {
		s.loadHistory = s.loadHistory[1:]
	}
}

func (s *Server) handleLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l loadSnapshot
	if len(s.loadHistory) > 0 {
		l = s.loadHistory[0]
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, Report{
		Running: l.Running, Waiting: l.Waiting,
		ShortQueue: l.ShortQueue, LongQueue: l.LongQueue,
		Held: l.UsedMemory, Memory: s.EngineSettings.Memory,
		PrefillRate: s.EngineSettings.PrefillRate,
		StepMicros:  l.StepTime.Microseconds(),
		Models:      s.Models,
		Leaving:     l.leaving,
	})
}

// handleEvents responds with the cache events after a sequence number. It leaves
// out each event with a probability of EventLossPercent.
func (s *Server) handleEvents(ctx *fasthttp.RequestCtx) {
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := []engsim.CacheEvent{}
	for _, v := range s.engine.Events(after) {
		if s.rnd.IntN(100) >= s.EventLossPercent {
			kept = append(kept, v)
		}
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, kept)
}

// Reservation is the request body of /reserve, /release, /prefill, /export and
// /import.
type Reservation struct {
	Owner string
	// Tokens is the memory to reserve, or the number of tokens to prefill or to
	// transfer. /release ignores it.
	Tokens ident.Tokens
}

func (s *Server) handleReserve(ctx *fasthttp.RequestCtx) {
	var r Reservation
	if !s.acceptsRequests(ctx) || !httpd.DecodeBody(ctx, &r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.engine.Reserve(r.Owner, r.Tokens); err != nil {
		failWith(ctx, err)
	}
}

func (s *Server) handleRelease(ctx *fasthttp.RequestCtx) {
	var r Reservation
	if !httpd.DecodeBody(ctx, &r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Release(r.Owner)
	s.wakeSteps()
}

// handlePrefill prefills a part of a prompt into reserved memory and responds when
// the prefill is complete.
func (s *Server) handlePrefill(ctx *fasthttp.RequestCtx) {
	var r Reservation
	if !s.acceptsRequests(ctx) || !httpd.DecodeBody(ctx, &r) {
		return
	}
	q := &engsim.Sequence{ID: ident.RequestID("prefill-" + r.Owner), Prompt: r.Tokens, Output: 1, Priority: 1, HasReservation: true}
	t := &stream{seq: q, tokens: make(chan engsim.Token, 2), aborted: make(chan struct{})}
	if !s.hasReservation(r.Owner) {
		failWith(ctx, engsim.ErrNoReservation)
		return
	}
	if err := s.submit(t); err != nil {
		failWith(ctx, err)
		return
	}
	select {
	case <-t.tokens:
	case <-t.aborted:
		failWith(ctx, errAborted)
	}
}

func (s *Server) hasReservation(owner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.engine.ReservedMemory(owner)
	return ok
}

// handleTransfer simulates the KV export or import of a reservation: it only waits
// for as long as the transfer would take.
func (s *Server) handleTransfer(ctx *fasthttp.RequestCtx) {
	var r Reservation
	if !httpd.DecodeBody(ctx, &r) {
		return
	}
	if !s.hasReservation(r.Owner) {
		failWith(ctx, engsim.ErrNoReservation)
		return
	}
	time.Sleep(time.Duration(float64(r.Tokens) / transferRate * float64(time.Second)))
}

// Order makes an engine load a model, drop one, or both.
type Order struct {
	// Number is the fencing number of the lease under which the order is sent.
	Number ident.Offset
	// Load names the model to load, Drop the one to drop; each may be empty.
	Load, Drop ident.ModelName
}

func (s *Server) handleOrder(ctx *fasthttp.RequestCtx) {
	var o Order
	if !httpd.DecodeBody(ctx, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ChecksOrders && o.Number < s.highestNumber {
		httpd.WriteError(ctx, fasthttp.StatusConflict, "old-number", fmt.Sprintf("newest number is %d", s.highestNumber))
		return
	}
	s.highestNumber = max(s.highestNumber, o.Number)
	s.orderCount++
	if o.Load == "" || s.WeightStore == "" {
		s.applyOrder(o)
		return
	}
	go s.fetchModel(o)
}

// fetchModel fetches the model of an order from the weight store and then applies
// the order. It retries failed fetches, since the store may reject them for a
// while, and drops the order after the last attempt.
func (s *Server) fetchModel(o Order) {
	for range maxFetchAttempts {
		status, _, err := fasthttp.Get(nil, "http://"+s.WeightStore+"/fetch?model="+url.QueryEscape(string(o.Load)))
		if err == nil && status == fasthttp.StatusOK {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.applyOrder(o)
			return
		}
		time.Sleep(fetchRetryInterval)
	}
}

// OrderCount returns the number of accepted orders.
func (s *Server) OrderCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orderCount
}

// HasModel reports whether the engine serves a model.
func (s *Server) HasModel(m ident.ModelName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.Models, m)
}

// applyOrder changes the list of models. s.mu must be held.
func (s *Server) applyOrder(o Order) {
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

// failWith responds with the status and the code for an engine's error, or with
// status 500 for any other error.
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
