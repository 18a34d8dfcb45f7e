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
	// signWindow is the time within which the sends to minSigns endpoints must have begun for
	// their group to be avoided. Endpoints that are replaced one after the other are further
	// apart, or others answer between them.
	signWindow = time.Second
	// minSigns is the number of endpoints whose records must have proved wrong for a group to
	// be avoided. One is a replaced endpoint, which must not turn the load of its data centre
	// to the others.
	minSigns = 2
	// minSound is the number of endpoints whose answers show that a group need not be avoided.
	// One may be the only one that is left.
	minSound = 2
	// maxSigns bounds the endpoints of a group whose signs are kept.
	maxSigns = 8
	// maxMarks and maxGroups bound the table.
	maxMarks  = 1024
	maxGroups = 256
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

// Change tells that a group is avoided from now on, or no longer is.
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
	marks     map[record]mark
	groups    map[Group]*group
}

// record identifies the record of one start of an endpoint.
type record struct {
	name    ident.EndpointName
	born    int64
	address string
}

// mark tells that an endpoint is another one than its record names.
type mark struct{ sent, until clock.Instant }

// sign is a send to an endpoint that failed in a way that may mean a wrong record, or that was
// answered.
type sign struct {
	record
	sent clock.Instant
	// misdirected is set if the endpoint answered 421, clear if it could not be reached.
	misdirected bool
}

// group is the state of a group.
type group struct {
	// signs are of distinct addresses, in the order of their sends.
	signs []sign
	// sound are the last minSound endpoints that answered, in the order of their sends.
	sound []sign
	// since is when the older of the sends began that made the group avoided, zero if it isn't.
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
	isNew = t.addMark(recordOf(e), sent, now)
	return isNew, t.addSign(groupOf(e), sign{recordOf(e), sent, true}, now)
}

// Fail records that an endpoint could not be reached. That alone says nothing about a group:
// the link may be at fault. Beside an answer 421 of another endpoint, it counts against the
// group like a second such answer.
func (t *Table) Fail(e *topol.Endpoint, sent, now clock.Instant) []Change {
	return t.addSign(groupOf(e), sign{recordOf(e), sent, false}, now)
}

// Answer records that an endpoint answered under its name.
func (t *Table) Answer(e *topol.Endpoint, sent clock.Instant) []Change {
	r := recordOf(e)
	if m, ok := t.marks[r]; ok && m.sent < sent {
		delete(t.marks, r)
	}
	g := t.groups[groupOf(e)]
	if g == nil {
		return nil
	}
	g.signs = slices.DeleteFunc(g.signs, func(s sign) bool { return s.record == r && s.sent < sent })
	g.sound = put(g.sound, sign{record: r, sent: sent}, minSound)
	if g.isAvoided() && g.soundSince(g.since) >= minSound {
		g.forget()
		return []Change{{groupOf(e), false, Answered}}
	}
	return nil
}

// Refresh updates the table at the present time. confirmed is when the list in force was last
// confirmed to be the newest.
func (t *Table) Refresh(confirmed, now clock.Instant) []Change {
	t.confirmed = max(t.confirmed, confirmed)
	for r, m := range t.marks {
		if now >= m.until {
			delete(t.marks, r)
		}
	}
	var changes []Change
	for k, g := range t.groups {
		if why := g.refresh(t.confirmed, now); why != "" {
			changes = append(changes, Change{k, false, why})
		}
		if g.since == 0 && len(g.signs) == 0 {
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
	_, ok := t.marks[recordOf(e)]
	return ok
}

// Len returns the number of endpoints and groups in the table.
func (t *Table) Len() int { return len(t.marks) + len(t.groups) }

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

func (t *Table) addMark(r record, sent, now clock.Instant) (isNew bool) {
	if t.marks == nil {
		t.marks = map[record]mark{}
	}
	_, isKnown := t.marks[r]
	if !isKnown && len(t.marks) >= maxMarks {
		return false
	}
	t.marks[r] = mark{sent, now.Add(avoidTime)}
	return !isKnown
}

// addSign adds a sign to a group. A send that began before the list in force was confirmed
// says nothing about its records.
func (t *Table) addSign(k Group, s sign, now clock.Instant) []Change {
	if s.sent < t.confirmed || now.Sub(s.sent) >= avoidTime {
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
	g.signs = put(g.signs, s, maxSigns)
	if g.isAvoided() || !g.isDoubtful() {
		return nil
	}
	g.since, g.until, g.isListed = g.pairSince(), now.Add(avoidTime), false
	return []Change{{k, true, Misdirected}}
}

// isAvoided reports whether all endpoints of the group are avoided.
func (g *group) isAvoided() bool { return g.since > 0 && !g.isListed }

// forget ends the avoidance and drops the signs that led to it.
func (g *group) forget() { *g = group{sound: g.sound} }

// pairSince returns when the older of the last minSigns sends began.
func (g *group) pairSince() clock.Instant { return g.signs[len(g.signs)-minSigns].sent }

// isDoubtful reports whether the signs are enough for the group to be avoided.
func (g *group) isDoubtful() bool {
	if len(g.signs) < minSigns {
		return false
	}
	since, newest := g.pairSince(), g.signs[len(g.signs)-1].sent
	inWindow := func(s sign) bool { return s.misdirected && newest.Sub(s.sent) <= signWindow }
	return newest.Sub(since) <= signWindow && slices.ContainsFunc(g.signs, inWindow) && g.soundSince(since) < minSound
}

// soundSince returns the number of endpoints that answered a send that began after a time.
func (g *group) soundSince(since clock.Instant) int {
	n := 0
	for _, s := range g.sound {
		if s.sent > since {
			n++
		}
	}
	return n
}

// refresh drops what is over, and returns why the group is no longer avoided, if that changes.
func (g *group) refresh(confirmed, now clock.Instant) (why Reason) {
	wasAvoided := g.isAvoided()
	g.signs = slices.DeleteFunc(g.signs, func(s sign) bool { return s.sent < confirmed || now.Sub(s.sent) >= avoidTime })
	switch {
	case g.since > 0 && now >= g.until:
		g.forget()
		why = TimedOut
	case wasAvoided && len(g.signs) == 0:
		g.isListed = true
		why = Listed
	}
	if !wasAvoided {
		return ""
	}
	return why
}

// put adds a sign in the order of the sends, in place of an earlier one from the same address,
// and drops the oldest above a number. An address that has several records counts once: they
// are of one endpoint that started several times.
func put(signs []sign, s sign, most int) []sign {
	if i := slices.IndexFunc(signs, func(o sign) bool { return o.address == s.address }); i >= 0 {
		if signs[i].sent > s.sent {
			return signs
		}
		signs = slices.Delete(signs, i, i+1)
	}
	i, _ := slices.BinarySearchFunc(signs, s, func(a, b sign) int { return cmp.Compare(a.sent, b.sent) })
	signs = slices.Insert(signs, i, s)
	return signs[max(0, len(signs)-most):]
}

func recordOf(e *topol.Endpoint) record { return record{e.Name, e.Born, e.Address} }

func groupOf(e *topol.Endpoint) Group { return Group{e.DataCentre, e.Service} }
