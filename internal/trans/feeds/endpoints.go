package feeds

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// EndpointList is an immutable list of endpoints with indexes.
type EndpointList struct {
	// ID is a hash of the content of the list.
	ID        uint64
	ByService map[ident.ServiceName][]*topol.Endpoint
	ByName    map[ident.EndpointName]*topol.Endpoint
	// ByAddress maps an address to the newest endpoint that has it.
	ByAddress map[string]*topol.Endpoint
}

// ListID returns the ID of a list; zero if there is none.
func (l *EndpointList) ListID() uint64 {
	if l == nil {
		return 0
	}
	return l.ID
}

func (f *Feeds) applyEndpoints(rs []Record, complete bool, at, asOf clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := ident.Set[ident.EndpointName]{}
	changed := complete
	for _, r := range rs {
		seen.Add(ident.EndpointName(r.Key))
		changed = f.applyEndpoint(r, at) || changed
	}
	if complete {
		for n := range f.endpoints {
			if !seen.Has(n) {
				f.scheduleRemoval(n, at)
			}
		}
	}
	changed = f.removeDue(at) || changed
	f.endpointsConfirmedAt.Advance(asOf)
	if changed {
		f.publish()
	}
}

// applyEndpoint applies one record and reports whether the list changed.
func (f *Feeds) applyEndpoint(r Record, at clock.Instant) bool {
	n := ident.EndpointName(r.Key)
	if f.endpoints == nil {
		f.endpoints = map[ident.EndpointName]topol.Endpoint{}
		f.removeAt = map[ident.EndpointName]clock.Instant{}
	}
	if r.Value == nil {
		f.scheduleRemoval(n, at)
		return false
	}
	e, err := f.Decoder.Endpoint(r)
	if err != nil {
		f.rejections.record(&f.Logger, n, err, at)
		f.scheduleRemoval(n, at)
		return false
	}
	delete(f.removeAt, n)
	old, ok := f.endpoints[n]
	if ok && old.Leaving && old.Born == e.Born && (e.Born != 0 || f.inGracePeriod(at)) {
		// The source may show the endpoint as it was before it began to leave, or have
		// carried out an earlier write of it late. No endpoint stops leaving.
		e.Leaving = true
	}
	if ok && old == e {
		return false
	}
	f.endpoints[n] = e
	if !ok || old.Leaving != e.Leaving || old.Address != e.Address || old.Born != e.Born {
		f.Logger.Info().Str("endpoint", r.Key).Str("address", e.Address).Str("service", string(e.Service)).Bool("leaving", e.Leaving).Bool("new", !ok).Msg("feeds: endpoint added or changed")
	}
	return true
}

// scheduleRemoval marks an endpoint for removal by removeDue: at once, or at the
// end of the grace period after an outage.
func (f *Feeds) scheduleRemoval(n ident.EndpointName, at clock.Instant) {
	if _, ok := f.endpoints[n]; !ok {
		return
	}
	if _, ok := f.removeAt[n]; ok {
		return
	}
	due := at
	if f.inGracePeriod(at) {
		due = f.recoveredAt.Add(outageGrace)
	}
	f.removeAt[n] = due
}

// removeDue removes the endpoints whose removal is due and reports whether there
// were any.
func (f *Feeds) removeDue(at clock.Instant) bool {
	changed := false
	for n, due := range f.removeAt {
		if due > at {
			continue
		}
		f.Logger.Info().Str("endpoint", string(n)).Msg("feeds: endpoint removed")
		delete(f.removeAt, n)
		delete(f.endpoints, n)
		changed = true
	}
	return changed
}

func (f *Feeds) publish() {
	list := &EndpointList{
		ByService: map[ident.ServiceName][]*topol.Endpoint{},
		ByName:    make(map[ident.EndpointName]*topol.Endpoint, len(f.endpoints)),
		ByAddress: make(map[string]*topol.Endpoint, len(f.endpoints)),
	}
	h := xxhash.New()
	for _, n := range slices.Sorted(maps.Keys(f.endpoints)) {
		e := f.endpoints[n]
		fmt.Fprintf(h, "%+v\n", e)
		list.ByName[n] = &e
		list.ByService[e.Service] = append(list.ByService[e.Service], &e)
		if other, ok := list.ByAddress[e.Address]; !ok || other.Born < e.Born {
			list.ByAddress[e.Address] = &e
		}
	}
	list.ID = h.Sum64()
	f.list.Store(list)
	f.recentLists = append(f.recentLists, list)
	f.recentLists = f.recentLists[max(0, len(f.recentLists)-keptLists):]
}

// ListChange turns a list of endpoints into another one.
type ListChange struct {
	// Base is the ID of the list that the change applies to; zero if Put is a
	// complete list. Result is the ID of the resulting list.
	Base, Result uint64
	// Put holds the endpoints that were added or differ from those in the base, in
	// no particular order. Removed holds those that are in the base only.
	Put     []topol.Endpoint
	Removed []ident.EndpointName
}

// ChangeFrom returns the change that turns the list with the given ID into the
// current one, and when that was last confirmed to be the newest. The change is a
// complete list if that list isn't one of the last ones. It is nil if there is no
// list yet.
func (f *Feeds) ChangeFrom(id uint64) (*ListChange, clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.list.Load()
	if list == nil {
		return nil, 0
	}
	c := &ListChange{Result: list.ID}
	base := &EndpointList{}
	if i := slices.IndexFunc(f.recentLists, func(l *EndpointList) bool { return l.ID == id }); i >= 0 {
		base, c.Base = f.recentLists[i], id
	}
	for n, e := range list.ByName {
		if old := base.ByName[n]; old == nil || *old != *e {
			c.Put = append(c.Put, *e)
		}
	}
	for n := range base.ByName {
		if list.ByName[n] == nil {
			c.Removed = append(c.Removed, n)
		}
	}
	return c, f.EndpointsConfirmedAt()
}

// ConfirmEndpoints records that a peer had the list with the given ID as the
// newest at the given time, which may end the grace period, see endGrace. It does
// nothing if this node has another list.
func (f *Feeds) ConfirmEndpoints(id uint64, at clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.list.Load()
	if list == nil || list.ID != id {
		return
	}
	f.endpointsConfirmedAt.Advance(at)
	f.endGrace(at)
}

// endGrace ends the grace period after an outage if a peer read the source after
// it answered this node again: the outage then affected this node only. The
// caller holds f.mu.
func (f *Feeds) endGrace(at clock.Instant) {
	if f.recoveredAt == 0 || at <= f.recoveredAt {
		return
	}
	f.recoveredAt = 0
	for n := range f.removeAt {
		f.removeAt[n] = at
	}
	if f.removeDue(at) {
		f.publish()
	}
}

// UpdateEndpoints replaces the list of endpoints by that of a peer if the peer's
// is newer; at is when the peer last confirmed its list to be the newest. Even if
// it isn't newer, it may end the grace period, see endGrace.
func (f *Feeds) UpdateEndpoints(es []topol.Endpoint, at clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endGrace(at)
	if at > f.EndpointsConfirmedAt() {
		f.replaceEndpoints(es, at)
	}
}

// ErrOtherList means that a change of the list of endpoints applies to another list,
// or did not result in the list that it was made for.
const ErrOtherList = errors.ConstError("change of the list of endpoints has another base or result")

// ChangeEndpoints applies the change of a peer to the list of endpoints as
// UpdateEndpoints does. After ErrOtherList a complete list is needed.
func (f *Feeds) ChangeEndpoints(c *ListChange, at clock.Instant) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endGrace(at)
	if at <= f.EndpointsConfirmedAt() {
		return nil
	}
	changed := map[ident.EndpointName]topol.Endpoint{}
	if list := f.list.Load(); c.Base != 0 {
		if list == nil || list.ID != c.Base {
			return ErrOtherList
		}
		for n, e := range list.ByName {
			changed[n] = *e
		}
	}
	for _, n := range c.Removed {
		delete(changed, n)
	}
	for _, e := range c.Put {
		changed[e.Name] = e
	}
	f.replaceEndpoints(slices.Collect(maps.Values(changed)), at)
	if f.list.Load().ID != c.Result {
		return ErrOtherList
	}
	return nil
}

// replaceEndpoints replaces the list of endpoints, which was the newest at the given
// time. The caller holds f.mu.
func (f *Feeds) replaceEndpoints(es []topol.Endpoint, at clock.Instant) {
	f.endpoints = make(map[ident.EndpointName]topol.Endpoint, len(es))
	f.removeAt = map[ident.EndpointName]clock.Instant{}
	for _, e := range es {
		f.endpoints[e.Name] = e
	}
	f.endpointsConfirmedAt.Advance(at)
	f.publish()
}
