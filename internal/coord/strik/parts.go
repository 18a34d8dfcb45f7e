package strik

import (
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxPartStrikes is the number of strikes in a row at which prompts with a part are
	// no longer sent to endpoints, if they are of at least two requests: one that crashes
	// several endpoints doesn't tell which of its parts is at fault.
	maxPartStrikes = 3
	// trialPause is the time from the last strike of a barred part until a prompt with
	// it is sent as a trial. Each trial that crashes its endpoint makes it
	// trialPauseFactor times as long, so that a part which does crash endpoints gets
	// four trials in 40 minutes. A prompt with several barred parts can't show which
	// of them is at fault, and waits as if one more trial had failed.
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

// PartState is what is known of a part of prompts since one with it last ended well.
type PartState struct {
	Part ident.PartID
	// Strikes counts the strikes in a row, each of a prompt that was sent after the one
	// before it. Prompts that were in flight during the same crash, or during several
	// at one time, count once.
	Strikes int
	// Request is the request of the first of these strikes, Several is set if another
	// one is of another request.
	Request Digest
	Several bool
	// FailedTrials counts those of the strikes that were trials of a barred part.
	FailedTrials int
	// StruckAt is when the last of these strikes was recorded, EndedWellAt when a prompt
	// with the part last ended well after a strike; each is zero if there was none.
	StruckAt, EndedWellAt time.Time
}

// Proof records that a prompt with some parts ended well, so that they don't crash
// endpoints.
type Proof struct {
	Parts []ident.PartID
	At    time.Time
}

// barred reports whether prompts with the part are not sent.
func (s *PartState) barred() bool { return s.Strikes >= maxPartStrikes && s.Several }

// trialDue returns when a prompt with the part may be sent as a trial. alone is set if
// the prompt has no other barred part.
func (s *PartState) trialDue(alone bool) time.Time {
	failed := s.FailedTrials
	if !alone {
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
func (s *PartState) changedAt() time.Time {
	if s.EndedWellAt.After(s.StruckAt) {
		return s.EndedWellAt
	}
	return s.StruckAt
}

// Parts finds the parts of prompts that crash endpoints whatever else a prompt holds.
// Such a part is in a prompt in flight at each of the crashes, and no prompt with it ends
// well. The other parts of these prompts, and those of prompts that only ran beside
// them, do end well in others. It is not safe for concurrent use.
type Parts struct {
	states map[ident.PartID]*PartState
	// trials holds the barred parts of which this node runs a trial.
	trials ident.Set[ident.PartID]
}

// NewParts returns an empty table.
func NewParts() *Parts {
	return &Parts{states: map[ident.PartID]*PartState{}, trials: ident.Set[ident.PartID]{}}
}

// Len returns the number of parts in the table.
func (t *Parts) Len() int { return len(t.states) }

// Add counts a strike against the parts of its prompt. It returns the parts that are
// barred from now on.
func (t *Parts) Add(s Strike) []ident.PartID {
	var barred []ident.PartID
	for _, p := range s.Parts {
		st := t.state(p)
		sentAt := s.At.Add(-s.Took)
		if !sentAt.After(st.StruckAt) || s.At.Before(st.EndedWellAt) {
			continue
		}
		was := st.barred()
		if st.Strikes == 0 {
			st.Request, st.Several = s.Digest, false
		}
		st.Strikes++
		st.Several = st.Several || s.Digest != st.Request
		st.StruckAt = s.At
		if was && s.Trial {
			st.FailedTrials++
		}
		if !was && st.barred() {
			barred = append(barred, p)
		}
	}
	return barred
}

// state returns the state of a part and creates it if needed. If the table is full, the
// state that changed first is dropped.
func (t *Parts) state(p ident.PartID) *PartState {
	if st := t.states[p]; st != nil {
		return st
	}
	if len(t.states) >= maxParts {
		t.dropOldest()
	}
	st := &PartState{Part: p}
	t.states[p] = st
	return st
}

func (t *Parts) dropOldest() {
	var oldest *PartState
	for _, st := range t.states {
		if oldest == nil || st.changedAt().Before(oldest.changedAt()) {
			oldest = st
		}
	}
	delete(t.states, oldest.Part)
}

// EndWell records that a prompt ended well. It returns its parts that were under
// suspicion before.
func (t *Parts) EndWell(p Proof) []ident.PartID {
	var cleared []ident.PartID
	for _, id := range p.Parts {
		st := t.states[id]
		if st == nil || st.Strikes == 0 || p.At.Before(st.StruckAt) {
			continue
		}
		st.Strikes, st.FailedTrials, st.EndedWellAt = 0, 0, p.At
		cleared = append(cleared, id)
	}
	return cleared
}

// Check returns the barred ones of some parts, and when a prompt with them may be sent
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

// StartTrial reports whether this node may send a prompt with the given barred parts as a
// trial, that is whether it runs no other one of them.
func (t *Parts) StartTrial(barred []ident.PartID) bool {
	for _, p := range barred {
		if t.trials.Has(p) {
			return false
		}
	}
	for _, p := range barred {
		t.trials.Add(p)
	}
	return true
}

// EndTrial ends a trial. Its outcome is recorded by Add or EndWell.
func (t *Parts) EndTrial(barred []ident.PartID) {
	for _, p := range barred {
		delete(t.trials, p)
	}
}

// Suspects returns the states of the parts under suspicion, for a new peer.
func (t *Parts) Suspects() []PartState {
	var ss []PartState
	for _, st := range t.states {
		if st.Strikes > 0 {
			ss = append(ss, *st)
		}
	}
	return ss
}

// States returns the states of all parts, also of those that were cleared.
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
	if s.EndedWellAt.After(st.EndedWellAt) {
		st.EndedWellAt = s.EndedWellAt
		if !st.StruckAt.After(s.EndedWellAt) {
			st.Strikes, st.FailedTrials = 0, 0
		}
	}
	if s.StruckAt.Before(st.EndedWellAt) || s.Strikes < st.Strikes {
		return
	}
	st.Several = s.Several || st.Several || st.Strikes > 0 && st.Request != s.Request
	st.Strikes, st.FailedTrials, st.Request = s.Strikes, max(st.FailedTrials, s.FailedTrials), s.Request
	if s.StruckAt.After(st.StruckAt) {
		st.StruckAt = s.StruckAt
	}
}

// Expire drops what is known for too long.
func (t *Parts) Expire(now time.Time) {
	for p, st := range t.states {
		if now.Sub(st.changedAt()) >= st.lifetime() {
			delete(t.states, p)
		}
	}
}
