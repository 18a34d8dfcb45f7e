package strik

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxPartStrikes is the number of strikes in a row at which requests with a part are
	// no longer sent to endpoints. The strikes against a shared part must be of at least two
	// requests: one that crashes several endpoints doesn't tell which of its parts is at fault.
	maxPartStrikes = 3
	// trialPause is the time from the last strike of a barred part until a prompt with
	// it is sent as a trial. Each trial that crashes its endpoint makes it
	// trialPauseFactor times as long, so that a part which does crash endpoints gets
	// four trials in 40 minutes. A prompt with several barred parts can't show which
	// of them is at fault, and waits as if one more trial had failed. So does a whole request:
	// strikes of the same content are stronger evidence, and it gets three trials in that time.
	trialPause       = 500 * time.Millisecond
	trialPauseFactor = 16
	// maxFailedTrials bounds the exponent of trialPauseFactor.
	maxFailedTrials = 4
	// barLifetime is how long a part stays barred after its last strike, and
	// refutedLifetime how long it is known that a part was not at fault.
	barLifetime     = time.Hour
	refutedLifetime = time.Minute
	// maxParts bounds the number of parts in a table.
	maxParts = 4096
)

// Part returns the part that stands for the whole content of a request.
func (d Digest) Part() ident.PartID { return ident.PartID(d) }

// PartState is what is known of a part of requests since one with it last ended well.
type PartState struct {
	Part ident.PartID
	// Whole is set if the part stands for the whole content of a request.
	Whole bool
	// Strikes counts the strikes in a row, each of a request that was sent after the one
	// before it. Requests that were in flight during the same crash, or during several
	// at one time, count once; copies of a whole request that crash several, for each.
	Strikes int
	// Request is the request of the first of these strikes, Several is set if another
	// one is of another request.
	Request Digest
	Several bool
	// FailedTrials counts those of the strikes that were trials of a barred part.
	FailedTrials int
	// spans are those of the last of these strikes. What a peer counted is one of them.
	spans []span
	// Endpoint is the one that crashed at the last of these strikes. Nodes of older builds don't
	// set it.
	Endpoint ident.EndpointName
	// StruckAt is when the last of these strikes was recorded, EndedWellAt when a prompt
	// with the part last ended well after a strike; each is zero if there was none.
	StruckAt, EndedWellAt time.Time
}

// Proof records that a request with some parts ended well, so that they don't crash
// endpoints.
type Proof struct {
	Parts []ident.PartID
	At    time.Time
}

// barred reports whether requests with the part are not sent.
func (s *PartState) barred() bool { return s.Strikes >= maxPartStrikes && (s.Several || s.Whole) }

// trialDue returns when a request with the part may be sent as a trial. alone is set if
// the request has no other barred part.
func (s *PartState) trialDue(alone bool) time.Time {
	failed := s.FailedTrials
	if s.Whole || !alone {
		failed++
	}
	pause := trialPause
	for range min(failed, maxFailedTrials) {
		pause *= trialPauseFactor
	}
	return s.StruckAt.Add(pause)
}

// lifetime returns how long the state is kept after the last event.
func (s *PartState) lifetime() time.Duration {
	switch {
	case s.barred():
		return barLifetime
	case s.Strikes > 0:
		return strikeLifetime
	default:
		return refutedLifetime
	}
}

// changedAt returns the time of the last event.
func (s *PartState) changedAt() time.Time { return later(s.EndedWellAt, s.StruckAt) }

// Parts finds the parts of requests that crash endpoints whatever else a request holds: a
// whole request, or a part that prompts share. Such a part is in a request in flight at each of
// the crashes, and no request with it ends well. The other parts of these requests, and those
// of requests that only ran beside them, do end well in others. It is not safe for concurrent
// use.
type Parts struct {
	// CountsRequests is set if strikes count against whole requests too. It is set before use.
	CountsRequests bool

	states  map[ident.PartID]*PartState
	trials  map[ident.PartID]Trial
	pending map[*Pending]struct{}
}

// NewParts returns an empty table.
func NewParts() *Parts {
	return &Parts{states: map[ident.PartID]*PartState{}, trials: map[ident.PartID]Trial{}, pending: map[*Pending]struct{}{}}
}

// Len returns the number of parts in the table.
func (t *Parts) Len() int { return len(t.states) }

// Add counts a strike against the parts of its request. It returns the parts that are
// barred from now on.
func (t *Parts) Add(s Strike) []ident.PartID {
	var barred []ident.PartID
	for _, p := range s.Parts {
		if t.count(t.state(p), s) {
			barred = append(barred, p)
		}
	}
	if !t.CountsRequests {
		return barred
	}
	st := t.state(s.Digest.Part())
	st.Whole = true
	if t.count(st, s) {
		barred = append(barred, st.Part)
	}
	return barred
}

// count counts a strike against a part, and reports whether the part is barred from now on. The
// cause of an earlier break may be found later than that of the others.
func (t *Parts) count(st *PartState, s Strike) bool {
	n := span{s.At.Add(-s.Took), s.At, s.Endpoint}
	isCounted := n.overlaps
	if st.Whole {
		isCounted = n.repeats
	}
	if slices.ContainsFunc(st.spans, isCounted) || s.At.Before(st.EndedWellAt) {
		return false
	}
	was := st.barred()
	if st.Strikes == 0 {
		st.Request, st.Several = s.Digest, false
	}
	st.Strikes++
	st.Several = st.Several || s.Digest != st.Request
	st.spans = append(st.spans[max(0, len(st.spans)-maxPartStrikes):], n)
	if s.At.After(st.StruckAt) {
		st.StruckAt, st.Endpoint = s.At, s.Endpoint
	}
	if was && s.Trial {
		st.FailedTrials++
	}
	return !was && st.barred()
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// state returns the state of a part and creates it if needed. If the table is full, another
// one is dropped.
func (t *Parts) state(p ident.PartID) *PartState {
	if st := t.states[p]; st != nil {
		return st
	}
	if len(t.states) >= maxParts {
		t.dropOne()
	}
	st := &PartState{Part: p}
	t.states[p] = st
	return st
}

// dropOne drops the state that changed first of those that aren't barred, or of all if they are.
func (t *Parts) dropOne() {
	var first *PartState
	for _, st := range t.states {
		if first == nil || goesBefore(st, first) {
			first = st
		}
	}
	delete(t.states, first.Part)
}

// goesBefore reports whether a is dropped rather than b.
func goesBefore(a, b *PartState) bool {
	if a.barred() != b.barred() {
		return b.barred()
	}
	return a.changedAt().Before(b.changedAt())
}

// EndWell records that a request ended well. It returns its parts that were under
// suspicion before.
func (t *Parts) EndWell(p Proof) []ident.PartID {
	t.voidPending(p)
	var cleared []ident.PartID
	for _, id := range p.Parts {
		st := t.states[id]
		if st == nil || st.Strikes == 0 || p.At.Before(st.StruckAt) {
			continue
		}
		st.Strikes, st.FailedTrials, st.EndedWellAt, st.spans = 0, 0, p.At, nil
		cleared = append(cleared, id)
	}
	return cleared
}

// Check returns the barred ones of some parts, and when a request with them may be sent
// as a trial.
func (t *Parts) Check(ps []ident.PartID) (barred []ident.PartID, trialDue time.Time) {
	for _, p := range ps {
		if st := t.states[p]; st != nil && st.barred() && !slices.Contains(barred, p) {
			barred = append(barred, p)
		}
	}
	for _, p := range barred {
		if due := t.states[p].trialDue(len(barred) == 1); due.After(trialDue) {
			trialDue = due
		}
	}
	return barred, trialDue
}

// States returns the states of all parts, also of those that were cleared: a peer must not learn
// of strikes without what cleared them.
func (t *Parts) States() []PartState {
	ss := make([]PartState, 0, len(t.states))
	for _, st := range t.states {
		ss = append(ss, *st)
	}
	return ss
}

// Merge adds what a peer knows of a part.
func (t *Parts) Merge(s PartState) {
	st := t.state(s.Part)
	st.Whole = st.Whole || s.Whole
	if s.EndedWellAt.After(st.EndedWellAt) {
		st.EndedWellAt = s.EndedWellAt
		if !st.StruckAt.After(s.EndedWellAt) {
			st.Strikes, st.FailedTrials, st.spans = 0, 0, nil
		}
	}
	if s.StruckAt.Before(st.EndedWellAt) || s.Strikes < st.Strikes {
		return
	}
	isKnown := s.Strikes == st.Strikes
	st.Several = s.Several || st.Several || st.Strikes > 0 && st.Request != s.Request
	st.Strikes, st.FailedTrials, st.Request = s.Strikes, max(st.FailedTrials, s.FailedTrials), s.Request
	if s.StruckAt.After(st.StruckAt) {
		st.StruckAt, st.Endpoint = s.StruckAt, s.Endpoint
	}
	if !isKnown {
		st.spans = []span{{to: st.StruckAt, endpoint: st.Endpoint}}
	}
}

// Expire drops what is known for too long.
func (t *Parts) Expire(now time.Time) {
	for p, st := range t.states {
		if now.Sub(st.changedAt()) >= st.lifetime() {
			delete(t.states, p)
		}
	}
	t.expireTrials(now)
}
