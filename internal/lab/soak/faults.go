package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// FaultKind is a kind of injected fault.
type FaultKind int

// Kinds of faults.
const (
	// KillNode kills a node and starts it again later.
	KillNode FaultKind = iota
	// StopNode shuts a node down gracefully with SIGTERM and starts it again.
	StopNode
	// PauseNode suspends a node.
	PauseNode
	// ReloadNode makes a node reload its settings file.
	ReloadNode
	// KillAll kills all nodes and starts them again later.
	KillAll
	// CutStore resets a node's connections to the store and refuses new ones.
	CutStore
	// SilenceStore forwards no bytes between a node and the store.
	SilenceStore
	// LoseAnswers drops the store's answers to a node.
	LoseAnswers
	// DelayStore delays all bytes between a node and the store.
	DelayStore
	// StoreDown resets the connections of all nodes to the store and refuses new
	// ones.
	StoreDown
	// TrimStore removes all records from the store but the newest of each key.
	TrimStore
	// ResetEndpoint resets the open connections to an endpoint once.
	ResetEndpoint
	// SilenceEndpoint forwards no bytes between the nodes and an endpoint.
	SilenceEndpoint
	// DelayEndpoint delays all bytes between the nodes and an endpoint.
	DelayEndpoint
	// CrashEndpoint stops an endpoint without notice. Its record stays in the store
	// for recordLifetime.
	CrashEndpoint
	// ReplaceEndpoint marks an endpoint as leaving and later replaces it by
	// another.
	ReplaceEndpoint
	// LapseEndpoint removes the record of an endpoint that still serves.
	LapseEndpoint
	// ChangeKeys adds a key and revokes the one that was the newest before.
	ChangeKeys
	// faultCount is the number of kinds that Plan draws.
	faultCount
)

// Kinds of faults that planState draws.
const (
	// LoseRecords makes the store lose the last records of all streams. They are
	// written again within maxRewriteDelay.
	LoseRecords FaultKind = faultCount + 1 + iota
	// LimitEndpoint makes an endpoint name a limit for limitTime.
	LimitEndpoint
	// GrowConfig adds many routes to the configuration and changes the keys.
	GrowConfig
)

// Kinds of faults that planLinks draws.
const (
	// CutNodeReset resets the connections of a node to all endpoints, and those it opens.
	CutNodeReset FaultKind = GrowConfig + 1 + iota
	// CutNodeHang forwards no bytes between a node and all endpoints.
	CutNodeHang
	// CutNodeRefuse resets the connections that a node opens to endpoints.
	CutNodeRefuse
	// CrashByPart makes callers send prompts with a part that crashes endpoints.
	CrashByPart
	// RestEndpoint makes an endpoint refuse requests and ask for rest: those of all
	// nodes, or of the selected one if the index is odd.
	RestEndpoint
	// StateLeaving makes an endpoint say in its answers that it is leaving.
	StateLeaving
	// linkFaultEnd is the end of the kinds that planLinks draws.
	linkFaultEnd
)

var faultNames = [...]string{
	"kill node", "stop node", "pause node", "reload node", "kill all nodes", "cut store", "silence store",
	"lose store's answers", "delay store", "store down", "trim store", "reset endpoint", "silence endpoint",
	"delay endpoint", "crash endpoint", "replace endpoint", "lapse endpoint", "change keys",
	"", "store loses records", "limit endpoint", "grow configuration",
	"cut node by resets", "cut node silently", "refuse new links of node", "crash by a part", "rest endpoint", "endpoint states leaving",
	"", "change idle timeout", "series of configurations", "stop node in a series of configurations", "silence streams", "repeat answers",
	"fail resumed streams", "odd record", "", "kill node in a drill", "evacuate data centre", "data centre returns cold",
}

// String returns the name of a fault for reports.
func (f FaultKind) String() string { return faultNames[f] }

// faultWeights are the relative frequencies of the faults.
var faultWeights = [...]int{
	KillNode: 3, StopNode: 4, PauseNode: 3, ReloadNode: 2, KillAll: 1, CutStore: 2, SilenceStore: 2, LoseAnswers: 2,
	DelayStore: 1, StoreDown: 2, TrimStore: 2, ResetEndpoint: 2, SilenceEndpoint: 2, DelayEndpoint: 1,
	CrashEndpoint: 2, ReplaceEndpoint: 4, LapseEndpoint: 1, ChangeKeys: 4,
}

// ScheduledFault is a fault to be injected at a given time.
type ScheduledFault struct {
	// At is the time since the start of the injection.
	At   time.Duration
	Kind FaultKind
	// Index selects the node or the endpoint, modulo their number.
	Index int
	// Duration is how long the fault lasts. StopNode, ReloadNode, TrimStore,
	// ResetEndpoint, ReplaceEndpoint and ChangeKeys ignore it.
	Duration time.Duration
}

// String describes the fault for reports.
func (f ScheduledFault) String() string {
	return fmt.Sprintf("%6.2f s  %s %d for %v", f.At.Seconds(), f.Kind, f.Index, f.Duration)
}

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	// minFaultDuration and maxFaultDuration limit ScheduledFault.Duration.
	meanFaultInterval = 900 * time.Millisecond
	// meanStateFaultInterval is that of planState and of planLinks.
	meanStateFaultInterval = 4 * time.Second
	minFaultDuration       = 200 * time.Millisecond
	maxFaultDuration       = 5 * time.Second
)

// Plan draws the faults of a run at random. Faults may overlap. The same seed and
// span give the same plan.
func Plan(seed uint64, span time.Duration) []ScheduledFault {
	r := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, w := range faultWeights {
		total += w
	}
	var faults []ScheduledFault
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval))
		if at >= span {
			return faults
		}
		f := ScheduledFault{At: at, Kind: pickFault(r.IntN(total)), Index: r.IntN(1 << 16)}
		f.Duration = min(minFaultDuration+time.Duration(r.ExpFloat64()*float64(time.Second)), maxFaultDuration, max(minFaultDuration, span-at))
		faults = append(faults, f)
	}
}

// planState draws faults of the state that nodes share: of the store, of the limits
// that endpoints name, and of the size of the configuration.
func planState(seed uint64, span time.Duration) []ScheduledFault {
	r := rand.New(rand.NewPCG(seed, 2))
	var faults []ScheduledFault
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanStateFaultInterval))
		if at >= span {
			return faults
		}
		faults = append(faults, ScheduledFault{At: at, Kind: LoseRecords + FaultKind(r.IntN(3)), Index: r.IntN(1 << 16)})
	}
}

// planLinks draws faults of the links of single nodes to the endpoints, of parts of
// prompts, and of what endpoints state about themselves.
func planLinks(seed uint64, span time.Duration) []ScheduledFault {
	r := rand.New(rand.NewPCG(seed, 3))
	var faults []ScheduledFault
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanStateFaultInterval))
		if at >= span {
			return faults
		}
		faults = append(faults, ScheduledFault{At: at, Kind: CutNodeReset + FaultKind(r.IntN(int(linkFaultEnd-CutNodeReset))), Index: r.IntN(1 << 16)})
	}
}

// pickFault returns the kind whose range of weights contains position, which is at
// least zero and below the sum of all weights.
func pickFault(position int) FaultKind {
	for f, w := range faultWeights {
		if position < w {
			return FaultKind(f)
		}
		position -= w
	}
	return faultCount - 1
}

// inject injects a fault and returns when it has ended. It records a disturbance
// of the affected node; faults that may affect several nodes are recorded as
// disturbances of all nodes. ReplaceEndpoint and ChangeKeys are not recorded,
// since they must not affect requests.
func (s *Soak) inject(ctx context.Context, f ScheduledFault) error {
	switch {
	case f.Kind > KillInDrill:
		return s.injectCapacityFault(ctx, f)
	case f.Kind > linkFaultEnd:
		return s.injectConnFault(ctx, f)
	}
	n := s.nodes[f.Index%len(s.nodes)]
	e := s.endpoints[f.Index%len(s.endpoints)]
	disturbance := Disturbance{Node: n.name(), Kind: f.Kind.String()}
	switch f.Kind {
	case StopNode:
		disturbance.IsGracefulShutdown = true
	case KillAll, StoreDown, TrimStore, ResetEndpoint, SilenceEndpoint, DelayEndpoint, CrashEndpoint, LapseEndpoint, LoseRecords:
		disturbance.Node = ""
	case LimitEndpoint:
		s.limitEndpoint(ctx, e)
		return nil
	case GrowConfig:
		return s.growConfig()
	case RestEndpoint:
		var asked ident.NodeName
		if f.Index%2 == 1 {
			asked = n.name()
		}
		s.restEndpoint(ctx, e, asked)
		return nil
	case CrashByPart:
		disturbance.Node = ""
	case CutNodeReset, CutNodeHang, CutNodeRefuse:
		disturbance.IsCut = true
	case StateLeaving:
		return s.stateLeaving(ctx, e)
	case ReplaceEndpoint:
		return s.replaceEndpoint(ctx, e)
	case ChangeKeys:
		return s.changeKeys()
	}
	end := s.journal.StartDisturbance(disturbance)
	defer end()
	switch f.Kind {
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
		s.disturbStore(ctx, ModeRefuse, f.Duration)
	case CutStore, SilenceStore, LoseAnswers, DelayStore:
		disturbProxy(ctx, n.storeProxy, proxyModes[f.Kind], f.Duration)
	case CutNodeReset, CutNodeHang, CutNodeRefuse:
		s.cutNode(ctx, n, f.Kind)
	case CrashByPart:
		s.crashByPart(ctx, f.Index)
	case TrimStore:
		s.store.Trim(feeds.Configuration)
		s.store.Trim(feeds.Endpoints)
	case LoseRecords:
		return s.loseRecords(ctx, f.Index)
	case ResetEndpoint:
		e.proxy.Reset()
	case SilenceEndpoint, DelayEndpoint:
		disturbProxy(ctx, e.proxy, proxyModes[f.Kind], f.Duration)
	case CrashEndpoint, LapseEndpoint:
		return s.removeEndpoint(ctx, e, f)
	}
	return nil
}

// proxyModes maps connection faults to the proxy's mode during the fault.
var proxyModes = map[FaultKind]ProxyMode{
	CutStore: ModeRefuse, SilenceStore: ModeSilence, LoseAnswers: ModeDropResponses, DelayStore: ModeDelay, SilenceEndpoint: ModeSilence, DelayEndpoint: ModeDelay,
}

// disturbProxy sets a proxy's mode for the duration d and then sets ModePass.
func disturbProxy(ctx context.Context, p *Proxy, m ProxyMode, d time.Duration) {
	p.SetMode(m)
	delay.For(ctx, d)
	p.SetMode(ModePass)
}

// pause suspends the process for the duration d.
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

// disturbStore sets the mode of all proxies to the store for the duration d and
// then sets ModePass.
func (s *Soak) disturbStore(ctx context.Context, m ProxyMode, d time.Duration) {
	for _, n := range s.nodes {
		n.storeProxy.SetMode(m)
	}
	delay.For(ctx, d)
	for _, n := range s.nodes {
		n.storeProxy.SetMode(ModePass)
	}
}
