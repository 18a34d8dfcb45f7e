package strik_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

// A fixed seed makes the property tests reproducible.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

// Times of the fleet in milliseconds.
const (
	// startMS is how long a node takes to start.
	startMS = 300
	// workMS is how long a request runs, crashMS how long one that crashes its endpoint does, and
	// downMS how long that is away.
	workMS  = 60
	crashMS = 20
	downMS  = 2000
	// maxCauseMS bounds the time to find the cause of a break, maxDelayMS the delay of a message.
	maxCauseMS = 40
	maxDelayMS = 30
	// windowMS is the time after the third crash from which on arrivals count as late, and also
	// how long a node must have been undisturbed for its arrivals to count.
	windowMS = 3000
	maxLate  = 3
	// maxDeniedMS is how long trials of others may keep a node from sending its own.
	maxDeniedMS = 5000
	// runMS is how long a fleet runs.
	runMS = 200_000
)

// Requests of a fleet. Sound ones have the part of the fatal one too.
const (
	fatalRequest strik.Digest = 1 << 40
	firstSound   strik.Digest = 2 << 40
)

// event is something that happens at a time.
type event struct {
	atMS int
	do   func()
}

// simNode is a node of a simFleet.
type simNode struct {
	name  ident.NodeName
	table *strik.Parts
	// cut is set while no message reaches the node or leaves it, isDown while it starts.
	cut, isDown bool
	// disturbedMS is when the node was last started, or cut or joined.
	disturbedMS int
}

// simFleet are nodes that send requests to endpoints and tell each other of strikes, proofs and
// trials, in virtual time.
type simFleet struct {
	t      *rapid.T
	rand   *rand.Rand
	now    int
	events []event
	nodes  []*simNode
	// upAt is when each endpoint is up again, running the number of crashes of it so far.
	upAt    []int
	crashes []int
	// fatalCrashes are the times of the crashes by the fatal request that a node told the others,
	// late its late arrivals. What only a node knows that is cut off, no other can.
	fatalCrashes []int
	late         int
	// denials are when a node first denied a sound request although its trial was due.
	denials map[denial]int
}

// denial is a bar of a request at a node that is due for a trial.
type denial struct {
	node   *simNode
	digest strik.Digest
	due    time.Time
}

func (f *simFleet) after(ms int, do func()) {
	e := event{f.now + ms, do}
	i, _ := slices.BinarySearchFunc(f.events, e, func(a, b event) int {
		if a.atMS <= b.atMS {
			return -1
		}
		return 1
	})
	f.events = slices.Insert(f.events, i, e)
}

func (f *simFleet) run() {
	for len(f.events) > 0 && f.events[0].atMS <= runMS {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.atMS
		e.do()
	}
}

// tell delivers a message to the other nodes, each after a delay of its own, sometimes twice.
// Times in it are off by the delay at the receiver.
func (f *simFleet) tell(from *simNode, apply func(to *simNode, delay time.Duration)) {
	for _, to := range f.nodes {
		if to == from {
			continue
		}
		for range 1 + f.rand.IntN(10)/9 {
			delay := f.rand.IntN(maxDelayMS)
			table := to.table
			f.after(delay, func() {
				if !from.cut && !to.cut && to.table == table {
					apply(to, time.Duration(delay)*time.Millisecond)
				}
			})
		}
	}
}

// learn makes a node take over what another one knows.
func (n *simNode) learn(from *simNode) {
	for _, s := range from.table.States() {
		n.table.Merge(s)
	}
}

// restart makes a node lose what it knows. It learns from another one before it serves. Nodes start in
// turn: if all did at once, nobody would know anything.
func (f *simFleet) restart(n *simNode) {
	if slices.ContainsFunc(f.nodes, func(o *simNode) bool { return o.isDown || o.cut }) {
		return
	}
	n.table, n.isDown = newRequests(), true
	f.after(startMS, func() {
		n.isDown, n.disturbedMS = false, f.now
		for _, o := range f.nodes {
			if o != n && !o.cut && !n.cut && !o.isDown {
				n.learn(o)
				return
			}
		}
	})
}

// cutOff cuts a node from the others for a time. Then all tell each other what they know.
func (f *simFleet) cutOff(n *simNode, ms int) {
	if slices.ContainsFunc(f.nodes, func(o *simNode) bool { return o.cut }) {
		return
	}
	n.cut, n.disturbedMS = true, f.now
	f.after(ms, func() {
		n.cut, n.disturbedMS = false, f.now
		for _, o := range f.nodes {
			if o != n {
				o.learn(n)
				n.learn(o)
			}
		}
	})
}

func (f *simFleet) isAlive(ident.NodeName) bool { return true }

// parts returns the parts of a request.
func partsOf(d strik.Digest) []ident.PartID { return []ident.PartID{commonPart, d.Part()} }

// ask makes a node serve a request as a gateway does. It sends it to another endpoint once if the
// first one crashes.
func (f *simFleet) ask(n *simNode, d strik.Digest, attempts int) {
	if n.isDown {
		return
	}
	barred, due := n.table.Check(partsOf(d))
	if len(barred) == 0 {
		f.send(n, d, attempts, nil)
		return
	}
	turn := due.Add(strik.TurnDelay(slices.Index(f.nodes, n)))
	trial := strik.Trial{Node: n.name, Parts: barred, At: at(f.now)}
	if n.cut || at(f.now).Before(turn) || !n.table.StartTrial(trial, f.isAlive) {
		f.checkBar(n, d, due)
		return
	}
	f.tellTrial(n, trial)
	table := n.table
	f.after(int(strik.AnnounceTime.Milliseconds()), func() {
		switch {
		case n.table != table:
		case n.table.HoldsTrial(trial):
			f.send(n, d, 1, &trial)
		default:
			f.endTrial(n, &trial)
		}
	})
}

func (f *simFleet) tellTrial(n *simNode, tr strik.Trial) {
	f.tell(n, func(to *simNode, delay time.Duration) {
		tr.At = tr.At.Add(delay)
		to.table.RecordTrial(tr)
	})
}

func (f *simFleet) endTrial(n *simNode, tr *strik.Trial) {
	if tr != nil {
		n.table.EndTrial(*tr)
		f.tellTrial(n, tr.End(at(f.now)))
	}
}

// send sends a request to an endpoint that is up, if there is one.
func (f *simFleet) send(n *simNode, d strik.Digest, attempts int, tr *strik.Trial) {
	e := f.rand.IntN(len(f.upAt))
	if f.now < f.upAt[e] {
		f.endTrial(n, tr)
		return
	}
	isFatal := d == fatalRequest
	if isFatal && len(f.fatalCrashes) >= 3 && f.now > f.fatalCrashes[2]+windowMS && f.now > n.disturbedMS+windowMS && !n.cut {
		f.late++
	}
	sentMS, run, table := f.now, f.crashes[e], n.table
	took := workMS
	if isFatal {
		took = crashMS
	}
	f.after(took, func() {
		crashed := isFatal && f.crashes[e] == run
		if crashed {
			f.crashes[e]++
			f.upAt[e] = f.now + downMS
		}
		switch {
		case n.table != table:
			// The node has started again.
		case f.crashes[e] != run:
			f.strike(n, d, e, sentMS, attempts, tr, crashed)
		case f.rand.IntN(5) == 0:
			// The answer is lost.
			f.endTrial(n, tr)
		default:
			f.endWell(n, d)
			f.endTrial(n, tr)
		}
	})
}

// strike records the strike of a request once its cause is known, and sends the request again. crashed
// is set if the request itself crashed the endpoint.
func (f *simFleet) strike(n *simNode, d strik.Digest, e, sentMS, attempts int, tr *strik.Trial, crashed bool) {
	s := strik.Strike{
		Digest: d, Endpoint: ident.EndpointName(fmt.Sprint("e", e)), Parts: []ident.PartID{commonPart},
		At: at(f.now), Took: at(f.now).Sub(at(sentMS)), Trial: tr != nil,
	}
	pending, table := n.table.Await(s), n.table
	f.after(1+f.rand.IntN(maxCauseMS), func() {
		if n.table != table {
			return
		}
		if k, stands := n.table.Resolve(pending); stands {
			n.table.Add(k)
			if crashed && !n.cut {
				f.fatalCrashes = append(f.fatalCrashes, f.now)
			}
			f.tell(n, func(to *simNode, delay time.Duration) {
				k := k
				k.At = k.At.Add(delay)
				to.table.Add(k)
			})
		}
		f.endTrial(n, tr)
	})
	if attempts > 1 {
		f.retry(n, d, attempts-1)
	}
}

// retry sends a request again, once no unknown cause may bar it.
func (f *simFleet) retry(n *simNode, d strik.Digest, attempts int) {
	if n.table.MayBar(partsOf(d)) {
		f.after(5, func() { f.retry(n, d, attempts) })
		return
	}
	f.ask(n, d, attempts)
}

func (f *simFleet) endWell(n *simNode, d strik.Digest) {
	p := strik.Proof{Parts: partsOf(d), At: at(f.now)}
	if p.Parts = n.table.EndWell(p); len(p.Parts) > 0 {
		f.tell(n, func(to *simNode, delay time.Duration) {
			p := p
			p.At = p.At.Add(delay)
			to.table.EndWell(p)
		})
	}
}

// checkBar fails if a sound request was denied several times since its trial has been due and the turns
// of all nodes have passed: now and then, another trial may just be under way.
func (f *simFleet) checkBar(n *simNode, d strik.Digest, due time.Time) {
	limit := due.Add(strik.TurnDelay(len(f.nodes)))
	if d == fatalRequest || n.cut || f.now < n.disturbedMS+windowMS || !at(f.now).After(limit) || !f.anyUp() {
		return
	}
	k := denial{n, d, due}
	first, denied := f.denials[k]
	if !denied {
		f.denials[k] = f.now
	}
	if denied && f.now > first+maxDeniedMS {
		f.t.Fatalf("%v: %s still bars request %x, which was due for a trial at %v", at(f.now), n.name, d, due)
	}
}

func (f *simFleet) anyUp() bool {
	return slices.ContainsFunc(f.upAt, func(ms int) bool { return ms+1000 < f.now })
}

// every calls a function at intervals.
func (f *simFleet) every(ms int, do func()) {
	f.after(f.rand.IntN(ms), func() {
		do()
		f.every(ms, do)
	})
}

func (f *simFleet) anyNode() *simNode { return f.nodes[f.rand.IntN(len(f.nodes))] }

// Guards against the faults of the second review, whatever comes together: a request that crashes what
// runs it reaches endpoints too often, and one that they would serve stays barred. There are lost
// answers, cuts and starts of nodes, messages that are late, out of order or come twice, quiet
// hours and busy ones.
func TestFleetBarsWhatCrashesEndpointsAndNothingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &simFleet{t: t, rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), denials: map[denial]int{}}
		for i := range rapid.IntRange(1, 7).Draw(t, "nodes") {
			f.nodes = append(f.nodes, &simNode{name: ident.NodeName(fmt.Sprint("n", i)), table: newRequests(), disturbedMS: -windowMS})
		}
		f.upAt = make([]int, rapid.IntRange(3, 9).Draw(t, "endpoints"))
		f.crashes = make([]int, len(f.upAt))
		f.every(rapid.SampledFrom([]int{300, 1000, 1500}).Draw(t, "pause of the fatal request"), func() { f.ask(f.anyNode(), fatalRequest, 2) })
		sound := rapid.IntRange(0, 3).Draw(t, "sound requests")
		pause := rapid.SampledFrom([]int{50, 400, 2000}).Draw(t, "pause of sound requests")
		asked := f.anyNode
		if rapid.Bool().Draw(t, "callers of one node") {
			asked = func() *simNode { return f.nodes[len(f.nodes)-1] }
		}
		for i := range sound {
			f.every(pause, func() { f.ask(asked(), firstSound+strik.Digest(i), 2) })
		}
		if len(f.nodes) > 1 && rapid.Bool().Draw(t, "starts") {
			f.every(9000, func() { f.restart(f.anyNode()) })
		}
		if len(f.nodes) > 2 && rapid.Bool().Draw(t, "cuts") {
			f.every(13_000, func() { f.cutOff(f.anyNode(), 500+f.rand.IntN(6000)) })
		}
		f.run()
		if f.late > maxLate {
			t.Fatalf("the fatal request arrived late %d times; crashes at %v ms", f.late, f.fatalCrashes)
		}
	})
}
