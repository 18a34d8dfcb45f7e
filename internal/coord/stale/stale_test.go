package stale_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/coord/stale"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// start is the time at which the lists of these tests were confirmed.
const start = clock.Instant(time.Hour)

func at(ms int) clock.Instant { return start.Add(time.Duration(ms) * time.Millisecond) }

func endpoint(dc, service string, i int) *topol.Endpoint {
	name := fmt.Sprintf("%s-%s-%d", dc, service, i)
	return &topol.Endpoint{Name: ident.EndpointName(name), DataCentre: ident.DataCentre(dc), Service: ident.ServiceName(service), Address: name, Born: 1}
}

// newTable returns a table of a node whose list was confirmed at start.
func newTable() *stale.Table {
	t := &stale.Table{}
	t.Refresh(start, start)
	return t
}

func misdirect(t *stale.Table, e *topol.Endpoint, ms int) []stale.Change {
	_, cs := t.Misdirect(e, at(ms), at(ms+1))
	return cs
}

var groupA = stale.Group{DataCentre: "a", Service: "s"}

// TestDataCentreReturnsUnderNewNames has the load of a data centre with 26 endpoints that all
// return under new names while the node holds the old list. It guards against each of the
// records costing a send.
func TestDataCentreReturnsUnderNewNames(t *testing.T) {
	table := newTable()
	test.SliceEmpty(t, misdirect(table, endpoint("a", "s", 0), 10))
	test.False(t, table.Avoids(endpoint("a", "s", 2), false))
	must.Eq(t, []stale.Change{{Group: groupA, Avoided: true, Reason: stale.Misdirected}}, misdirect(table, endpoint("a", "s", 1), 40))
	for i := range 26 {
		test.True(t, table.Avoids(endpoint("a", "s", i), false))
		test.False(t, table.Avoids(endpoint("b", "s", i), false))
	}
	test.Eq(t, 1, table.AvoidedGroups())
	// Requests that were under way tell nothing new.
	test.SliceEmpty(t, misdirect(table, endpoint("a", "s", 2), 41))

	test.SliceEmpty(t, table.Refresh(at(30), at(300)), test.Sprint("this list may be from before the return"))
	test.True(t, table.Avoids(endpoint("a", "s", 9), false))
	must.Eq(t, []stale.Change{{Group: groupA, Reason: stale.Listed}}, table.Refresh(at(350), at(400)))
	test.False(t, table.Avoids(endpoint("a", "s", 9), false))
	test.True(t, table.Avoids(endpoint("a", "s", 9), true), test.Sprint("a later start has the address"))
	test.True(t, table.Avoids(endpoint("a", "s", 1), false), test.Sprint("the record itself proved wrong"))
	table.Refresh(at(350), at(2100))
	test.False(t, table.Avoids(endpoint("a", "s", 9), true))
	test.False(t, table.Avoids(endpoint("a", "s", 1), false))
	test.Zero(t, table.Len())
}

// TestOneReplacedEndpoint guards against turning the load of a data centre to the others
// because one of its endpoints was replaced, however often it answers 421.
func TestOneReplacedEndpoint(t *testing.T) {
	table := newTable()
	replaced := endpoint("a", "s", 0)
	isNew, _ := table.Misdirect(replaced, at(1), at(2))
	test.True(t, isNew)
	for ms := 10; ms < 1000; ms += 10 {
		isNew, changes := table.Misdirect(replaced, at(ms), at(ms+1))
		test.False(t, isNew)
		test.SliceEmpty(t, changes)
	}
	test.True(t, table.Avoids(replaced, false))
	test.False(t, table.Avoids(endpoint("a", "s", 1), false))

	reborn := *replaced
	reborn.Born = 2
	test.False(t, table.Avoids(&reborn, false), test.Sprint("the new record is not the one that proved wrong"))
	// An endpoint that started twice has two wrong records at one address.
	test.SliceEmpty(t, misdirect(table, &reborn, 1000))
	test.False(t, table.Avoids(endpoint("a", "s", 1), false))
}

// TestSigns lists the signs by which a whole data centre is avoided, and those by which it isn't.
func TestSigns(t *testing.T) {
	type step struct {
		kind     string
		endpoint int
		ms       int
	}
	cases := []struct {
		name    string
		steps   []step
		avoided bool
	}{
		{"two answers 421 at once", []step{{"421", 0, 0}, {"421", 1, 0}}, true},
		{"two answers 421 a second apart", []step{{"421", 0, 0}, {"421", 1, 1000}}, true},
		{"endpoints are replaced one after the other", []step{{"421", 0, 0}, {"421", 1, 1100}, {"421", 2, 2200}, {"421", 3, 3300}}, false},
		{"an answer 421 beside a failed connection", []step{{"fail", 0, 0}, {"421", 1, 50}}, true},
		{"a failed connection after an answer 421", []step{{"421", 0, 0}, {"fail", 1, 50}}, true},
		{"failed connections only", []step{{"fail", 0, 0}, {"fail", 1, 10}, {"fail", 2, 20}, {"fail", 3, 30}}, false},
		{"failed connections and one 421 that is long past", []step{{"421", 0, 0}, {"fail", 1, 1100}, {"fail", 2, 1200}}, false},
		{"two sound endpoints between", []step{{"421", 0, 0}, {"ok", 8, 10}, {"ok", 9, 20}, {"421", 1, 30}}, false},
		{"one sound endpoint between", []step{{"421", 0, 0}, {"ok", 8, 10}, {"ok", 8, 20}, {"421", 1, 30}}, true},
		{"two sound endpoints before", []step{{"ok", 8, 10}, {"421", 0, 20}, {"421", 1, 30}}, true},
		{"the data centre fails after a single replacement", []step{{"421", 0, 0}, {"ok", 8, 10}, {"ok", 9, 20}, {"421", 1, 500}, {"421", 2, 510}}, true},
		{"two sound endpoints after", []step{{"421", 0, 0}, {"421", 1, 30}, {"ok", 8, 40}, {"ok", 9, 50}}, false},
		{"the misdirected endpoint answers under its name", []step{{"421", 0, 0}, {"ok", 0, 10}, {"421", 1, 20}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newTable()
			for _, s := range c.steps {
				e := endpoint("a", "s", s.endpoint)
				table.Refresh(start, at(s.ms))
				switch s.kind {
				case "421":
					misdirect(table, e, s.ms)
				case "fail":
					table.Fail(e, at(s.ms), at(s.ms))
				case "ok":
					table.Answer(e, at(s.ms))
				}
			}
			test.Eq(t, c.avoided, table.Avoids(endpoint("a", "s", 20), false))
		})
	}
}

// TestEndpointsOfTwoServices guards against avoiding a service because of another one in the
// same data centre, and against counting the two together.
func TestEndpointsOfTwoServices(t *testing.T) {
	table := newTable()
	misdirect(table, endpoint("a", "s", 0), 0)
	test.SliceEmpty(t, misdirect(table, endpoint("a", "other", 0), 10))
	test.False(t, table.Avoids(endpoint("a", "s", 1), false))
	misdirect(table, endpoint("a", "s", 1), 20)
	test.True(t, table.Avoids(endpoint("a", "s", 2), false))
	test.False(t, table.Avoids(endpoint("a", "other", 1), false))
}

// TestSignsOfAnEarlierList guards against avoiding the records of a new list because of answers
// to sends from before it.
func TestSignsOfAnEarlierList(t *testing.T) {
	table := newTable()
	misdirect(table, endpoint("a", "s", 0), 10)
	table.Refresh(at(100), at(200))
	_, changes := table.Misdirect(endpoint("a", "s", 1), at(50), at(210))
	test.SliceEmpty(t, changes)
	_, changes = table.Misdirect(endpoint("a", "s", 2), at(150), at(220))
	test.SliceEmpty(t, changes)
	test.False(t, table.Avoids(endpoint("a", "s", 9), false))
	test.True(t, table.Avoids(endpoint("a", "s", 1), false))
}

// TestAvoidanceEndsWithoutAList guards against avoiding a data centre for long while the source
// is down, also if its endpoints go on to answer 421.
func TestAvoidanceEndsWithoutAList(t *testing.T) {
	table := newTable()
	for ms := 0; ms < 1990; ms += 100 {
		misdirect(table, endpoint("a", "s", ms/100), ms)
	}
	must.Eq(t, 1, table.AvoidedGroups())
	must.Eq(t, []stale.Change{{Group: groupA, Reason: stale.TimedOut}}, table.Refresh(start, at(2102)))
	test.False(t, table.Avoids(endpoint("a", "s", 25), false))
}

// TestTableIsBounded guards against a table that grows with the number of records that prove
// wrong, such as those of another writer.
func TestTableIsBounded(t *testing.T) {
	table := newTable()
	for i := range 5600 {
		misdirect(table, endpoint(fmt.Sprint("d", i), "s", i), 1)
	}
	test.LessEq(t, 1024+256, table.Len())
	table.Refresh(start, at(2500))
	test.Zero(t, table.Len())
}

// TestOneAddressCausesNoAvoidanceOfOthers holds for any order of answers: without an answer 421 of
// one address and another sign of a second one within the window, no other endpoint is avoided,
// and nothing is avoided for longer than 2 s after the last sign.
func TestOneAddressCausesNoAvoidanceOfOthers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table, now, confirmed := newTable(), 1, 0
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += rapid.IntRange(0, 400).Draw(r, "pause")
			sent := max(1, now-rapid.IntRange(0, 800).Draw(r, "took"))
			table.Refresh(at(confirmed), at(now))
			switch rapid.SampledFrom([]string{"421", "fail", "ok", "list"}).Draw(r, "kind") {
			case "421":
				table.Misdirect(endpoint("a", "s", 0), at(sent), at(now))
			case "fail":
				table.Fail(endpoint("a", "s", 0), at(sent), at(now))
			case "ok":
				table.Answer(endpoint("a", "s", rapid.IntRange(0, 5).Draw(r, "endpoint")), at(sent))
			case "list":
				confirmed = max(confirmed, sent)
			}
			test.False(r, table.Avoids(endpoint("a", "s", 1), true))
		}
		table.Refresh(at(confirmed), at(now+2000))
		test.Zero(r, table.Len())
	})
}
