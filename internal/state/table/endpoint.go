package table

import (
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Endpoint holds the configuration, the last load report and the state of one
// endpoint as this node sees it. It is kept in later configuration versions as
// long as its address stays the same. It is safe for concurrent use.
type Endpoint struct {
	Name ident.EndpointName

	config atomic.Pointer[confg.Endpoint]
	load   atomic.Pointer[Load]
	state  atomic.Int32
	// Calls is the number of requests that this node has in flight at the
	// endpoint.
	Calls atomic.Int64
	// Suspects counts those of them that may have crashed an endpoint before.
	Suspects atomic.Int64
	// PeerSuspects counts the suspect requests that the other nodes have in
	// flight at the endpoint.
	PeerSuspects atomic.Int64
	// sentShort and sentLong sum the tokens of the short and long prompts that
	// this node sent, sentMemory those of the prompts and their answers.
	sentShort  recentTokens
	sentLong   recentTokens
	sentMemory recentTokens
}

// recentTokens sums the tokens sent since the second last load report. The last
// report may not cover all of them, since it may be up to one interval old when
// it arrives.
type recentTokens struct {
	current, previous atomic.Int64
}

func (r *recentTokens) add(n ident.Tokens) { r.current.Add(int64(n)) }

func (r *recentTokens) rotate() { r.previous.Store(r.current.Swap(0)) }

func (r *recentTokens) sum() ident.Tokens {
	return ident.Tokens(r.current.Load() + r.previous.Load())
}

// Config returns the endpoint's configuration; it must not be changed.
func (e *Endpoint) Config() *confg.Endpoint { return e.config.Load() }

// State returns whether the endpoint gets new requests.
func (e *Endpoint) State() State { return State(e.state.Load()) }

// SetState sets whether the endpoint gets new requests.
func (e *Endpoint) SetState(s State) { e.state.Store(int32(s)) }

// Load returns the newest load report. Before the first report, it returns an
// idle load with the memory, prefill rate and models of the configuration.
func (e *Endpoint) Load() *Load {
	if l := e.load.Load(); l != nil {
		return l
	}
	c := e.Config()
	return &Load{Memory: c.MemoryTokens, PrefillRate: c.PrefillRate, Models: c.Models}
}

// HasReport reports whether a load report has been stored.
func (e *Endpoint) HasReport() bool { return e.load.Load() != nil }

// SetLoad stores a new load report and starts a new interval of the sums of
// AddSent.
func (e *Endpoint) SetLoad(l *Load) {
	e.load.Store(l)
	e.sentShort.rotate()
	e.sentLong.rotate()
	e.sentMemory.rotate()
}

// AddSent counts a prompt sent by this node: the size of the prompt and of the
// longest answer, in tokens, and whether the prompt counts as short.
func (e *Endpoint) AddSent(prompt, output ident.Tokens, short bool) {
	if short {
		e.sentShort.add(prompt)
	} else {
		e.sentLong.add(prompt)
	}
	e.sentMemory.add(prompt + output)
}

// RecentlyUsed reports whether this node has requests in flight at the endpoint
// or sent it any since the second last load report.
func (e *Endpoint) RecentlyUsed() bool { return e.Calls.Load() > 0 || e.sentMemory.sum() > 0 }

// LoadEstimate is an endpoint's load as estimated from its last report.
type LoadEstimate struct {
	// ShortQueue and LongQueue are the tokens of short and long prompts that are
	// not yet prefilled.
	ShortQueue, LongQueue ident.Tokens
	// FreeMemory is the KV memory that is neither in use nor needed by recently
	// sent prompts and their answers. Memory is the total size.
	FreeMemory  ident.Tokens
	PrefillRate ident.Tokens
	StepTime    time.Duration
	// Running is the reported number of running sequences plus this node's
	// requests in flight.
	Running int
	Memory  ident.Tokens
}

// EstimateLoad returns the estimated load at a time. It assumes that each of the
// given number of nodes sent as much as this one since the second last report,
// and that the endpoint has prefilled at its full rate since the last one.
func (e *Endpoint) EstimateLoad(now time.Time, nodes int) LoadEstimate {
	l := e.Load()
	rate := max(1, l.PrefillRate)
	prefilled := ident.Tokens(0)
	if !l.At.IsZero() {
		prefilled = ident.Tokens(now.Sub(l.At).Seconds() * float64(rate))
	}
	nodeCount := ident.Tokens(nodes)
	short := l.ShortQueue + e.sentShort.sum()*nodeCount
	long := l.LongQueue + e.sentLong.sum()*nodeCount
	shortPrefilled := min(short, prefilled)
	return LoadEstimate{
		ShortQueue:  short - shortPrefilled,
		LongQueue:   max(0, long-(prefilled-shortPrefilled)),
		FreeMemory:  max(0, l.Memory-l.UsedMemory-e.sentMemory.sum()*nodeCount),
		PrefillRate: rate,
		StepTime:    l.StepTime,
		Running:     l.Running + int(e.Calls.Load()),
		Memory:      l.Memory,
	}
}
