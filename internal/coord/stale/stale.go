// Package stale decides which endpoints a node avoids because their records may be out of
// date. An endpoint that answers 421 (misdirected request) is another one than the list of
// endpoints names at that address. If several endpoints of a data centre do so within a short
// time, the other records of that data centre are doubtful too, until a later list confirms
// them.
package stale

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// avoidTime is the longest time for which an endpoint or a group is avoided. A node may get
	// no later list for longer than that, and the records may be right.
	avoidTime = 2 * time.Second
	// failureWindow is the time within which the failed sends to minFailed endpoints must have
	// begun for their group to be avoided. Endpoints that are replaced one after the other are
	// further apart, or others answer between them.
	failureWindow = time.Second
	// minFailed is the number of endpoints to which sends must have failed for their group to
	// be avoided. A single one may just have been replaced, and must not turn the load of its
	// data centre to the others.
	minFailed = 2
	// minAnswered is the number of endpoints whose answers show that a group need not be
	// avoided. A single one may be the only one that is left.
	minAnswered = 2
	// maxFailed bounds the endpoints of a group whose failed sends are kept.
	maxFailed = 8
	// maxMisdirected and maxGroups bound the table.
	maxMisdirected = 1024
	maxGroups      = 256
)

// Reason is why a group is avoided, or no longer is.
type Reason string

// Reasons of changes.
const (
	// Misdirected means that several endpoints are others than their records name.
	Misdirected Reason = "several endpoints are others than listed"
	// Listed means that a later list of endpoints has arrived.
	Listed Reason = "a later list has arrived"
	// Answered means that several endpoints answered under their names.
	Answered Reason = "endpoints answer under their names"
	// TimedOut means that avoidTime is over.
	TimedOut Reason = "no later list has arrived in time"
)

// Group is the endpoints of a service in a data centre, which are often replaced together.
type Group struct {
	DataCentre ident.DataCentre
	Service    ident.ServiceName
}

// Change is the beginning or the end of the avoidance of a group.
type Change struct {
	Group
	Avoided bool
	Reason  Reason
}

// Table holds what the answers of endpoints show about their records. Its times are those of
// this node: sent is when a send began, now the present. It is not safe for concurrent use.
type Table struct {
	// confirmed is when the list in force was last confirmed to be the newest.
	confirmed clock.Instant
	// misdirected holds the endpoints that are others than their records name.
	misdirected map[record]misdirection
	groups      map[Group]*group
}

// record identifies the record of one start of an endpoint.
type record struct {
	name    ident.EndpointName
	born    int64
	address string
}

// misdirection is the last answer 421 of an endpoint: when its request was sent, and until when
// the endpoint is avoided.
type misdirection struct{ sent, until clock.Instant }

// send is a send to an endpoint that either was answered or failed in a way that may mean that
// the record is wrong.
type send struct {
	record
	at clock.Instant
	// isMisdirected is set if the endpoint answered 421.
	isMisdirected bool
}

// group is the state of a group.
type group struct {
	// failed are the sends to endpoints that answered 421 or could not be reached, the last
	// one to each address, in their order.
	failed []send
	// answered are the last sends to the minAnswered endpoints that answered last, in their
	// order.
	answered []send
	// since is when the older of the sends began for which the group is avoided, zero if it
	// isn't.
	since clock.Instant
	// until is the end of avoidTime.
	until clock.Instant
	// isListed is set if a later list ended the avoidance before until. Superseded records
	// stay avoided until then.
	isListed bool
}

// Misdirect records an answer 421. It reports whether that is news about the endpoint, and how
// the state of its group changes.
func (t *Table) Misdirect(e *topol.Endpoint, sent, now clock.Instant) (isNew bool, changes []Change) {
	isNew = t.addMisdirected(recordOf(e), sent, now)
	return isNew, t.addFailed(groupOf(e), send{recordOf(e), sent, true}, now)
}

// Fail records that an endpoint could not be reached. That alone says nothing about a group:
// the link may be at fault. Beside an answer 421 of another endpoint, it counts against the
// group like a second such answer.
func (t *Table) Fail(e *topol.Endpoint, sent, now clock.Instant) []Change {
	return t.addFailed(groupOf(e), send{recordOf(e), sent, false}, now)
}

// Answer records that an endpoint answered under its name.
func (t *Table) Answer(e *topol.Endpoint, sent clock.Instant) []Change {
	r := recordOf(e)
	if m, ok := t.misdirected[r]; ok && m.sent < sent {
		delete(t.misdirected, r)
	}
	g := t.groups[groupOf(e)]
	if g == nil {
		return nil
	}
	g.failed = slices.DeleteFunc(g.failed, func(s send) bool { return s.record == r && s.at < sent })
	g.answered = insert(g.answered, send{record: r, at: sent}, minAnswered)
	if g.isAvoided() && g.answeredSince(g.since) >= minAnswered {
		g.forget()
		return []Change{{groupOf(e), false, Answered}}
	}
	return nil
}

// Refresh updates the table at the present time. confirmed is when the list in force was last
// confirmed to be the newest.
func (t *Table) Refresh(confirmed, now clock.Instant) []Change {
	t.confirmed = max(t.confirmed, confirmed)
	for r, m := range t.misdirected {
		if now >= m.until {
			delete(t.misdirected, r)
		}
	}
	var changes []Change
	for k, g := range t.groups {
		if why := g.refresh(t.confirmed, now); why != "" {
			changes = append(changes, Change{k, false, why})
		}
		if g.since == 0 && len(g.failed) == 0 {
			delete(t.groups, k)
		}
	}
	return changes
}

// Avoids reports whether an endpoint should be chosen only if there is no other.
// isSuperseded is set if a record of a later start has the endpoint's address.
func (t *Table) Avoids(e *topol.Endpoint, isSuperseded bool) bool {
	if t.IsMisdirected(e) {
		return true
	}
	g := t.groups[groupOf(e)]
	return g != nil && g.since > 0 && (!g.isListed || isSuperseded)
}

// IsMisdirected reports whether an endpoint is known to be another one than its record names.
func (t *Table) IsMisdirected(e *topol.Endpoint) bool {
	_, ok := t.misdirected[recordOf(e)]
	return ok
}

// Len returns the number of endpoints and groups in the table.
func (t *Table) Len() int { return len(t.misdirected) + len(t.groups) }

// AvoidedGroups returns the number of groups that are avoided.
func (t *Table) AvoidedGroups() int {
	n := 0
	for _, g := range t.groups {
		if g.isAvoided() {
			n++
		}
	}
	return n
}

func (t *Table) addMisdirected(r record, sent, now clock.Instant) (isNew bool) {
	if t.misdirected == nil {
		t.misdirected = map[record]misdirection{}
	}
	_, isKnown := t.misdirected[r]
	if !isKnown && len(t.misdirected) >= maxMisdirected {
		return false
	}
	t.misdirected[r] = misdirection{sent, now.Add(avoidTime)}
	return !isKnown
}

// addFailed adds a failed send to a group. One that began before the list in force was confirmed
// shows nothing about the records of this list.
func (t *Table) addFailed(k Group, s send, now clock.Instant) []Change {
	if s.at < t.confirmed || now.Sub(s.at) >= avoidTime {
		return nil
	}
	g := t.groups[k]
	if g == nil {
		if len(t.groups) >= maxGroups {
			return nil
		}
		if t.groups == nil {
			t.groups = map[Group]*group{}
		}
		g = &group{}
		t.groups[k] = g
	}
	g.failed = insert(g.failed, s, maxFailed)
	if g.isAvoided() || !g.isDoubtful() {
		return nil
	}
	g.since, g.until, g.isListed = g.lastFailedSince(), now.Add(avoidTime), false
	return []Change{{k, true, Misdirected}}
}

// isAvoided reports whether all endpoints of the group are avoided.
func (g *group) isAvoided() bool { return g.since > 0 && !g.isListed }

// forget ends the avoidance and drops the failed sends that led to it.
func (g *group) forget() { *g = group{answered: g.answered} }

// lastFailedSince returns when the first of the last minFailed failed sends began.
func (g *group) lastFailedSince() clock.Instant { return g.failed[len(g.failed)-minFailed].at }

// isDoubtful reports whether enough sends have failed for the group to be avoided.
func (g *group) isDoubtful() bool {
	if len(g.failed) < minFailed {
		return false
	}
	since, newest := g.lastFailedSince(), g.failed[len(g.failed)-1].at
	isRecent421 := func(s send) bool { return s.isMisdirected && newest.Sub(s.at) <= failureWindow }
	return newest.Sub(since) <= failureWindow && slices.ContainsFunc(g.failed, isRecent421) && g.answeredSince(since) < minAnswered
}

// answeredSince returns the number of endpoints that answered a send that began after a time.
func (g *group) answeredSince(since clock.Instant) int {
	n := 0
	for _, s := range g.answered {
		if s.at > since {
			n++
		}
	}
	return n
}

// refresh drops the failed sends that no longer count. If that ends the avoidance, it returns why.
func (g *group) refresh(confirmed, now clock.Instant) (why Reason) {
	wasAvoided := g.isAvoided()
	g.failed = slices.DeleteFunc(g.failed, func(s send) bool { return s.at < confirmed || now.Sub(s.at) >= avoidTime })
	switch {
	case g.since > 0 && now >= g.until:
		g.forget()
		why = TimedOut
	case wasAvoided && len(g.failed) == 0:
		g.isListed = true
		why = Listed
	}
	if !wasAvoided {
		return ""
	}
	return why
}

// insert inserts a send in the order of time, in place of an earlier one to the same address, and
// drops the oldest ones above a number. Several records with one address are those of one
// endpoint that started several times, so it counts once.
func insert(sends []send, s send, most int) []send {
	if i := slices.IndexFunc(sends, func(o send) bool { return o.address == s.address }); i >= 0 {
		if sends[i].at > s.at {
			return sends
		}
		sends = slices.Delete(sends, i, i+1)
	}
	i, _ := slices.BinarySearchFunc(sends, s, func(a, b send) int { return cmp.Compare(a.at, b.at) })
	sends = slices.Insert(sends, i, s)
	return sends[max(0, len(sends)-most):]
}

func recordOf(e *topol.Endpoint) record { return record{e.Name, e.Born, e.Address} }

func groupOf(e *topol.Endpoint) Group { return Group{e.DataCentre, e.Service} }
