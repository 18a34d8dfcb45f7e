package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/trans/feeds"
)

// Fault is a kind of injected fault.
type Fault int

// Kinds of faults. LoseAnswers drops the store's answers to one node. LapseEndpoint
// removes the record of an endpoint that still serves.
const (
	KillNode Fault = iota
	StopNode
	PauseNode
	ReloadNode
	KillAll
	CutStore
	SilenceStore
	LoseAnswers
	DelayStore
	StoreDown
	TrimStore
	ResetEndpoint
	SilenceEndpoint
	DelayEndpoint
	CrashEndpoint
	ReplaceEndpoint
	LapseEndpoint
	ChangeKeys
	faultCount
)

var faultNames = [...]string{
	"kill node", "stop node", "pause node", "reload node", "kill all nodes", "cut store", "silence store",
	"lose store's answers", "delay store", "store down", "trim store", "reset endpoint", "silence endpoint",
	"delay endpoint", "crash endpoint", "replace endpoint", "lapse endpoint", "change keys",
}

// String returns the name of a fault for reports.
func (f Fault) String() string { return faultNames[f] }

// weights are the relative frequencies of the faults.
var weights = [...]int{
	KillNode: 3, StopNode: 4, PauseNode: 3, ReloadNode: 2, KillAll: 1, CutStore: 2, SilenceStore: 2, LoseAnswers: 2,
	DelayStore: 1, StoreDown: 2, TrimStore: 2, ResetEndpoint: 2, SilenceEndpoint: 2, DelayEndpoint: 1,
	CrashEndpoint: 2, ReplaceEndpoint: 4, LapseEndpoint: 1, ChangeKeys: 4,
}

// ScheduledFault is a fault to be injected at a time of the run.
type ScheduledFault struct {
	// At is the time since the start of the injection.
	At    time.Duration
	Fault Fault
	// Index selects the node or the endpoint, modulo their number.
	Index    int
	Duration time.Duration
}

// String describes the fault for reports.
func (f ScheduledFault) String() string {
	return fmt.Sprintf("%6.2f s  %s %d for %v", f.At.Seconds(), f.Fault, f.Index, f.Duration)
}

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	// minFaultDuration and maxFaultDuration bound how long one lasts.
	meanFaultInterval = 900 * time.Millisecond
	minFaultDuration  = 200 * time.Millisecond
	maxFaultDuration  = 5 * time.Second
)

// Plan draws the faults of a run at random. Faults may overlap. The same seed and
// span give the same plan.
func Plan(seed uint64, span time.Duration) []ScheduledFault {
	r := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, w := range weights {
		total += w
	}
	var faults []ScheduledFault
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval))
		if at >= span {
			return faults
		}
		f := ScheduledFault{At: at, Fault: pickFault(r.IntN(total)), Index: r.IntN(1 << 16)}
		f.Duration = min(minFaultDuration+time.Duration(r.ExpFloat64()*float64(time.Second)), maxFaultDuration, max(minFaultDuration, span-at))
		faults = append(faults, f)
	}
}

// pickFault returns the fault at a position from zero to the sum of the weights.
func pickFault(position int) Fault {
	for f, w := range weights {
		if position < w {
			return Fault(f)
		}
		position -= w
	}
	return faultCount - 1
}

// inject injects a fault, records the disturbance and returns at its end.
// Faults that may affect several nodes count as disturbances of all nodes.
// ReplaceEndpoint and ChangeKeys are no disturbances.
func (s *Soak) inject(ctx context.Context, f ScheduledFault) error {
	n := s.nodes[f.Index%len(s.nodes)]
	e := s.servers[f.Index%len(s.servers)]
	disturbance := Disturbance{Node: n.name(), Kind: f.Fault.String()}
	switch f.Fault {
	case StopNode:
		disturbance.IsPlanned = true
	case KillAll, StoreDown, TrimStore, ResetEndpoint, SilenceEndpoint, DelayEndpoint, CrashEndpoint, LapseEndpoint:
		disturbance.Node = ""
	case ReplaceEndpoint:
		return s.replaceEndpoint(ctx, e)
	case ChangeKeys:
		return s.changeKeys()
	}
	end := s.journal.StartDisturbance(disturbance)
	defer end()
	switch f.Fault {
	case KillNode:
		return n.withSignalLock(func() error { return n.killAndRestart(ctx, f.Duration) })
	case StopNode:
		return n.withSignalLock(func() error { return n.stopAndRestart(ctx) })
	case PauseNode:
		return n.withSignalLock(func() error { n.pause(ctx, f.Duration); return nil })
	case ReloadNode:
		return n.withSignalLock(func() error { return n.reload(ctx) })
	case KillAll:
		return s.killAllNodes(ctx, f.Duration)
	case StoreDown:
		s.disturbStore(ctx, Refuse, f.Duration)
	case CutStore, SilenceStore, LoseAnswers, DelayStore:
		disturbProxy(ctx, n.storeProxy, proxyModes[f.Fault], f.Duration)
	case TrimStore:
		s.store.Trim(feeds.Configuration)
		s.store.Trim(feeds.Endpoints)
	case ResetEndpoint:
		e.proxy.Reset()
	case SilenceEndpoint, DelayEndpoint:
		disturbProxy(ctx, e.proxy, proxyModes[f.Fault], f.Duration)
	case CrashEndpoint, LapseEndpoint:
		return s.crashEndpoint(ctx, e, f)
	}
	return nil
}

// proxyModes maps a fault of a connection to the mode of the proxy while it lasts.
var proxyModes = map[Fault]Mode{
	CutStore: Refuse, SilenceStore: Silence, LoseAnswers: OneWay, DelayStore: Delay, SilenceEndpoint: Silence, DelayEndpoint: Delay,
}

// disturbProxy sets a proxy's mode for some time.
func disturbProxy(ctx context.Context, p *Proxy, m Mode, d time.Duration) {
	p.SetMode(m)
	delay.For(ctx, d)
	p.SetMode(Pass)
}

// pause suspends the process for some time.
func (p *process) pause(ctx context.Context, d time.Duration) {
	p.signal(syscall.SIGSTOP, false)
	delay.For(ctx, d)
	p.signal(syscall.SIGCONT, false)
}

// withSignalLock calls f while no other fault sends signals to the process. Other
// kinds of faults may overlap.
func (p *process) withSignalLock(f func() error) error {
	p.signalLock.Lock()
	defer p.signalLock.Unlock()
	return f()
}

// killAllNodes kills all nodes and starts them again after the downtime.
func (s *Soak) killAllNodes(ctx context.Context, downtime time.Duration) error {
	for _, n := range s.nodes {
		n.signalLock.Lock()
		defer n.signalLock.Unlock()
		n.signal(syscall.SIGKILL, true)
	}
	for _, n := range s.nodes {
		<-n.signal(syscall.SIGKILL, true)
	}
	delay.For(ctx, downtime)
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// disturbStore sets the mode of all proxies to the store for some time.
func (s *Soak) disturbStore(ctx context.Context, m Mode, d time.Duration) {
	for _, n := range s.nodes {
		n.storeProxy.SetMode(m)
	}
	delay.For(ctx, d)
	for _, n := range s.nodes {
		n.storeProxy.SetMode(Pass)
	}
}
