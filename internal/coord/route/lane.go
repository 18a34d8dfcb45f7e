package route

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/table"
)

const (
	// laneBusy and laneIdle are the mean waits in the long lane above and
	// below which it grows and shrinks.
	laneBusy = 800 * time.Millisecond
	laneIdle = 400 * time.Millisecond
	// laneGrow and laneShrink are the steps of one observation, in endpoints.
	laneGrow   = 0.2
	laneShrink = 0.05
)

// Lane sizes the part of a model's endpoints that serves long requests, so
// that the rest stays quick for short ones. The lane is the first endpoints in
// the order of the configuration, which is the same at all nodes.
type Lane struct {
	size float64
}

// Observe takes the present loads of all endpoints, in order.
func (l Lane) Observe(vs []table.LoadEstimate) Lane {
	if len(vs) < 2 {
		return l
	}
	n := l.Size(len(vs))
	if l.size == 0 {
		l.size = float64(n)
	}
	var wait time.Duration
	for _, v := range vs[:n] {
		wait += span(v.LongQueue, v.PrefillRate)
	}
	wait /= time.Duration(n)
	switch {
	case wait > laneBusy:
		l.size = min(float64(len(vs)-1), l.size+laneGrow)
	case wait < laneIdle:
		l.size = max(1, l.size-laneShrink)
	}
	return l
}

// Size returns how many of n endpoints are in the lane, half of them before
// the first observation. Of two or more, one at least is left to short
// requests.
func (l Lane) Size(n int) int {
	k := int(l.size + 0.5)
	if l.size == 0 {
		k = n / 2
	}
	return max(1, min(k, n-1))
}
