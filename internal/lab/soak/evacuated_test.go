package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// at returns a time in seconds of a written journal.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func disturbed(n ident.NodeName, f FaultKind, from, to float64) Disturbance {
	return Disturbance{Node: n, Kind: f.String(), StartedAt: at(from), EndedAt: at(to)}
}

func missing(from, to float64) Disturbance {
	return Disturbance{Kind: evacuationsMissing, StartedAt: at(from), EndedAt: at(to)}
}

// Guards against a check that misses requests to evacuated data centres, or blames nodes that
// could not know of an evacuation. The bound is 5 s, the evacuation lasts from 10 to 30 s.
func TestRequestsToEvacuatedDataCentres(t *testing.T) {
	pause, lose, down := disturbed("n1", PauseNode, 13, 14), missing(13, 14), disturbed("", StoreDown, 0, 22)
	for _, c := range []struct {
		name          string
		sent, arrived float64
		dataCentre    ident.DataCentre
		disturbances  []Disturbance
		want          bool
	}{
		{name: "late", sent: 16, arrived: 16.1, want: true},
		{name: "long after", sent: 29, arrived: 29.5, want: true},
		{name: "within the bound", sent: 14, arrived: 14.9},
		{name: "before", sent: 5, arrived: 5.1},
		{name: "taken back", sent: 29, arrived: 30.1},
		{name: "another data centre", sent: 16, arrived: 16.1, dataCentre: "b"},
		{name: "sent again late", sent: 14, arrived: 16, want: true},
		{name: "sent in time, node paused", sent: 14.9, arrived: 15.5, disturbances: []Disturbance{disturbed("n2", PauseNode, 15, 15.4)}},
		{name: "sent late, another node paused", sent: 16, arrived: 17, disturbances: []Disturbance{disturbed("n2", PauseNode, 16, 17)}, want: true},
		{name: "node paused within the bound", sent: 18, arrived: 18.1, disturbances: []Disturbance{pause}},
		{name: "node paused within the bound, long after", sent: 20, arrived: 20.1, disturbances: []Disturbance{pause}, want: true},
		{name: "records lost within the bound", sent: 18, arrived: 18.1, disturbances: []Disturbance{lose}},
		{name: "node killed within the bound", sent: 16, arrived: 16.1, disturbances: []Disturbance{disturbed("n1", KillNode, 13, 14)}, want: true},
		{name: "node without the store, a peer has it", sent: 16, arrived: 16.1, disturbances: []Disturbance{disturbed("n1", CutStore, 9, 30)}, want: true},
		{name: "all without the store", sent: 20, arrived: 20.1, disturbances: []Disturbance{down}},
		{name: "all had no store", sent: 28, arrived: 28.1, disturbances: []Disturbance{down}, want: true},
		{name: "store down once they know", sent: 24, arrived: 24.1, disturbances: []Disturbance{disturbed("", StoreDown, 16, 30)}, want: true},
		{name: "records lost once they know", sent: 20, arrived: 20.1, disturbances: []Disturbance{missing(18, 19)}, want: true},
		{name: "records lost and all killed", sent: 20, arrived: 20.1, disturbances: []Disturbance{missing(18, 19), disturbed("", KillAll, 18, 18.5)}},
		{name: "records lost and all killed, long after", sent: 26, arrived: 26.1, disturbances: []Disturbance{missing(18, 19), disturbed("", KillAll, 18, 18.5)}, want: true},
	} {
		j := NewJournal()
		dc := ident.DataCentre("a")
		if c.dataCentre != "" {
			dc = c.dataCentre
		}
		j.AddCall(&Call{ID: "r", Node: "n1", SentAt: at(c.sent)})
		j.AddCall(&Call{ID: "other", Node: "n2", SentAt: at(0)})
		j.arrivals["e"] = []arrival{{"r", dc, at(c.arrived)}}
		for _, d := range c.disturbances {
			j.disturbances = append(j.disturbances, &d)
		}
		j.recordEvacuation(evacuation{dataCentre: "a", from: at(10), to: at(30)})
		vs := j.checkEvacuations(UserBounds())
		test.Eq(t, c.want, len(vs) == 1 && vs[0].Rule == "evacuated", test.Sprint(c.name, vs))
		test.Eq(t, c.want, len(vs) > 0, test.Sprint(c.name, vs))
	}
}

// Guards against a data centre that gets no requests after its evacuation without a violation,
// and against one for a data centre that has no endpoint, or while there are hardly any requests.
func TestDataCentresGetRequestsAfterTheirEvacuation(t *testing.T) {
	for _, c := range []struct {
		name             string
		there, elsewhere int
		departed         bool
		disturbances     []Disturbance
		want             bool
	}{
		{name: "none", elsewhere: 100, want: true},
		{name: "one", there: 1, elsewhere: 100},
		{name: "hardly any requests", elsewhere: minReturnArrivals - 1},
		{name: "no endpoints", elsewhere: 100, departed: true},
		{name: "store down", elsewhere: 100, disturbances: []Disturbance{disturbed("", StoreDown, 31, 32)}},
		{name: "deletion lost", elsewhere: 100, disturbances: []Disturbance{missing(31, 32)}},
		{name: "one node paused", elsewhere: 100, disturbances: []Disturbance{disturbed("n1", PauseNode, 31, 32)}, want: true},
	} {
		j := NewJournal()
		for _, n := range []ident.NodeName{"n1", "n2"} {
			j.AddCall(&Call{ID: string(n), Node: n})
		}
		for range c.there {
			j.arrivals["e1"] = append(j.arrivals["e1"], arrival{"n1", "a", at(33)})
		}
		for range c.elsewhere {
			j.arrivals["e2"] = append(j.arrivals["e2"], arrival{"n1", "b", at(33)})
		}
		j.arrivals["e1"] = append(j.arrivals["e1"], arrival{"n1", "a", at(39)})
		if c.departed {
			j.RecordDeparture("e1")
		}
		for _, d := range c.disturbances {
			j.disturbances = append(j.disturbances, &d)
		}
		j.recordEvacuation(evacuation{dataCentre: "a", from: at(10), to: at(30), endpoints: []ident.EndpointName{"e1"}})
		vs := j.checkEvacuations(UserBounds())
		test.Eq(t, c.want, len(vs) == 1 && vs[0].Rule == "returned", test.Sprint(c.name, vs))
		test.Eq(t, c.want, len(vs) > 0, test.Sprint(c.name, vs))
	}
}

// Guards against a check that misses a second with too many requests at a cold endpoint, or
// counts requests of other times.
func TestRequestsToColdEndpoints(t *testing.T) {
	for _, c := range []struct {
		name         string
		requests     int
		first, apart float64
		disturbances []Disturbance
		want         int
	}{
		{name: "as many as allowed", requests: 27, first: 10.5, apart: 0.01},
		{name: "too many", requests: 28, first: 10.5, apart: 0.01, want: 1},
		{name: "spread", requests: 60, first: 10.1, apart: 0.04},
		{name: "before", requests: 28, first: 9, apart: 0.01},
		{name: "partly before", requests: 28, first: 9.9, apart: 0.01},
		{name: "warm", requests: 28, first: 13, apart: 0.01},
		{name: "delayed", requests: 28, first: 10.5, apart: 0.01, disturbances: []Disturbance{disturbed("", DelayEndpoint, 10, 11)}},
	} {
		j := NewJournal()
		for i := range c.requests {
			j.arrivals["e"] = append(j.arrivals["e"], arrival{"r", "a", at(c.first + c.apart*float64(i))})
		}
		for _, d := range c.disturbances {
			j.disturbances = append(j.disturbances, &d)
		}
		j.recordCold("e", at(10))
		test.SliceLen(t, c.want, j.checkColds(UserBounds()), test.Sprint(c.name))
	}
}

func TestCapacityPlansAreReproducibleAndCoverAllFaults(t *testing.T) {
	seen := ident.Set[FaultKind]{}
	for seed := range uint64(20) {
		p := planCapacity(seed, 20*time.Second)
		test.Eq(t, p, planCapacity(seed, 20*time.Second))
		for _, f := range p {
			seen.Add(f.Kind)
			if f.Kind == EvacuateDataCentre {
				test.GreaterEq(t, minEvacuationTime, f.Duration)
			}
		}
	}
	test.Eq(t, int(capacityFaultEnd-EvacuateDataCentre), len(seen))
}

// Guards against records of endpoints that remain cold for ever, or are cold without a start.
func TestColdTimeEnds(t *testing.T) {
	j := NewJournal()
	test.Eq(t, 0, j.coldTime("e"))
	j.recordCold("e", time.Now())
	test.Positive(t, j.coldTime("e"))
	j.recordCold("f", time.Now().Add(-coldStartTime))
	test.Eq(t, 0, j.coldTime("f"))
	j.RecordArrival("r", topol.Endpoint{Name: "f", DataCentre: "a"})
	test.SliceLen(t, 1, j.arrivals["f"])
}
