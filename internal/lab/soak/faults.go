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

// Fault is a kind of disturbance.
type Fault int

// Kinds of faults.
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
	faults
)

var faultNames = [...]string{
	"kill node", "stop node", "pause node", "reload node", "kill all nodes", "cut store", "silence store",
	"lose store's answers", "delay store", "store down", "trim store", "reset endpoint", "silence endpoint",
	"delay endpoint", "crash endpoint", "replace endpoint", "lapse endpoint", "change keys",
}

// String names a fault for reports.
func (f Fault) String() string { return faultNames[f] }

// weights make common faults common.
var weights = [...]int{
	KillNode: 3, StopNode: 4, PauseNode: 3, ReloadNode: 2, KillAll: 1, CutStore: 2, SilenceStore: 2, LoseAnswers: 2,
	DelayStore: 1, StoreDown: 2, TrimStore: 2, ResetEndpoint: 2, SilenceEndpoint: 2, DelayEndpoint: 1,
	CrashEndpoint: 2, ReplaceEndpoint: 4, LapseEndpoint: 1, ChangeKeys: 4,
}

// Step is a fault at a time of the run.
type Step struct {
	At    time.Duration
	Fault Fault
	// Index chooses the node or endpoint.
	Index int
	For   time.Duration
}

// String is the step for reports.
func (s Step) String() string {
	return fmt.Sprintf("%6.2f s  %s %d for %v", s.At.Seconds(), s.Fault, s.Index, s.For)
}

const (
	// stepPause is the mean pause between two faults, shortest and longest
	// bound how long one lasts.
	stepPause = 900 * time.Millisecond
	shortest  = 200 * time.Millisecond
	longest   = 5 * time.Second
)

// Plan draws the faults of a run. They come in series and overlap.
func Plan(seed uint64, span time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, w := range weights {
		total += w
	}
	var steps []Step
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(stepPause))
		if at >= span {
			return steps
		}
		s := Step{At: at, Fault: draw(r.IntN(total)), Index: r.IntN(1 << 16)}
		s.For = min(shortest+time.Duration(r.ExpFloat64()*float64(time.Second)), longest, max(shortest, span-at))
		steps = append(steps, s)
	}
}

func draw(at int) Fault {
	for f, w := range weights {
		if at < w {
			return Fault(f)
		}
		at -= w
	}
	return faults - 1
}

// play carries out one step.
func (s *Soak) play(ctx context.Context, st Step) error {
	n := s.nodes[st.Index%len(s.nodes)]
	e := s.servers[st.Index%len(s.servers)]
	trouble := Trouble{Node: n.name(), What: st.Fault.String()}
	switch st.Fault {
	case StopNode:
		trouble.Planned = true
	case KillAll, StoreDown, TrimStore, ResetEndpoint, SilenceEndpoint, DelayEndpoint, CrashEndpoint, LapseEndpoint:
		trouble.Node = ""
	case ReplaceEndpoint:
		return s.replace(ctx, e)
	case ChangeKeys:
		return s.changeKeys()
	}
	end := s.journal.Disturb(trouble)
	defer end()
	switch st.Fault {
	case KillNode:
		return n.alone(func() error { return n.kill(ctx, st.For) })
	case StopNode:
		return n.alone(func() error { return n.stop(ctx) })
	case PauseNode:
		return n.alone(func() error { n.pause(ctx, st.For); return nil })
	case ReloadNode:
		return n.alone(func() error { return n.reload(ctx) })
	case KillAll:
		return s.killAll(ctx, st.For)
	case StoreDown:
		s.disturbStore(ctx, Refuse, st.For)
	case CutStore, SilenceStore, LoseAnswers, DelayStore:
		disturb(ctx, n.store, modes[st.Fault], st.For)
	case TrimStore:
		s.store.Trim(feeds.Configuration)
		s.store.Trim(feeds.Endpoints)
	case ResetEndpoint:
		e.proxy.Reset()
	case SilenceEndpoint, DelayEndpoint:
		disturb(ctx, e.proxy, modes[st.Fault], st.For)
	case CrashEndpoint, LapseEndpoint:
		return s.crash(ctx, e, st)
	}
	return nil
}

var modes = map[Fault]Mode{
	CutStore: Refuse, SilenceStore: Silence, LoseAnswers: OneWay, DelayStore: Delay, SilenceEndpoint: Silence, DelayEndpoint: Delay,
}

func disturb(ctx context.Context, p *Proxy, m Mode, d time.Duration) {
	p.Set(m)
	delay.For(ctx, d)
	p.Set(Pass)
}

func (p *process) pause(ctx context.Context, d time.Duration) {
	p.signal(syscall.SIGSTOP, false)
	delay.For(ctx, d)
	p.signal(syscall.SIGCONT, false)
}

// alone keeps signals to one process apart; other faults may overlap.
func (p *process) alone(f func() error) error {
	p.turn.Lock()
	defer p.turn.Unlock()
	return f()
}

func (s *Soak) killAll(ctx context.Context, down time.Duration) error {
	for _, n := range s.nodes {
		n.turn.Lock()
		defer n.turn.Unlock()
		n.signal(syscall.SIGKILL, true)
	}
	for _, n := range s.nodes {
		<-n.signal(syscall.SIGKILL, true)
	}
	delay.For(ctx, down)
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) disturbStore(ctx context.Context, m Mode, d time.Duration) {
	for _, n := range s.nodes {
		n.store.Set(m)
	}
	delay.For(ctx, d)
	for _, n := range s.nodes {
		n.store.Set(Pass)
	}
}
