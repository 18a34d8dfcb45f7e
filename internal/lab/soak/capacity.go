package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Kinds of faults that planCapacity draws.
const (
	// EvacuateDataCentre evacuates a data centre and takes that back, after which its
	// endpoints are cold.
	EvacuateDataCentre FaultKind = KillInDrill + 1 + iota
	// ReturnCold stops the endpoints of a data centre. Others return together at the same
	// addresses, and are cold.
	ReturnCold
	// capacityFaultEnd is the end of the kinds that planCapacity draws.
	capacityFaultEnd
)

const (
	// meanCapacityFaultInterval is the mean time between two faults of planCapacity.
	meanCapacityFaultInterval = 5 * time.Second
	// minEvacuationTime is the shortest time until an evacuation is taken back; the longest
	// is twice that.
	minEvacuationTime = 7 * time.Second
	// coldStartTime is how long an endpoint is cold, coldRate the number of requests per
	// second that it tolerates meanwhile. coldDowntime is the time until endpoints return.
	coldStartTime = 3 * time.Second
	coldRate      = 15
	coldDowntime  = time.Second
	// recordInterval is the time between two records of a cold endpoint.
	recordInterval = 1200 * time.Millisecond
)

// planCapacity draws evacuations and returns of data centres.
func planCapacity(seed uint64, span time.Duration) []ScheduledFault {
	r := rand.New(rand.NewPCG(seed, 6))
	var faults []ScheduledFault
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanCapacityFaultInterval))
		if at >= span {
			return faults
		}
		f := ScheduledFault{At: at, Kind: EvacuateDataCentre + FaultKind(r.IntN(int(capacityFaultEnd-EvacuateDataCentre))), Index: r.IntN(1 << 16)}
		if f.Kind == EvacuateDataCentre {
			f.Duration = minEvacuationTime + time.Duration(r.Float64()*float64(minEvacuationTime))
		}
		faults = append(faults, f)
	}
}

// injectCapacityFault injects a fault of planCapacity and returns when it has ended. Of an
// evacuation, requests must take no harm, so that only returns are recorded as
// disturbances.
func (s *Soak) injectCapacityFault(ctx context.Context, f ScheduledFault) error {
	if f.Kind == ReturnCold {
		return s.returnCold(ctx, dataCentres[f.Index%len(dataCentres)])
	}
	return s.evacuate(ctx, f.Index%len(dataCentres), f.Duration)
}

// evacuate injects EvacuateDataCentre, unless the data centre is evacuated already.
func (s *Soak) evacuate(ctx context.Context, index int, d time.Duration) error {
	lock, dc := &s.evacuationLocks[index], dataCentres[index]
	if !lock.TryLock() {
		return nil
	}
	defer lock.Unlock()
	s.putEvacuation(dc, true)
	e := evacuation{dataCentre: dc, from: time.Now()}
	delay.For(ctx, d)
	servers := s.endpointsIn(dc)
	e.to = time.Now()
	for _, server := range servers {
		name := server.endpoint().Name
		e.endpoints = append(e.endpoints, name)
		s.journal.recordCold(name, e.to)
	}
	s.putEvacuation(dc, false)
	// Endpoints write their records independently of the operator.
	delay.For(ctx, rand.N(recordInterval))
	if err := s.publishCold(ctx, servers, e.to); err != nil {
		return err
	}
	delay.For(ctx, time.Until(e.to.Add(s.Bounds.EvacuateDelay+coldStartTime)))
	e.endpoints = commonNames(e.endpoints, s.endpointsIn(dc))
	s.journal.recordEvacuation(e)
	return nil
}

// commonNames returns the names that servers still have.
func commonNames(names []ident.EndpointName, servers []*endpointServer) []ident.EndpointName {
	had := ident.SetOf(names...)
	var common []ident.EndpointName
	for _, server := range servers {
		if name := server.endpoint().Name; had.Has(name) {
			common = append(common, name)
		}
	}
	return common
}

// putEvacuation writes the record of an evacuation, or deletes it.
func (s *Soak) putEvacuation(dc ident.DataCentre, isEvacuated bool) {
	s.mu.Lock()
	if s.evacuated == nil {
		s.evacuated = map[ident.DataCentre]bool{}
	}
	s.evacuated[dc] = isEvacuated
	s.mu.Unlock()
	s.rewriteEvacuations()
}

// rewriteEvacuations writes the records of all evacuations again, and the deletions of those
// that were taken back.
func (s *Soak) rewriteEvacuations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for dc, isEvacuated := range s.evacuated {
		var value []byte
		if isEvacuated {
			value = []byte("{}")
		}
		s.store.Put(feeds.Configuration, s.Deployment.EvacuationKey(dc), value)
	}
}

// endpointsIn returns the endpoints of a data centre.
func (s *Soak) endpointsIn(dc ident.DataCentre) []*endpointServer {
	var servers []*endpointServer
	for _, e := range s.endpoints {
		if e.endpoint().DataCentre == dc {
			servers = append(servers, e)
		}
	}
	return servers
}

// returnCold injects ReturnCold. It passes over endpoints that another fault replaces.
func (s *Soak) returnCold(ctx context.Context, dc ident.DataCentre) error {
	end := s.journal.StartDisturbance(Disturbance{Kind: ReturnCold.String()})
	var servers []*endpointServer
	for _, e := range s.endpointsIn(dc) {
		if e.replaceLock.TryLock() {
			e.stop()
			servers = append(servers, e)
		}
	}
	delay.For(ctx, coldDowntime)
	at := time.Now()
	for _, e := range servers {
		err := s.startCold(e, at)
		e.replaceLock.Unlock()
		if err != nil {
			return err
		}
	}
	end()
	delay.For(ctx, recordInterval)
	return s.publishCold(ctx, servers, at)
}

// startCold starts a stopped endpoint again under a new name in its data centre, and writes
// its record. The old record is removed.
func (s *Soak) startCold(e *endpointServer, at time.Time) error {
	old := e.endpoint()
	next := s.newEndpoint(e, old.Service)
	next.DataCentre = old.DataCentre
	s.store.Put(feeds.Endpoints, string(old.Name), nil)
	s.journal.RecordDeparture(old.Name)
	s.journal.recordCold(next.Name, at)
	if err := e.start(next); err != nil {
		return err
	}
	return s.publishEndpoint(next)
}

// publishCold writes the records of endpoints repeatedly until they are no longer cold.
// It passes over endpoints that another fault replaces.
func (s *Soak) publishCold(ctx context.Context, servers []*endpointServer, since time.Time) error {
	for {
		warm := time.Since(since) >= coldStartTime
		for _, e := range servers {
			if !e.replaceLock.TryLock() {
				continue
			}
			err := s.publishEndpoint(e.endpoint())
			e.replaceLock.Unlock()
			if err != nil {
				return err
			}
		}
		if warm || !delay.For(ctx, min(recordInterval, max(0, time.Until(since.Add(coldStartTime))))) {
			return nil
		}
	}
}

// RecordArrival records that a request reached an endpoint that it was meant for.
func (j *Journal) RecordArrival(id string, e topol.Endpoint) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals[e.Name] = append(j.arrivals[e.Name], arrival{id, e.DataCentre, time.Now()})
}

func (j *Journal) recordEvacuation(e evacuation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.evacuations = append(j.evacuations, e)
}

// recordCold records that an endpoint is cold from a time on.
func (j *Journal) recordCold(e ident.EndpointName, from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.colds[e] = append(j.colds[e], from)
}

// coldTime returns for how long an endpoint remains cold.
func (j *Journal) coldTime(e ident.EndpointName) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	times := j.colds[e]
	if len(times) == 0 {
		return 0
	}
	return max(0, time.Until(times[len(times)-1].Add(coldStartTime)))
}
