package gate

import (
	"sync"
	"time"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/place"
)

// sizeDecisions holds the latest decisions of all nodes on prompts that may be deferred.
// It is safe for concurrent use.
type sizeDecisions struct {
	mu    sync.Mutex
	table bysize.Table
}

// record adds a decision. It returns the size class of the request, and whether it is the
// first decision on it.
func (d *sizeDecisions) record(b bysize.Decision) (bysize.Class, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Record(b)
}

func (d *sizeDecisions) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Expire(now)
}

// AddPeerDecisions records the decisions of a peer on prompts.
func (s *Server) AddPeerDecisions(ds []bysize.Decision) {
	for _, b := range ds {
		s.decisions.record(b)
	}
}

// favour returns place.Request.Favour for the request; zero if it is never deferred.
func (x *exchange) favour(r place.Request, now time.Time) float64 {
	if !x.isDeferrable(r) {
		return 0
	}
	d := &x.server.decisions
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Favour(x.route.Name, r.Prompt, now)
}

func (x *exchange) isDeferrable(r place.Request) bool {
	return x.service.Engine != nil && r.Prompt > 0 && place.IsDeferrable(x.service.Engine, r)
}

// recordDecision records whether the prompt is admitted, unless it is of a kind that is
// never deferred, and informs the peers. The latest decision on a request counts.
func (x *exchange) recordDecision(admitted bool) {
	if !x.isDecided && !x.isDeferrable(place.Request{Prompt: x.reqHeader.Prompt, Gap: x.route.Gap}) {
		return
	}
	if x.isDecided && x.isAdmitted == admitted {
		return
	}
	b := bysize.Decision{Route: x.route.Name, Request: bysize.RequestKey(x.digest()), Prompt: x.reqHeader.Prompt, Admitted: admitted, At: time.Now()}
	class, isNew := x.server.decisions.record(b)
	x.server.AnnounceDecision(b)
	x.isDecided, x.isAdmitted, x.sizeClass = true, admitted, class
	if isNew {
		x.countBySize("asked")
	}
}

// recordRefused records that the prompt is refused because of load.
func (x *exchange) recordRefused() {
	x.recordDecision(false)
	x.countBySize("refused")
}

// recordUnserved records that the caller of an admitted prompt got no whole answer.
func (x *exchange) recordUnserved() {
	if x.isAdmitted {
		x.countBySize("broken-off")
		x.recordDecision(false)
	}
}

// countBySize counts the request by the size class of its prompt, unless it is of a kind
// that is never deferred.
func (x *exchange) countBySize(outcome string) {
	if !x.isDecided {
		return
	}
	x.server.getMetrics().bySize.WithLabelValues(string(x.route.Name), x.sizeClass.String(), outcome).Inc()
}
