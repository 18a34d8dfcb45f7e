package pace

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/pkg/ident"
)

// load is a simulated deployment: nodes send requests to endpoints and tell each other of them.
type load struct {
	rng       *rand.Rand
	now       time.Duration
	events    eventQueue
	nodes     []*loadNode
	endpoints []*loadEndpoint
	target    time.Duration
	// told is how long it takes until the other nodes know of a start or an end.
	told time.Duration
	// rejected counts the requests that no endpoint got, late those answered after the target,
	// lost those answered after a second, when their callers have left.
	rejected, served, late, lost int
}

// loadNode knows of each endpoint how many requests run there.
type loadNode struct {
	node
	slow     Slow
	inFlight []int
}

// loadEndpoint runs as many requests at once as it has slots, and queues the others.
type loadEndpoint struct {
	key     quota.Key
	slots   int
	takes   func(now time.Duration) time.Duration
	running int
	queue   []func()
	// most is the largest number of requests that it had since reset.
	most, has, total int
}

type simEvent struct {
	at time.Duration
	do func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newLoad(nodes, endpoints, slots int, takes time.Duration) *load {
	l := &load{rng: rand.New(rand.NewPCG(1, 2)), target: 300 * time.Millisecond, told: 30 * time.Millisecond}
	for i := range endpoints {
		l.endpoints = append(l.endpoints, &loadEndpoint{
			key: quota.Key{Endpoint: ident.EndpointName(fmt.Sprint("e", i))}, slots: slots, takes: func(time.Duration) time.Duration { return takes },
		})
	}
	for i := range nodes {
		n := &loadNode{node: *newNode(i, 0), inFlight: make([]int, endpoints)}
		n.settle(addresses(nodes), nodes)
		l.nodes = append(l.nodes, n)
	}
	return l
}

func (l *load) after(d time.Duration, do func()) { heap.Push(&l.events, simEvent{l.now + d, do}) }

func (l *load) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(simEvent)
		l.now = e.at
		e.do()
	}
	l.now = until
}

// arrive lets requests arrive at random nodes.
func (l *load) arrive(perSecond float64, until time.Duration, nodes int) {
	for at := l.now; at < until; at += time.Duration(l.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		l.after(at-l.now, func() { l.send(l.rng.IntN(nodes)) })
	}
}

// beginAll begins slow start of some endpoints at all nodes.
func (l *load) beginAll(endpoints []*loadEndpoint, first int, limit time.Duration) {
	for _, n := range l.nodes {
		for _, e := range endpoints {
			n.slow.Begin(e.key, e.slots, first, limit, n.at(l.now))
		}
	}
}

// send sends a request from a node to the endpoint with the fewest, as place.Choose does.
func (l *load) send(i int) {
	n := l.nodes[i]
	best, bestCost := -1, 0.0
	for j, e := range l.endpoints {
		bound, isSlow := n.slow.Bound(e.key, n.at(l.now))
		maySend := n.slow.MaySend(e.key, n.inFlight[j], &n.view, n.at(l.now))
		if isSlow && (n.inFlight[j] >= bound || !maySend) {
			continue
		}
		if cost := float64(n.inFlight[j])/float64(e.slots) + 0.01*l.rng.Float64(); best < 0 || cost < bestCost {
			best, bestCost = j, cost
		}
	}
	if best < 0 {
		l.rejected++
		return
	}
	e := l.endpoints[best]
	turn, ok := n.slow.Take(e.key, &n.view, false, n.at(l.now))
	if !ok {
		l.rejected++
		return
	}
	l.count(n, best, 1)
	e.has++
	e.total++
	e.most = max(e.most, e.has)
	sentAt := l.now
	begin := func() {
		e.running++
		l.after(e.takes(l.now), func() { l.answer(n, best, sentAt, turn) })
	}
	if e.running < e.slots {
		begin()
		return
	}
	e.queue = append(e.queue, begin)
}

// answer ends a request.
func (l *load) answer(n *loadNode, i int, sentAt time.Duration, turn *Turn) {
	e := l.endpoints[i]
	e.running--
	e.has--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		next()
	}
	l.served++
	if l.now-sentAt > l.target {
		l.late++
	}
	if l.now-sentAt > time.Second {
		l.lost++
	}
	n.slow.Answered(e.key, Answer{SentAt: n.at(sentAt), Target: l.target}, n.at(l.now))
	if turn != nil {
		n.slow.Release(turn)
	}
	l.count(n, i, -1)
	l.after(l.told, func() {
		for _, o := range l.nodes {
			if o != n {
				o.slow.Answered(e.key, Answer{SentAt: o.at(sentAt), Target: l.target, IsOfPeer: true}, o.at(l.now))
			}
		}
	})
}

// count counts a start or an end, of which the other nodes hear later.
func (l *load) count(n *loadNode, endpoint, change int) {
	n.inFlight[endpoint] += change
	l.after(l.told, func() {
		for _, o := range l.nodes {
			if o != n {
				o.inFlight[endpoint] += change
			}
		}
	})
}

// inSlowStart returns the number of endpoints of which a node thinks that they are in slow start.
func (l *load) inSlowStart() int {
	sum := 0
	for _, n := range l.nodes {
		sum += n.slow.Len()
	}
	return sum
}

func mostOf(es []*loadEndpoint) int {
	most := 0
	for _, e := range es {
		most = max(most, e.most)
	}
	return most
}

// Load: a third of the endpoints returns cold, so that they look idle to all nodes, while 75 nodes
// send 1,600 requests a second. Without a bound, each of them gets what all nodes send until they
// hear of each other, which is several times its slots.
func TestReturningDataCentreIsNotOverrun(t *testing.T) {
	run := func(bounded bool) (most, second int, l *load) {
		l = newLoad(75, 39, 8, 100*time.Millisecond)
		back := l.endpoints[:13]
		for _, e := range back {
			e.takes = func(now time.Duration) time.Duration { return max(100*time.Millisecond, 290*time.Millisecond-now/20) }
		}
		if bounded {
			l.beginAll(back, FirstBound(8), time.Minute)
		}
		l.arrive(1600, 6*time.Second, 75)
		l.run(200 * time.Millisecond)
		most = mostOf(back)
		l.run(time.Second)
		second = mostOf(back)
		l.run(6 * time.Second)
		return most, second, l
	}
	first, second, l := run(true)
	without, _, unbounded := run(false)
	t.Log("most requests in the first 200 ms:", first, "in the first second:", second, "without a bound:", without)
	t.Log("served", l.served, "late", l.late, "rejected", l.rejected, "without a bound: served", unbounded.served, "late", unbounded.late)
	test.LessEq(t, 6, first)
	test.Greater(t, 2*first, without)
	test.Zero(t, l.rejected, test.Sprint("the other endpoints serve what these don't take"))
	test.Zero(t, l.inSlowStart(), test.Sprint("slow start ends long before its time"))
	test.Less(t, unbounded.late, l.late)
}

// Load: an endpoint that answers after 2 s, eight times its target. It keeps few requests until
// the end of slow start, and then counts as any other.
func TestSlowEndpointKeepsFewRequests(t *testing.T) {
	l := newLoad(20, 10, 16, 100*time.Millisecond)
	slow := l.endpoints[0]
	slow.takes = func(time.Duration) time.Duration { return 2 * time.Second }
	l.beginAll(l.endpoints[:1], FirstBound(16), 12*time.Second)
	l.arrive(500, 11*time.Second, 20)
	l.run(2 * time.Second)
	test.LessEq(t, 7, slow.most, test.Sprint("the first ones, before one is late"))
	slow.most = 0
	l.run(4500 * time.Millisecond)
	slow.most = 0
	l.run(11 * time.Second)
	t.Log(slow.most, slow.total)
	test.LessEq(t, 3, slow.most)
	test.Zero(t, l.rejected)
}

// Load: an endpoint that answers within 50 ms reaches its full pace within a few response times,
// and the time after which its nodes hear of each other.
func TestFastEndpointReachesItsFullPace(t *testing.T) {
	for _, nodes := range []int{1, 3, 20, 75} {
		l := newLoad(nodes, 10, 16, 50*time.Millisecond)
		l.beginAll(l.endpoints[:1], FirstBound(16), 12*time.Second)
		l.arrive(1000, 3*time.Second, nodes)
		for l.now < 3*time.Second && l.inSlowStart() > 0 {
			l.run(l.now + 10*time.Millisecond)
		}
		t.Log(nodes, l.now, l.endpoints[0].total)
		test.LessEq(t, 800*time.Millisecond, l.now, test.Sprint(nodes))
		test.Zero(t, l.rejected)
	}
}

// Load: callers reach only three of 75 nodes. Most members have a part of the bound and no use for
// it, and the endpoint must not stay idle for that.
func TestBoundIsUsedByTheNodesThatHaveRequests(t *testing.T) {
	l := newLoad(75, 10, 16, 50*time.Millisecond)
	l.beginAll(l.endpoints[:1], FirstBound(16), 12*time.Second)
	l.arrive(1000, 5*time.Second, 3)
	for l.now < 5*time.Second && l.inSlowStart() > 0 {
		l.run(l.now + 10*time.Millisecond)
	}
	t.Log(l.now, l.endpoints[0].total)
	test.LessEq(t, 2500*time.Millisecond, l.now)
	test.Greater(t, 0, l.endpoints[0].total)
}

// Load: all 75 nodes lose power and are back, while the endpoints still work for up to 2 s on what
// was sent before, which no node knows. Without a bound, the nodes queue what callers won't wait
// for.
func TestRestartedNodesDoNotQueueBehindEarlierRequests(t *testing.T) {
	run := func(bounded bool) *load {
		l := newLoad(75, 39, 8, 100*time.Millisecond)
		for i, e := range l.endpoints {
			if i%3 == 0 {
				continue
			}
			// All slots are taken until 2 s after the start.
			e.running = e.slots
			for range e.slots {
				l.after(2*time.Second, func() {
					e.running--
					if len(e.queue) > 0 {
						next := e.queue[0]
						e.queue = e.queue[1:]
						next()
					}
				})
			}
		}
		if bounded {
			l.beginAll(l.endpoints, UnknownFirst, 12*time.Second)
		}
		l.arrive(800, 4*time.Second, 75)
		l.run(10 * time.Second)
		return l
	}
	with, without := run(true), run(false)
	t.Log("lost", with.lost, "late", with.late, "rejected", with.rejected, "served", with.served, "without a bound: lost", without.lost, "late", without.late, "served", without.served)
	test.Less(t, without.lost/3, with.lost)
	test.Zero(t, with.inSlowStart())
	test.Less(t, (with.served+with.rejected)/4, with.rejected)
}
