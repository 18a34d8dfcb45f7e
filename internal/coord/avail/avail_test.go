package avail_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/quota"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRestsBindOneNode(t *testing.T) {
	var tab avail.Table
	a := quota.Key{Endpoint: "a", Born: 1}
	test.True(t, tab.RecordRest(avail.Rest{Key: a, Node: "n1", Until: now.Add(4 * time.Second)}, now))
	test.False(t, tab.RecordRest(avail.Rest{Key: a, Node: "n1", Until: now.Add(3 * time.Second)}, now), test.Sprint("the longer rest holds"))
	test.False(t, tab.RecordRest(avail.Rest{Key: a, Node: "n2", Until: now}, now))
	test.Eq(t, 3*time.Second, tab.RestFor(a, "n1", now.Add(time.Second)))
	test.False(t, tab.Accepts(a, "n1", now))
	test.True(t, tab.Accepts(a, "n2", now))
	test.True(t, tab.Accepts(a, "n1", now.Add(4*time.Second)))
	test.True(t, tab.Accepts(quota.Key{Endpoint: "a", Born: 2}, "n1", now), test.Sprint("it has started again"))
	test.True(t, tab.RestsForAny(a, now))
	test.False(t, tab.RestsForAny(a, now.Add(time.Minute)))
	test.False(t, tab.RestsForAny(quota.Key{Endpoint: "a", Born: 2}, now))
}

func TestLeavingEndpointsAcceptNoNode(t *testing.T) {
	var tab avail.Table
	b := quota.Key{Endpoint: "b"}
	test.False(t, tab.Record(avail.State{Key: b}))
	test.True(t, tab.Record(avail.State{Key: b, Leaving: true}))
	test.False(t, tab.Record(avail.State{Key: b, Leaving: true}))
	test.False(t, tab.Accepts(b, "n1", now.Add(time.Hour)))
}

// Guards against requests to an endpoint that left, after the source has come back as an older
// copy that lists it.
func TestEndpointsThatLeftStayKnown(t *testing.T) {
	var tab avail.Table
	left, again := quota.Key{Endpoint: "a", Born: 1}, quota.Key{Endpoint: "a", Born: 2}
	listed := true
	exists := func(k quota.Key) bool { return listed && k == left }
	tab.Record(avail.State{Key: left, Leaving: true})
	for _, c := range []struct {
		after  time.Duration
		listed bool
		leaves bool
	}{
		{time.Second, true, true},
		{2 * time.Second, false, true},
		{30 * time.Second, false, true},
		{31 * time.Second, true, true},
		{32 * time.Second, false, true},
		{91 * time.Second, false, true},
		{92 * time.Second, false, false},
	} {
		listed = c.listed
		tab.Expire(now.Add(c.after), exists)
		test.Eq(t, c.leaves, tab.Leaves(left), test.Sprint(c.after))
		test.Eq(t, !c.leaves, tab.Accepts(left, "n", now.Add(c.after)), test.Sprint(c.after))
		test.True(t, tab.Accepts(again, "n", now.Add(c.after)), test.Sprint("its next start"))
	}
}

// Guards against a table that grows with each endpoint that ever left.
func TestEndpointsThatLeftAreBounded(t *testing.T) {
	var tab avail.Table
	for i := range 10_000 {
		tab.Record(avail.State{Key: quota.Key{Endpoint: "a", Born: int64(i + 1)}, Leaving: true})
	}
	tab.Expire(now, func(quota.Key) bool { return false })
	test.Eq(t, 4096, tab.Len())
}

func TestTableExpires(t *testing.T) {
	var tab avail.Table
	a, b := quota.Key{Endpoint: "a"}, quota.Key{Endpoint: "b"}
	tab.Record(avail.State{Key: b, Leaving: true})
	tab.RecordRest(avail.Rest{Key: a, Node: "n1", Until: now.Add(time.Second)}, now)
	test.SliceLen(t, 1, tab.States())
	test.SliceLen(t, 1, tab.Rests())
	tab.Expire(now.Add(time.Minute), func(quota.Key) bool { return true })
	test.Eq(t, 1, tab.Len())
	tab.Expire(now, func(quota.Key) bool { return false })
	test.Zero(t, tab.Len())
}
