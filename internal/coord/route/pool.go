package route

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/table"
)

const (
	// poolBusyWait is the mean wait in the long pool above which it grows,
	// poolIdleWait the one below which it shrinks.
	poolBusyWait = 800 * time.Millisecond
	poolIdleWait = 400 * time.Millisecond
	// poolGrowth and poolShrink are the changes of the size per call of Resized,
	// in endpoints.
	poolGrowth = 0.2
	poolShrink = 0.05
)

// LongPool sizes the pool of a model's endpoints that serves long requests, so
// that the other endpoints stay fast for short ones. The pool consists of the
// model's first endpoints in the order of names, which is the same at all
// nodes.
type LongPool struct {
	size float64
}

// Resized returns the pool resized for the current loads of the endpoints that
// are up, which are sorted by name.
func (p LongPool) Resized(vs []table.LoadEstimate) LongPool {
	if len(vs) < 2 {
		return p
	}
	n := p.Size(len(vs))
	if p.size == 0 {
		p.size = float64(n)
	}
	var wait time.Duration
	for _, v := range vs[:n] {
		wait += durationAt(v.LongQueue, v.PrefillRate)
	}
	wait /= time.Duration(n)
	switch {
	case wait > poolBusyWait:
		p.size = min(float64(len(vs)-1), p.size+poolGrowth)
	case wait < poolIdleWait:
		p.size = max(1, p.size-poolShrink)
	}
	return p
}

// Size returns how many of n endpoints are in the pool; before the first
// resizing, half of them. If there are two or more, at least one stays outside.
func (p LongPool) Size(n int) int {
	k := int(p.size + 0.5)
	if p.size == 0 {
		k = n / 2
	}
	return max(1, min(k, n-1))
}
