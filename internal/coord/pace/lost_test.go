package pace

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/quota"
)

// Guards against slow start of endpoints that have run all the time, and against endpoints that
// were lost and are not in slow start when they are used again.
func TestLostEndpoints(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name        string
		do          func(*Lost)
		returnAfter float64
		want        bool
	}{
		{"used again", func(*Lost) {}, 2, true},
		{"used again after long", func(*Lost) {}, 31, false},
		{"cleared", func(l *Lost) { l.Clear(coldKey) }, 2, false},
		{"answer to an earlier request", func(l *Lost) { l.Observe(coldKey, at(-1), at(0.2)) }, 2, false},
		{"answer that was told late", func(l *Lost) { l.Observe(coldKey, at(-1), at(0.05)) }, 2, true},
		{"answer to a later request", func(l *Lost) { l.Observe(coldKey, at(0.1), at(0.2)) }, 2, true},
		{"another start", func(l *Lost) { l.Expire(at(1), func(quota.Key) bool { return false }) }, 2, false},
		{"still listed", func(l *Lost) { l.Expire(at(1), func(quota.Key) bool { return true }) }, 2, true},
	} {
		var l Lost
		l.Record(coldKey, at(0))
		c.do(&l)
		test.Eq(t, c.want, l.Return(coldKey, at(c.returnAfter)), test.Sprint(c.name))
		test.False(t, l.Return(coldKey, at(c.returnAfter)), test.Sprint(c.name))
		test.Zero(t, l.Len())
	}
}
