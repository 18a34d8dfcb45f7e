package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// minReturnArrivals is the number of requests at the other data centres after the end of an
// evacuation below which nothing is expected at its own.
const minReturnArrivals = 50

// evacuationsMissing is the kind of a disturbance: the store has lost the last records, and
// those of evacuations have not been written again.
const evacuationsMissing = "evacuations missing"

// arrival is a request that reached an endpoint.
type arrival struct {
	id         string
	dataCentre ident.DataCentre
	at         time.Time
}

// evacuation is the time from when the store accepted the evacuation of a data centre until
// just before it was taken back. The endpoints are those that were there at the end and
// EvacuateDelay and coldStartTime later.
type evacuation struct {
	dataCentre ident.DataCentre
	from, to   time.Time
	endpoints  []ident.EndpointName
}

// nodes returns the nodes that requests were sent to. The caller holds j.mu.
func (j *Journal) nodes() ident.Set[ident.NodeName] {
	nodes := ident.Set[ident.NodeName]{}
	for _, c := range j.calls {
		nodes.Add(c.Node)
	}
	return nodes
}

// Capacity counts what the rules evacuated and cold were applied to.
type Capacity struct {
	// Evacuations is the number of evacuations, Informed that of pairs of a node and an
	// evacuation that the node had to know of before it was taken back.
	Evacuations, Informed int
	// Cold is the number of times that an endpoint was cold, MaxCold the largest number of
	// requests in a second of such a time.
	Cold, MaxCold int
}

func (j *Journal) capacity(b Bounds) Capacity {
	j.mu.Lock()
	defer j.mu.Unlock()
	c := Capacity{Evacuations: len(j.evacuations)}
	nodes := j.nodes()
	for _, e := range j.evacuations {
		for n := range nodes {
			if !j.informedAt(n, nodes, e, b).IsZero() {
				c.Informed++
			}
		}
	}
	for name, times := range j.colds {
		for _, from := range times {
			c.Cold++
			c.MaxCold = max(c.MaxCold, maxInASecond(j.arrivals[name], from, from.Add(coldStartTime)))
		}
	}
	return c
}

// checkEvacuations checks that evacuated data centres get no requests from nodes that must know
// of the evacuation, and get some again after its end. The caller holds j.mu.
func (j *Journal) checkEvacuations(b Bounds) []Violation {
	nodes := j.nodes()
	var vs []Violation
	for _, e := range j.evacuations {
		for n := range nodes {
			if informedAt := j.informedAt(n, nodes, e, b); !informedAt.IsZero() {
				vs = append(vs, j.checkEvacuated(e, n, informedAt)...)
			}
		}
		vs = append(vs, j.checkReturned(e, nodes, b)...)
	}
	return vs
}

// checkEvacuated checks that no request of a node reached an evacuated data centre after a time.
// Requests that were sent to the node before count only if nothing could hold them up on
// their way to the endpoint.
func (j *Journal) checkEvacuated(e evacuation, n ident.NodeName, after time.Time) []Violation {
	count, text := 0, ""
	for name, arrivals := range j.arrivals {
		for _, a := range arrivals {
			c := j.calls[a.id]
			if a.dataCentre != e.dataCentre || !a.at.After(after) || !a.at.Before(e.to) || c == nil || c.Node != n {
				continue
			}
			if c.SentAt.Before(after) && j.anyOverlaps(c.SentAt, a.at, PauseNode.String(), DelayEndpoint.String()) {
				continue
			}
			count++
			text = fmt.Sprintf("request %s of kind %s was sent to %s %v after the evacuation of %s and reached %s after %v", c.ID, c.Kind, n, c.SentAt.Sub(e.from), e.dataCentre, name, a.at.Sub(e.from))
		}
	}
	if count == 0 {
		return nil
	}
	return []Violation{{"evacuated", fmt.Sprintf("%d requests, of which one: %s", count, text)}}
}

// informedAt returns the time from which on a node must know of an evacuation: it was in touch
// for EvacuateDelay, at a time after which no loss of the store can have made all nodes forget
// it. The zero time means that there is no such time. A node that starts must get the
// evacuation before it is ready, so that its own restarts don't matter.
func (j *Journal) informedAt(n ident.NodeName, nodes ident.Set[ident.NodeName], e evacuation, b Bounds) time.Time {
	from := e.from
	starts := []time.Time{from}
	for _, d := range j.disturbances {
		if d.EndedAt.IsZero() || !d.overlaps(from, e.to) {
			continue
		}
		starts = append(starts, d.EndedAt)
		if d.Kind == evacuationsMissing && !j.isAnyInTouch(nodes, d.StartedAt, d.EndedAt) {
			from = d.EndedAt
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	for _, start := range starts {
		end := start.Add(b.EvacuateDelay)
		if !start.Before(from) && end.Before(e.to) && j.isInformed(n, nodes, start, end) {
			return end
		}
	}
	return time.Time{}
}

// isInformed reports whether a node was in touch with the store, or with a node that was, for
// all of a period in which the store lost nothing.
func (j *Journal) isInformed(n ident.NodeName, nodes ident.Set[ident.NodeName], from, to time.Time) bool {
	for _, d := range j.disturbances {
		isLoss, isPause := d.Kind == evacuationsMissing, d.Node == n && d.Kind == PauseNode.String()
		if (isLoss || isPause) && d.overlaps(from, to) {
			return false
		}
	}
	return j.isAnyInTouch(nodes, from, to)
}

// isAnyInTouch reports whether one of the nodes ran and reached the store for all of a period.
func (j *Journal) isAnyInTouch(nodes ident.Set[ident.NodeName], from, to time.Time) bool {
	return slices.ContainsFunc(slices.Collect(maps.Keys(nodes)), func(n ident.NodeName) bool { return j.isInTouch(n, from, to) })
}

// isInTouch reports whether a node ran and reached the store for all of a period.
func (j *Journal) isInTouch(n ident.NodeName, from, to time.Time) bool {
	for _, d := range j.disturbances {
		harmless := d.IsCut || d.Kind == ReloadNode.String()
		ofAll := d.Kind == KillAll.String() || d.Kind == StoreDown.String()
		if (d.Node == n && !harmless || ofAll) && d.overlaps(from, to) {
			return false
		}
	}
	return true
}

// anyOverlaps reports whether a disturbance of one of the kinds overlaps a period.
func (j *Journal) anyOverlaps(from, to time.Time, kinds ...string) bool {
	for _, d := range j.disturbances {
		if slices.Contains(kinds, d.Kind) && d.overlaps(from, to) {
			return true
		}
	}
	return false
}

// checkReturned checks that a data centre gets requests again after its evacuation, if it has
// endpoints that stayed and asked for no rest.
func (j *Journal) checkReturned(e evacuation, nodes ident.Set[ident.NodeName], b Bounds) []Violation {
	until := e.to.Add(b.EvacuateDelay + coldStartTime)
	isGone := func(n ident.EndpointName) bool { _, ok := j.departedAt[n]; return ok }
	if len(slices.DeleteFunc(slices.Clone(e.endpoints), isGone)) == 0 || !j.isAnyInTouch(nodes, e.to, e.to.Add(b.EvacuateDelay)) || j.anyOverlaps(e.to, until, evacuationsMissing) {
		return nil
	}
	there, elsewhere := 0, 0
	for _, arrivals := range j.arrivals {
		for _, a := range arrivals {
			switch {
			case !a.at.After(e.to) || a.at.After(until):
			case a.dataCentre == e.dataCentre:
				there++
			default:
				elsewhere++
			}
		}
	}
	if there > 0 || elsewhere < minReturnArrivals {
		return nil
	}
	return []Violation{{"returned", fmt.Sprintf("%s got no request within %v after its evacuation, others got %d", e.dataCentre, until.Sub(e.to), elsewhere)}}
}

// checkColds checks that no cold endpoint got more requests in a second than it may. It skips
// times at which links to endpoints are delayed, since what was held up arrives together. The
// caller holds j.mu.
func (j *Journal) checkColds(b Bounds) []Violation {
	var vs []Violation
	most := int(coldRate*b.ColdOverage + b.ColdSlack)
	for name, times := range j.colds {
		for _, from := range times {
			to := from.Add(coldStartTime)
			if j.anyOverlaps(from, to, DelayEndpoint.String()) {
				continue
			}
			if n := maxInASecond(j.arrivals[name], from, to); n > most {
				vs = append(vs, Violation{"cold", fmt.Sprintf("%s was cold and got %d requests in a second, allowed are %d", name, n, most)})
			}
		}
	}
	return vs
}

// maxInASecond returns the largest number of arrivals in any second of a period.
func maxInASecond(arrivals []arrival, from, to time.Time) int {
	most, first := 0, 0
	for i, a := range arrivals {
		if a.at.After(to) {
			break
		}
		for arrivals[first].at.Before(from) && first < i || a.at.Sub(arrivals[first].at) > time.Second {
			first++
		}
		if !a.at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}
