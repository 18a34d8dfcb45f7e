// Package vqueue keeps the places of deferred prompts in a virtual queue, as call centres do:
// the caller does not wait in the gateway, but is told when to return. Retry times are computed
// by fair queueing over workspaces, so that a workspace that requests little gets an early time
// and one that requests much waits behind its own prompts.
package vqueue

import (
	"cmp"
	"slices"
	"time"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxEntries bounds the entries of a queue. With more, those that end last are dropped,
	// which are those of the workspaces that request most.
	maxEntries = 2048
	// maxAdmissions bounds the admitted prompts that count for the rate, the latest ones.
	maxAdmissions = 4096
	// rateWindow is the time for which admitted work counts.
	rateWindow = 3 * time.Second
	// earlyMargin is how long before its retry time a prompt keeps its place.
	earlyMargin = 200 * time.Millisecond
	// minHold is the least time for which an entry stays after its retry time. A caller may
	// add up to the time that it was told, so an entry stays for that if it is longer.
	minHold = 2 * time.Second
	// maxWait bounds retry times, so that a message of a faulty node does not leave an entry
	// for long. No caller waits for longer.
	maxWait = 5 * time.Minute
)

// Prompt is a prompt that may be deferred.
type Prompt struct {
	// Request is the same for all tries of a request; zero if it isn't known.
	Request   bysize.RequestKey
	Workspace ident.WorkspaceName
	// Work is the time that one engine takes to prefill the prompt.
	Work time.Duration
}

// Queue holds the deferred prompts of a service that have not returned, and the prompts that
// were admitted lately. It is not safe for concurrent use.
type Queue struct {
	// entries are sorted by the time of their end, and byRequest holds the same.
	entries   []*entry
	byRequest map[bysize.RequestKey]*entry
	// admissions are sorted by time, and admittedAt holds the latest time of each request.
	admissions []admission
	admittedAt map[bysize.RequestKey]time.Time
	// accounts holds the workspaces with entries or admissions.
	accounts map[ident.WorkspaceName]*account
	// admittedWork is the sum of the work of the admissions.
	admittedWork time.Duration
}

// entry is a deferred prompt.
type entry struct {
	Prompt
	decidedAt, due, end time.Time
}

// admission is a prompt that was admitted.
type admission struct {
	Prompt
	at time.Time
}

// account sums the work of a workspace: that of its entries and that of its admissions.
type account struct {
	waiting, got time.Duration
	entries      int
	admissions   int
}

// Len returns the number of entries.
func (q *Queue) Len() int { return len(q.entries) }

// IsEmpty reports whether the queue holds neither entries nor admissions.
func (q *Queue) IsEmpty() bool { return len(q.entries)+len(q.admissions) == 0 }

// Defer records that a prompt was deferred at a time, and that its caller was told to retry after
// wait. Decisions may arrive in any order and more than once; the latest holds.
func (q *Queue) Defer(p Prompt, at time.Time, wait time.Duration, now time.Time) {
	q.Expire(now)
	if p.Request == 0 || wait <= 0 || q.isOutdated(p.Request, at) {
		return
	}
	if at.After(now) {
		at = now
	}
	q.remove(p.Request)
	wait = min(wait, maxWait)
	due := at.Add(wait)
	e := &entry{Prompt: p, decidedAt: at, due: due, end: due.Add(max(minHold, wait))}
	if !e.end.After(now) {
		return
	}
	if len(q.entries) == maxEntries {
		last := q.entries[maxEntries-1]
		if !e.end.Before(last.end) {
			return
		}
		q.remove(last.Request)
	}
	i, _ := slices.BinarySearchFunc(q.entries, e.end, func(o *entry, end time.Time) int { return cmp.Or(o.end.Compare(end), -1) })
	q.entries = slices.Insert(q.entries, i, e)
	if q.byRequest == nil {
		q.byRequest = map[bysize.RequestKey]*entry{}
	}
	q.byRequest[p.Request] = e
	a := q.account(p.Workspace)
	a.waiting += p.Work
	a.entries++
}

// Admit records that a prompt was admitted at a time, which ends its entry.
func (q *Queue) Admit(p Prompt, at, now time.Time) {
	q.Expire(now)
	if at.After(now) {
		at = now
	}
	if q.isOutdated(p.Request, at) {
		return
	}
	q.remove(p.Request)
	if now.Sub(at) > rateWindow {
		return
	}
	if _, known := q.admittedAt[p.Request]; known {
		q.admittedAt[p.Request] = at
		return
	}
	if len(q.admissions) == maxAdmissions {
		q.removeOldestAdmission()
	}
	i, _ := slices.BinarySearchFunc(q.admissions, at, func(o admission, at time.Time) int { return cmp.Or(o.at.Compare(at), -1) })
	q.admissions = slices.Insert(q.admissions, i, admission{p, at})
	q.admittedWork += p.Work
	if q.admittedAt == nil {
		q.admittedAt = map[bysize.RequestKey]time.Time{}
	}
	if p.Request != 0 {
		q.admittedAt[p.Request] = at
	}
	a := q.account(p.Workspace)
	a.got += p.Work
	a.admissions++
}

// Drop records that a prompt was rejected at a time without a place, which ends its entry.
func (q *Queue) Drop(r bysize.RequestKey, at, now time.Time) {
	q.Expire(now)
	if !q.isOutdated(r, at) {
		q.remove(r)
	}
}

// isOutdated reports whether a later decision on the request is known.
func (q *Queue) isOutdated(r bysize.RequestKey, at time.Time) bool {
	if r == 0 {
		return false
	}
	if e := q.byRequest[r]; e != nil && at.Before(e.decidedAt) {
		return true
	}
	admitted, known := q.admittedAt[r]
	return known && !at.After(admitted)
}

// Expire drops the entries that have ended and the admissions that no longer count.
func (q *Queue) Expire(now time.Time) {
	n := 0
	for n < len(q.entries) && !q.entries[n].end.After(now) {
		q.forget(q.entries[n])
		n++
	}
	q.entries = slices.Delete(q.entries, 0, n)
	for len(q.admissions) > 0 && now.Sub(q.admissions[0].at) > rateWindow {
		q.removeOldestAdmission()
	}
}

func (q *Queue) remove(r bysize.RequestKey) {
	e := q.byRequest[r]
	if e == nil {
		return
	}
	i, _ := slices.BinarySearchFunc(q.entries, e.end, func(o *entry, end time.Time) int { return o.end.Compare(end) })
	for q.entries[i] != e {
		i++
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	q.forget(e)
}

// forget removes an entry from everything but q.entries.
func (q *Queue) forget(e *entry) {
	delete(q.byRequest, e.Request)
	a := q.accounts[e.Workspace]
	a.waiting -= e.Work
	a.entries--
	q.removeIfUnused(e.Workspace)
}

func (q *Queue) removeOldestAdmission() {
	oldest := q.admissions[0]
	q.admissions = q.admissions[1:]
	q.admittedWork -= oldest.Work
	delete(q.admittedAt, oldest.Request)
	a := q.accounts[oldest.Workspace]
	a.got -= oldest.Work
	a.admissions--
	q.removeIfUnused(oldest.Workspace)
}

// account returns the account of a workspace, which it creates if there is none.
func (q *Queue) account(n ident.WorkspaceName) *account {
	if q.accounts == nil {
		q.accounts = map[ident.WorkspaceName]*account{}
	}
	a := q.accounts[n]
	if a == nil {
		a = &account{}
		q.accounts[n] = a
	}
	return a
}

func (q *Queue) removeIfUnused(n ident.WorkspaceName) {
	if a := q.accounts[n]; a.entries+a.admissions == 0 {
		delete(q.accounts, n)
	}
}
