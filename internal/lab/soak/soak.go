package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	plainService  ident.ServiceName   = "plain"
	modelService  ident.ServiceName   = "model"
	routeHost                         = "soak.example"
	workspace     ident.WorkspaceName = "w1"
	permanentKey                      = "steady"
	endpointSlots                     = 16
)

var dataCentres = [...]ident.DataCentre{"a", "b", "c"}

// Soak configures and runs one soak test. The exported fields are set before Run,
// which is called once.
type Soak struct {
	// Programs are the paths of the builds of the node's program, at least one. The nodes
	// start them in turn, and each takes the next one when it starts again.
	Programs   []string
	Deployment Deployment
	// Dir is the directory for settings files and logs.
	Dir string
	// Seed determines the schedule of faults, unless Schedule is set. The requests and
	// responses differ from run to run.
	Seed uint64
	// Schedule replaces the faults of the seed.
	Schedule []ScheduledFault
	// FaultTime is how long faults are injected, FaultFreeTime how long the test
	// runs without faults before and after that.
	FaultTime, FaultFreeTime time.Duration
	Nodes                    int
	// Endpoints is the number of endpoints of each service, Callers the number of
	// callers.
	Endpoints, Callers int
	Bounds             Bounds
	// StateFaults adds faults of the state that nodes share to those of the seed:
	// losses of the store, limits of endpoints and large configurations.
	StateFaults bool
	// Drills adds losses of the store beside restarts of nodes, see planDrills.
	Drills bool
	// LinkFaults adds cuts of single nodes from all endpoints, parts of prompts that
	// crash endpoints, and what endpoints state about themselves.
	LinkFaults bool
	// ConnFaults adds faults beside the connections of callers: changes of the idle
	// timeout, series of configurations with stops, endpoints that fall silent and go on,
	// repeat answers or fail resumed streams, and odd records. Some callers then don't
	// pause, pause for almost the idle timeout, or are far from the nodes, and some streams
	// last for a second or more.
	ConnFaults bool
	// CapacityFaults adds evacuations of data centres, and data centres whose endpoints
	// return cold. Without it, no endpoint is cold.
	CapacityFaults bool
	// Output gets a line for each fault.
	Output io.Writer

	journal         *Journal
	store           Store
	nodes           []*process
	endpoints       []*endpointServer
	endpointCounter atomic.Int64
	requestCounter  atomic.Int64
	// crashing is the part that crashes endpoints now; nil if there is none.
	crashing atomic.Pointer[crashingPart]
	// failResumes is on while endpoints fail resumed streams.
	failResumes behaviour
	// callers counts the callers that were started.
	callers int

	// evacuationLocks are held while a fault evacuates the data centre.
	evacuationLocks [len(dataCentres)]sync.Mutex

	// idleLock is held while a limit for idle connections is written.
	idleLock sync.Mutex

	mu      sync.Mutex
	version ident.Version
	keys    []string
	// idleLimit is the limit for idle connections, and extraRouteTimeout what the timeouts
	// of the routes have beyond requestTimeout.
	idleLimit, extraRouteTimeout time.Duration
	// addedRoutes is the number of routes that GrowConfig has added.
	addedRoutes int
	// evacuated holds whether each data centre that was ever evacuated is so now.
	evacuated map[ident.DataCentre]bool
}

// Result holds the counts of requests and faults of a test, and the violations.
// Failed counts responses with an error status, Incomplete requests without a
// complete response. Abandoned requests are counted only in Requests.
type Result struct {
	Requests, Served, Failed, Incomplete, Faults int
	// Sound counts the requests with the permanent key that were not abandoned, and
	// SoundServed those of them that were served.
	Sound, SoundServed int
	Capacity           Capacity
	Violations         []Violation
}

// Run starts the deployment, sends requests, injects the faults and checks the
// guarantees.
func (s *Soak) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.journal = NewJournal()
	g, ctx := errgroup.WithContext(ctx)
	faults := s.schedule()
	var faultFreeSince time.Time
	err := s.setUp(ctx, g)
	defer s.terminateNodes()
	if err == nil {
		end := s.journal.StartDisturbance(Disturbance{Kind: "start"})
		err = s.awaitReady(ctx)
		end()
	}
	if err == nil {
		callersCtx, stopCallers := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for range s.Callers {
			c := s.newCaller()
			wg.Go(func() { c.run(callersCtx) })
		}
		delay.For(ctx, s.FaultFreeTime)
		err = s.injectAll(ctx, faults)
		delay.For(ctx, s.Bounds.SettleTime)
		faultFreeSince = time.Now()
		delay.For(ctx, s.FaultFreeTime)
		stopCallers()
		wg.Wait()
	}
	s.terminateNodes()
	cancel()
	if werr := g.Wait(); err == nil && werr != nil && !errors.Is(werr, context.Canceled) {
		err = werr
	}
	if err != nil {
		return Result{}, err
	}
	return s.result(faults, faultFreeSince), nil
}

// schedule returns the faults to inject, in the order of their times.
func (s *Soak) schedule() []ScheduledFault {
	if s.Schedule != nil {
		return s.Schedule
	}
	faults := Plan(s.Seed, s.FaultTime)
	if s.StateFaults {
		faults = append(faults, planState(s.Seed, s.FaultTime)...)
	}
	if s.Drills {
		faults = append(faults, planDrills(s.Seed, s.FaultTime)...)
	}
	if s.LinkFaults {
		faults = append(faults, planLinks(s.Seed, s.FaultTime)...)
	}
	if s.CapacityFaults {
		faults = append(faults, planCapacity(s.Seed, s.FaultTime)...)
	}
	if s.ConnFaults {
		faults = append(faults, planConnections(s.Seed, s.FaultTime)...)
	}
	slices.SortStableFunc(faults, func(a, b ScheduledFault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

func (s *Soak) result(faults []ScheduledFault, faultFreeSince time.Time) Result {
	r := Result{Faults: len(faults), Violations: s.journal.Check(s.Bounds, faultFreeSince), Capacity: s.journal.capacity(s.Bounds)}
	for _, c := range s.journal.sortedCalls() {
		r.Requests++
		isServed := c.Status == http.StatusOK && c.Complete
		if c.mustBeServed() {
			r.Sound++
			if isServed {
				r.SoundServed++
			}
		}
		switch {
		case isServed:
			r.Served++
		case c.Status >= http.StatusBadRequest:
			r.Failed++
		case c.AbandonedAt.IsZero():
			r.Incomplete++
		}
	}
	return r
}

// injectAll injects the faults at their times and waits until all have ended.
func (s *Soak) injectAll(ctx context.Context, faults []ScheduledFault) error {
	var g errgroup.Group
	began := time.Now()
	for _, f := range faults {
		delay.For(ctx, f.At-time.Since(began))
		fmt.Fprintln(s.Output, f)
		g.Go(func() error { return s.inject(ctx, f) })
	}
	return g.Wait()
}
