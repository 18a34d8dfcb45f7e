package pace

import (
	"testing"
	"time"

	"laburnumstack.org/laburnum/internal/coord/place"
)

var kinds = []promptKind{
	{rate: 126, tokens: 5000, events: 32, target: 300 * time.Millisecond, gap: 250 * time.Millisecond, left: 10 * time.Second},
	{rate: 8, tokens: 45_000, events: 19, target: 1500 * time.Millisecond, gap: 600 * time.Millisecond, left: 10 * time.Second},
	{rate: 3.4, tokens: 180_000, events: 16, target: 4 * time.Second, gap: time.Second, left: 15 * time.Second},
}

func oldRule(st place.ServiceState, r place.Request) (place.Choice, bool, error) {
	c, err := place.Choose(st, r)
	if err == nil || st.MaxInFlight == nil {
		return c, false, err
	}
	st.MaxInFlight, st.IsOthers = nil, nil
	c, err = place.Choose(st, r)
	return c, true, err
}

var scenario string

func burst(seed uint64, third int, cold float64, hasSlow bool, rule func(place.ServiceState, place.Request) (place.Choice, bool, error)) *engineLoad {
	l := newEngineLoad(seed, 75, 78)
	l.hasSlowStart, l.choose, l.coldFactor = hasSlow, rule, cold
	ks := append([]promptKind(nil), kinds...)
	for i, k := range ks {
		l.arrive(i, k, 0, 4*time.Second)
		k2 := k
		if i == 0 {
			k2.rate *= 2.2
		}
		l.arrive(i, k2, 4*time.Second, 8*time.Second)
		l.arrive(i, k, 8*time.Second, 10*time.Second)
	}
	back := l.engines[26*third : 26*third+26]
	l.run(2 * time.Second)
	l.stop(back, ks)
	l.run(4500 * time.Millisecond)
	l.start(back, 3*time.Second)
	if scenario == "failure" && hasSlow {
		l.after(500*time.Millisecond, func() {
			for i, e := range l.engines {
				if i%2 == 0 {
					for _, n := range l.nodes {
						n.slow.Begin(Key(e.endpoint), 12, 3, 12*time.Second, n.at(l.now))
					}
				}
			}
		})
	}
	l.run(5500 * time.Millisecond)
	most := 0
	for _, e := range back {
		most = max(most, e.most)
	}
	l.results = append(l.results, engineResult{asked: most})
	l.run(25 * time.Second)
	return l
}

func TestTrial(t *testing.T) {
	type rule = func(place.ServiceState, place.Request) (place.Choice, bool, error)
	for _, sc := range []string{"return", "failure"} {
		for _, v := range []struct {
			name string
			slow bool
			rule rule
		}{{"none", false, oldRule}, {"old", true, oldRule}, {"new", true, place.ChooseWithinBounds}} {
			var sum [4]engineResult
			for third := range 3 {
				for seed := range uint64(3) {
					scenario = sc
					l := burst(seed, third, 1.5, v.slow, v.rule)
					for i, r := range l.results {
						sum[i].asked += r.asked
						sum[i].served += r.served
						sum[i].late += r.late
						sum[i].rejected += r.rejected
						sum[i].unbounded += r.unbounded
					}
				}
			}
			t.Log(sc, v.name, sum)
		}
	}
}
