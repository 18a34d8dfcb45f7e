package gate

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// unframedProofDelay is how long an endpoint must stay without a failure after an
	// answer that ended with its connection, so that the answer counts as ended well:
	// a crash can look the same.
	unframedProofDelay = 300 * time.Millisecond
	// maxPartRetryAfter bounds the Retry-After of requests with barred parts.
	maxPartRetryAfter = time.Minute
	// maxCauseWait bounds the time for which a request under suspicion waits for the causes of
	// broken connections before it is sent again, causePause the pause between two looks.
	maxCauseWait = 500 * time.Millisecond
	causePause   = 5 * time.Millisecond
)

// strikes finds the requests, and the parts of prompts, that crash endpoints. It is safe for
// concurrent use.
type strikes struct {
	strik.Keeper

	mu sync.Mutex
	// recent holds the parts of the last prompts for each service.
	recent map[ident.ServiceName]*strik.Recent
}

// countPrompt adds the parts of a prompt to the last ones for its service.
func (p *strikes) countPrompt(n ident.ServiceName, parts []ident.PartID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.recent[n]
	if r == nil {
		if p.recent == nil {
			p.recent = map[ident.ServiceName]*strik.Recent{}
		}
		r = &strik.Recent{}
		p.recent[n] = r
	}
	r.Add(parts)
}

// withoutCommon returns those of some parts that don't occur in nearly all prompts for a service.
func (p *strikes) withoutCommon(n ident.ServiceName, parts []ident.PartID) []ident.PartID {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.recent[n]
	if r == nil {
		return slices.Clone(parts)
	}
	return slices.DeleteFunc(slices.Clone(parts), r.IsCommon)
}

// AddPeerPartStates adds what a peer knows of parts under suspicion.
func (s *Server) AddPeerPartStates(ps []strik.PartState) { s.strikes.MergeStates(ps) }

// AddPeerProofs records parts of prompts that ended well at a peer.
func (s *Server) AddPeerProofs(ps []strik.Proof) {
	for _, p := range ps {
		s.strikes.EndWell(p)
	}
}

// PartStates returns the parts that have or recently had strikes, for a new peer.
func (s *Server) PartStates() []strik.PartState { return s.strikes.States() }

// recordEndedWell records that an endpoint answered the request to the end, and informs the peers
// if that clears the request or one of its parts.
func (x *exchange) recordEndedWell(o outcome, e ident.EndpointName) {
	s := x.server
	if s.strikes.IsEmpty() {
		return
	}
	p := strik.Proof{Parts: x.allParts(), At: time.Now()}
	record := func() {
		if p.Parts = s.strikes.EndWell(p); len(p.Parts) > 0 {
			s.AnnounceProof(p)
		}
	}
	if o.framed {
		record()
		return
	}
	time.AfterFunc(unframedProofDelay, func() {
		if !s.endpointHealth.isSuspect(e, time.Now()) {
			record()
		}
	})
}

// allParts returns the shared parts of the request, and the one that stands for its whole content.
func (x *exchange) allParts() []ident.PartID {
	return append(slices.Clone(x.reqHeader.SharedParts), x.digest().Part())
}

// suspectParts returns the parts of the request that strikes may bar. A part that nearly all
// prompts have bars none: strikes are no evidence against it.
func (p *strikes) suspectParts(x *exchange) []ident.PartID {
	return append(p.withoutCommon(x.service.Name, x.reqHeader.SharedParts), x.digest().Part())
}

// checkParts reports whether the request has no barred part or may be sent as a trial of
// them. Otherwise it returns the time until the next trial.
func (x *exchange) checkParts(now time.Time) (ok bool, wait time.Duration) {
	s := x.server
	if len(x.reqHeader.SharedParts) > 0 && !x.isPromptCounted {
		s.strikes.countPrompt(x.service.Name, x.reqHeader.SharedParts)
		x.isPromptCounted = true
	}
	if x.trial != nil {
		return true, 0
	}
	barred, due := x.barredParts()
	if len(barred) == 0 || !now.Before(due) && x.startTrial(barred, due, now) {
		return true, 0
	}
	return false, min(maxPartRetryAfter, max(time.Second, due.Sub(now)))
}

// barredParts returns the barred parts of the request, and when it may be sent as a trial of them.
func (x *exchange) barredParts() (barred []ident.PartID, due time.Time) {
	s := x.server
	if s.strikes.IsEmpty() {
		return nil, time.Time{}
	}
	s.strikes.Update(func(t *strik.Parts) { barred, due = t.Check(s.strikes.suspectParts(x)) })
	return barred, due
}

// awaitCauses waits while broken connections whose cause is not known yet may bar the request: it
// must not crash a further endpoint meanwhile.
func (x *exchange) awaitCauses() {
	mayBar := func() (may bool) {
		x.server.strikes.Update(func(t *strik.Parts) { may = t.MayBar(x.server.strikes.suspectParts(x)) })
		return may
	}
	for end := time.Now().Add(maxCauseWait); time.Now().Before(end) && mayBar(); {
		time.Sleep(causePause)
	}
}

// partNames returns parts for a log line.
func partNames(ps []ident.PartID) []fmt.Stringer {
	ns := make([]fmt.Stringer, len(ps))
	for i, p := range ps {
		ns[i] = p
	}
	return ns
}
