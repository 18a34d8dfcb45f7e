package serve

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Strikes holds the strikes recorded by this node and received from the others.
// It is safe for concurrent use.
type Strikes struct {
	// Node is this node.
	Node ident.NodeName
	// Share sends new strikes to the other nodes, ShareProof a proof that cleared parts
	// of prompts, and ShareTrial a trial that begins or has ended. They return once the other
	// nodes know of it.
	Share      func([]strik.Strike)
	ShareProof func(strik.Proof)
	ShareTrial func(strik.Trial)

	// parts counts the strikes against the shared parts of prompts.
	parts strik.Keeper

	mu    sync.Mutex
	table *strik.Table
	// size is the number of requests with strikes. It is read without the lock.
	size atomic.Int64
	// suspects holds, for each other node, its number of suspect requests at
	// each endpoint.
	suspects map[ident.NodeName]map[ident.EndpointName]int64
}

// NewStrikes returns an empty Strikes of a node that passes new strikes, proofs and trials to
// functions.
func NewStrikes(n ident.NodeName, share func([]strik.Strike), shareProof func(strik.Proof), shareTrial func(strik.Trial)) *Strikes {
	return &Strikes{Node: n, Share: share, ShareProof: shareProof, ShareTrial: shareTrial, parts: strik.Keeper{PromptsOnly: true}, table: strik.New(), suspects: map[ident.NodeName]map[ident.EndpointName]int64{}}
}

// Add counts a strike against a request that was in flight at an endpoint that
// died, and returns the request's strikes.
func (s *Strikes) Add(k strik.Strike) strik.Count {
	s.mu.Lock()
	isNew := s.table.Add(k)
	n := s.table.Count(k.Digest, k.At)
	s.size.Store(int64(s.table.Len()))
	s.mu.Unlock()
	s.parts.Update(func(t *strik.Parts) { t.Add(k) })
	if isNew {
		s.Share([]strik.Strike{k})
	}
	return n
}

// Merge adds the strikes received from another node.
func (s *Strikes) Merge(ks []strik.Strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range ks {
		s.table.Add(k)
	}
	s.size.Store(int64(s.table.Len()))
	s.parts.Update(func(t *strik.Parts) {
		for _, k := range ks {
			t.Add(k)
		}
	})
}

// EndWell records that a prompt with the given shared parts was answered completely, and
// shares that if it clears one of them.
func (s *Strikes) EndWell(ps []ident.PartID) {
	p := strik.Proof{Parts: ps, At: time.Now()}
	if p.Parts = s.parts.EndWell(p); len(p.Parts) > 0 {
		s.ShareProof(p)
	}
}

// MergeProofs records the proofs received from another node.
func (s *Strikes) MergeProofs(ps []strik.Proof) {
	for _, p := range ps {
		s.parts.EndWell(p)
	}
}

// CheckParts returns the barred ones of some parts, and when a prompt with them may be
// sent as a trial.
func (s *Strikes) CheckParts(ps []ident.PartID) (barred []ident.PartID, trialDue time.Time) {
	if len(ps) == 0 || s.parts.IsEmpty() {
		return nil, time.Time{}
	}
	s.parts.Update(func(t *strik.Parts) { barred, trialDue = t.Check(ps) })
	return barred, trialDue
}

// StartTrial returns a trial as which a prompt with the given barred parts may be sent, and which
// EndTrial must end; nil if there is none. Trials are due since a time; rank is the index of
// this node among the live nodes, which sets its turn.
func (s *Strikes) StartTrial(barred []ident.PartID, due time.Time, rank int) *strik.Trial {
	now := time.Now()
	if now.Before(due.Add(strik.TurnDelay(rank))) {
		return nil
	}
	tr := strik.Trial{Node: s.Node, Parts: barred, At: now}
	// The lease of a trial bounds how long a dead node holds it.
	anyNode := func(ident.NodeName) bool { return true }
	if !s.parts.StartTrial(tr, anyNode, s.ShareTrial) {
		return nil
	}
	return &tr
}

// EndTrial ends a trial.
func (s *Strikes) EndTrial(tr *strik.Trial) { s.ShareTrial(s.parts.EndTrial(*tr)) }

// MergeTrials records the trials that another node has begun or ended. They are announced as
// they begin, and the clocks of nodes differ.
func (s *Strikes) MergeTrials(ts []strik.Trial) {
	now := time.Now()
	ts = slices.Clone(ts)
	for i := range ts {
		ts[i].At = now
	}
	s.parts.RecordTrials(ts)
}

// PartStates returns what is known of parts of prompts, for the other nodes.
func (s *Strikes) PartStates() []strik.PartState { return s.parts.States() }

// MergeParts adds what another node knows of parts of prompts.
func (s *Strikes) MergeParts(ps []strik.PartState) { s.parts.MergeStates(ps) }

// Clear removes the strikes of a request that succeeded.
func (s *Strikes) Clear(d strik.Digest) {
	if s.size.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Clear(d)
	s.size.Store(int64(s.table.Len()))
}

// Count returns the strikes of a request.
func (s *Strikes) Count(d strik.Digest) strik.Count {
	if s.size.Load() == 0 {
		return strik.Count{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Count(d, time.Now())
}

// Recent returns the strikes since a time, without expired ones.
func (s *Strikes) Recent(since time.Time) []strik.Strike {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(time.Now())
	s.size.Store(int64(s.table.Len()))
	return s.table.Recent(since)
}

// SetSuspects sets another node's number of suspect requests at each endpoint.
func (s *Strikes) SetSuspects(n ident.NodeName, m map[ident.EndpointName]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects[n] = m
}

// Suspects returns how many suspect requests the other nodes run at each
// endpoint.
func (s *Strikes) Suspects() map[ident.EndpointName]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := map[ident.EndpointName]int64{}
	for _, m := range s.suspects {
		for e, n := range m {
			sum[e] += n
		}
	}
	return sum
}
