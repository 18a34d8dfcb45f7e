package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Kinds of faults that planConnections draws.
const (
	// ChangeIdle changes the limit for idle connections of callers.
	ChangeIdle FaultKind = linkFaultEnd + 1 + iota
	// ConfigSeries writes a series of configurations that change limits and timeouts.
	ConfigSeries
	// StopInSeries shuts a node down gracefully within a series of configurations.
	StopInSeries
	// SilenceStreams makes sound endpoints fall silent in the midst of streams and go on.
	SilenceStreams
	// RepeatAnswers makes an endpoint write an earlier answer once more.
	RepeatAnswers
	// FailResumes makes endpoints cut more streams off, and answer a stream that is
	// resumed with an error or with another content.
	FailResumes
	// OddRecord adds a record that names no endpoint to those of the endpoints. It stays.
	OddRecord
	// connFaultEnd is the end of the kinds that planConnections draws.
	connFaultEnd
)

const (
	// meanConnFaultInterval is the mean time between two faults of planConnections.
	meanConnFaultInterval = 1500 * time.Millisecond
	// soundFaultTime is how long SilenceStreams, RepeatAnswers and FailResumes last.
	soundFaultTime = 6 * time.Second
)

// planConnections draws faults beside the connections of callers: changes of the
// configuration, stops, and what endpoints do with connections and streams.
func planConnections(seed uint64, span time.Duration) []ScheduledFault {
	r := rand.New(rand.NewPCG(seed, 4))
	var faults []ScheduledFault
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanConnFaultInterval))
		if at >= span {
			return faults
		}
		faults = append(faults, ScheduledFault{At: at, Kind: ChangeIdle + FaultKind(r.IntN(int(connFaultEnd-ChangeIdle))), Index: r.IntN(1 << 16)})
	}
}

// injectConnFault injects a fault of planConnections and returns when it has ended. Nodes
// must bear these without harm to requests, so that only the stop and FailResumes are
// recorded as disturbances.
func (s *Soak) injectConnFault(ctx context.Context, f ScheduledFault) error {
	n := s.nodes[f.Index%len(s.nodes)]
	e := s.endpoints[f.Index%len(s.endpoints)]
	switch f.Kind {
	case ChangeIdle:
		return s.changeIdle(f.Index)
	case ConfigSeries:
		return s.changeInSeries(ctx, f.Index)
	case StopInSeries:
		defer s.journal.StartDisturbance(Disturbance{Node: n.name(), Kind: f.Kind.String(), IsGracefulShutdown: true})()
		return s.stopInSeries(ctx, n, f.Index)
	case SilenceStreams:
		e.silences.hold(ctx, soundFaultTime)
	case RepeatAnswers:
		e.repeats.hold(ctx, soundFaultTime)
	case FailResumes:
		defer s.journal.StartDisturbance(Disturbance{Kind: f.Kind.String()})()
		s.failResumes.hold(ctx, soundFaultTime)
	case KillInDrill:
		return s.killInDrill(ctx, n, f.Index)
	case OddRecord:
		s.addOddRecord(f.Index)
	}
	return nil
}
