package avail_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/quota"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestStates(t *testing.T) {
	var tab avail.Table
	a, b := quota.Key{Endpoint: "a", Born: 1}, quota.Key{Endpoint: "b"}
	test.True(t, tab.Record(avail.State{Key: a, RestUntil: now.Add(4 * time.Second)}, now))
	test.False(t, tab.Record(avail.State{Key: a, RestUntil: now.Add(3 * time.Second)}, now), test.Sprint("the longer rest holds"))
	test.False(t, tab.Record(avail.State{Key: b, RestUntil: now}, now))
	ok, rest := tab.Check(a, now.Add(time.Second))
	test.False(t, ok)
	test.Eq(t, 3*time.Second, rest)
	ok, _ = tab.Check(a, now.Add(4*time.Second))
	test.True(t, ok)
	ok, _ = tab.Check(quota.Key{Endpoint: "a", Born: 2}, now)
	test.True(t, ok, test.Sprint("it has started again"))

	test.True(t, tab.Record(avail.State{Key: b, Leaving: true}, now))
	test.False(t, tab.Record(avail.State{Key: b, Leaving: true}, now))
	ok, _ = tab.Check(b, now.Add(time.Hour))
	test.False(t, ok)
	test.SliceLen(t, 2, tab.States())
	tab.Expire(now.Add(time.Minute), func(quota.Key) bool { return true })
	test.Eq(t, 1, tab.Len())
	tab.Expire(now, func(quota.Key) bool { return false })
	test.Zero(t, tab.Len())
}
