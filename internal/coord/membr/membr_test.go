package membr_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/membr"
)

func TestTable(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	type step struct {
		after   time.Duration
		boot    int64
		leaving bool
		// tick is true for a call of Tick instead of a heartbeat.
		tick bool
	}
	cases := []struct {
		name  string
		steps []step
		state membr.State
		boot  int64
	}{
		{"one heartbeat", []step{{boot: 1}}, membr.Alive, 1},
		{"silent for a while", []step{{boot: 1}, {after: 4 * time.Second, tick: true}}, membr.Suspect, 1},
		{"silent for long", []step{{boot: 1}, {after: 7 * time.Second, tick: true}}, membr.Dead, 1},
		{"alive again after a heartbeat", []step{{boot: 1}, {after: 7 * time.Second, tick: true}, {after: 8 * time.Second, boot: 1}}, membr.Alive, 1},
		{"leaving is not suspected", []step{{boot: 1, leaving: true}, {after: 4 * time.Second, tick: true}}, membr.Leaving, 1},
		{"leaving becomes dead", []step{{boot: 1, leaving: true}, {after: 7 * time.Second, tick: true}}, membr.Dead, 1},
		{"restarted with the same name", []step{{boot: 1}, {after: time.Second, boot: 2}}, membr.Alive, 2},
		{"a late heartbeat of the earlier run is ignored", []step{{boot: 2}, {after: time.Second, boot: 1, leaving: true}}, membr.Alive, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tab := membr.New()
			for _, s := range c.steps {
				now := start.Add(s.after)
				if s.tick {
					tab.Tick(now)
					continue
				}
				tab.RecordHeartbeat(membr.Member{Name: "n", Boot: s.boot, Leaving: s.leaving}, now)
			}
			e, ok := tab.Get("n")
			must.True(t, ok)
			test.Eq(t, c.state, e.State)
			test.Eq(t, c.boot, e.Boot)
		})
	}
}

func TestSilentNodesAreRemoved(t *testing.T) {
	tab := membr.New()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tab.RecordHeartbeat(membr.Member{Name: "n", Boot: 1}, now)
	tab.Tick(now.Add(time.Hour))
	test.Len(t, 0, tab.Entries())
}
