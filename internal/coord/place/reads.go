package place

import "time"

// unread is a part that an engine has still to read.
type unread struct {
	// left is the time that it takes, least what counts of it at least.
	left, least time.Duration
	// risk is the value that its prompt loses by each second of delay.
	risk float64
}

// reads is what an engine reads: first the parts for other engines, the newest
// before the older ones, then those of its own prompts in their order. Times
// are counted from now, so that those before are negative.
type reads struct {
	lent, owned []unread
	// at is the moment up to which the engine's work is counted.
	at time.Duration
	// weight is the weight of a delay, risk what is lost by each second of one.
	weight, risk float64
}

// delayedParts is the number of parts of one prompt that another may delay at
// its full weight.
const delayedParts = 4

// delayWeight is the weight of the delay of one part. The fewer engines there
// are, the more parts of a prompt another one delays at once, and it is late by
// only one of them.
func delayWeight(engines int) float64 {
	const parts = maxHelpers + 1
	return min(1, float64(delayedParts*engines)/(parts*parts))
}

// lend adds a part that came at a moment for another engine.
func (r *reads) lend(u unread, at time.Duration) {
	r.advance(at)
	r.lent = append(r.lent, u)
}

// own adds a part that came at a moment for one of the engine's own prompts.
func (r *reads) own(u unread, at time.Duration) {
	r.advance(at)
	r.owned = append(r.owned, u)
}

// advance reads up to a moment.
func (r *reads) advance(at time.Duration) {
	if len(r.lent)+len(r.owned) == 0 {
		r.at = at
		return
	}
	t := at - r.at
	r.at = max(r.at, at)
	for t > 0 && len(r.lent) > 0 {
		last := &r.lent[len(r.lent)-1]
		n := min(t, last.left)
		last.left -= n
		t -= n
		if last.left == 0 {
			r.lent = r.lent[:len(r.lent)-1]
		}
	}
	for i := range r.owned {
		n := min(max(0, t), r.owned[i].left)
		r.owned[i].left -= n
		t -= n
	}
}

// settle reads up to now, and returns the time that the rest takes.
func (r *reads) settle() time.Duration {
	r.advance(0)
	var sum time.Duration
	for _, u := range r.lent {
		sum += u.left
		r.risk += u.risk
	}
	for _, u := range r.owned {
		sum += max(u.left, u.least)
		if u.left > 0 {
			r.risk += u.risk
		}
	}
	return sum
}

// delay is the value that the prompts lose whose parts wait, if all wait
// longer.
func (r *reads) delay(t time.Duration) float64 { return r.risk * t.Seconds() * r.weight }
