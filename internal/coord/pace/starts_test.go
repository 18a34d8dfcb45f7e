package pace

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
)

// Guards against endpoints that are taken for warm although they have just started, or for cold
// since this node has just started.
func TestStartsAreFound(t *testing.T) {
	var s Starts
	now := time.Unix(9, 0)
	list := func(es ...topol.Endpoint) []Change {
		var ps []*topol.Endpoint
		for i := range es {
			ps = append(ps, &es[i])
		}
		return s.Observe("s", ps, now)
	}
	old := topol.Endpoint{Name: "old", Born: 1}
	cold := topol.Endpoint{Name: "cold", Born: 1, Cold: time.Second, StatesCold: true, ColdSequence: 3}
	cs := list(old, cold)
	must.SliceLen(t, 2, cs)
	test.True(t, cs[0].IsFirst && !cs[0].IsNew && !cs[0].States)
	test.True(t, cs[1].IsFirst && !cs[1].IsNew && cs[1].States)
	test.SliceEmpty(t, list(old, cold))
	cold.ColdSequence = 4
	cs = list(old, cold)
	must.SliceLen(t, 1, cs)
	test.True(t, cs[0].States && !cs[0].IsNew, test.Sprint("a later record with the same time"))
	cold.Cold, cold.ColdSequence = 0, 0
	test.SliceLen(t, 1, list(old, cold))
	test.SliceLen(t, 0, list(cold))
	test.SliceLen(t, 0, list(old, cold), test.Sprint("it was off the list for a moment"))
	old.Born = 2
	cs = list(old, cold, topol.Endpoint{Name: "new", Born: 9})
	must.SliceLen(t, 2, cs)
	test.True(t, cs[0].IsNew && cs[1].IsNew && !cs[0].States)
	now = now.Add(2 * forgetTime)
	s.Expire(now)
	test.SliceLen(t, 1, list(old), test.Sprint("it was off the list for long"))
	s.Forget("s")
	test.True(t, list(old, topol.Endpoint{Name: "other"})[1].IsFirst, test.Sprint("the service has just begun to have cold endpoints"))
}
