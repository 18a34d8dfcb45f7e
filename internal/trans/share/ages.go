package share

import (
	"time"

	"laburnumstack.org/laburnum/internal/proto/relay"
)

// replaceTimes replaces the times in an update, and in those that it forwards, by ages.
func replaceTimes(u *relay.Update, now time.Time) {
	setAges(u, now)
	for i := range u.Forwarded {
		setAges(&u.Forwarded[i], now)
	}
}

// setAges replaces the times in an update by ages.
func setAges(u *relay.Update, now time.Time) {
	toAges(u.Began, now, requestTime)
	toAges(u.Struck, now, strikeTime)
	toAges(u.Proofs, now, proofTime)
	setPartAges(u.Parts, now)
	toAges(u.Trials, now, trialTime)
	toAges(u.Decided, now, decisionTime)
	toAges(u.Limits, now, limitTime)
	for i := range u.Rests {
		u.Rests[i].Left = u.Rests[i].Rest.Until.Sub(now)
		u.Rests[i].Rest.Until = time.Time{}
	}
}

// setTimes sets the times in an update from the ages.
func setTimes(u *relay.Update, now time.Time) {
	toTimes(u.Began, now, requestTime)
	toTimes(u.Struck, now, strikeTime)
	toTimes(u.Proofs, now, proofTime)
	setPartTimes(u.Parts, now)
	toTimes(u.Trials, now, trialTime)
	toTimes(u.Decided, now, decisionTime)
	toTimes(u.Limits, now, limitTime)
	for i := range u.Rests {
		u.Rests[i].Rest.Until = now.Add(u.Rests[i].Left)
	}
}

// setPartAges replaces the times in the states of parts by ages.
func setPartAges(ps []relay.AgedPart, now time.Time) {
	toAges(ps, now, partTime)
	for i := range ps {
		p := &ps[i]
		if p.EndedWell = !p.State.EndedWellAt.IsZero(); p.EndedWell {
			p.EndedWellAge = now.Sub(p.State.EndedWellAt)
		}
		p.State.EndedWellAt = time.Time{}
	}
}

// setPartTimes sets the times in the states of parts from the ages.
func setPartTimes(ps []relay.AgedPart, now time.Time) {
	toTimes(ps, now, partTime)
	for i := range ps {
		p := &ps[i]
		if p.EndedWell {
			p.State.EndedWellAt = now.Add(-p.EndedWellAge)
		}
	}
}

// toAges sets the age of each entry from its time, and clears the time.
func toAges[E any](entries []E, now time.Time, fields func(*E) (*time.Time, *time.Duration)) {
	for i := range entries {
		at, age := fields(&entries[i])
		*age = now.Sub(*at)
		*at = time.Time{}
	}
}

// toTimes sets the time of each entry from its age.
func toTimes[E any](entries []E, now time.Time, fields func(*E) (*time.Time, *time.Duration)) {
	for i := range entries {
		at, age := fields(&entries[i])
		*at = now.Add(-*age)
	}
}

// The following functions return the time in an entry of an update, and the age that
// replaces it while the update is sent.

func requestTime(a *relay.AgedRequest) (*time.Time, *time.Duration) { return &a.Work.Since, &a.Age }

func strikeTime(a *relay.AgedStrike) (*time.Time, *time.Duration) { return &a.Strike.At, &a.Age }

func proofTime(a *relay.AgedProof) (*time.Time, *time.Duration) { return &a.Proof.At, &a.Age }

func partTime(a *relay.AgedPart) (*time.Time, *time.Duration) { return &a.State.StruckAt, &a.Age }

func trialTime(a *relay.AgedTrial) (*time.Time, *time.Duration) { return &a.Trial.At, &a.Age }

func decisionTime(a *relay.AgedDecision) (*time.Time, *time.Duration) { return &a.Decision.At, &a.Age }

func limitTime(a *relay.AgedLimit) (*time.Time, *time.Duration) { return &a.Limit.ObservedAt, &a.Age }
