package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
)

// endpointLimits holds the limits that endpoints name. It is safe for concurrent use.
type endpointLimits struct {
	// count is the number of endpoints that have named a limit.
	count atomic.Int64

	mu    sync.Mutex
	table quota.Table
}

func (l *endpointLimits) record(x quota.Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.table.Record(x)
	l.count.Store(int64(l.table.Len()))
	return changed
}

// observeLimit records the limit in the header of an endpoint's response, or that
// there is none.
func (s *Server) observeLimit(e *topol.Endpoint, h relay.ResponseHeader, now time.Time) {
	if !h.HasLimit && s.endpointLimits.count.Load() == 0 {
		return
	}
	l := quota.Limit{Key: limitKey(e), Rate: h.Limit, Ended: !h.HasLimit, ObservedAt: now}
	if s.endpointLimits.record(l) {
		s.Logger.Info().Str("endpoint", string(e.Name)).Float64("limit", l.Rate).Bool("ended", l.Ended).Msg("gate: endpoint changed its limit")
	}
}

func limitKey(e *topol.Endpoint) quota.Key { return quota.Key{Endpoint: e.Name, Born: e.Born} }
