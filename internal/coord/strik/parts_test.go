package strik_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Parts of the prompts in these tests: commonPart is in all of them, badPart crashes
// endpoints.
const (
	commonPart ident.PartID = 1
	badPart    ident.PartID = 2
	rarePart   ident.PartID = 3
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time in milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crash returns the strike of a prompt that was sent and broken off at given times.
func crash(sentMS, brokenMS int, ps ...ident.PartID) strik.Strike {
	return strik.Strike{Digest: strik.Digest(sentMS), Parts: ps, At: at(brokenMS), Took: at(brokenMS).Sub(at(sentMS))}
}

func barred(t *strik.Parts, ps ...ident.PartID) []ident.PartID {
	b, _ := t.Check(ps)
	return b
}

// Guards against barring what sound prompts share with those that crash endpoints.
func TestPartIsBarredIfNothingWithItEndsWell(t *testing.T) {
	p := strik.NewParts()
	for i := range 3 {
		test.SliceEmpty(t, barred(p, badPart))
		p.Add(crash(i*300, i*300+200, commonPart, badPart))
		p.EndWell(strik.Proof{Parts: []ident.PartID{commonPart, rarePart}, At: at(i*300 + 250)})
	}
	test.Eq(t, []ident.PartID{badPart}, barred(p, commonPart, badPart))
	test.SliceEmpty(t, barred(p, commonPart, rarePart))
}

// Guards against barring parts of prompts that were in flight when several endpoints
// crashed at one time.
func TestCrashesAtOneTimeCountOnce(t *testing.T) {
	cases := []struct {
		name string
		// endpoints and sentMS are of each of the strikes, which are recorded at 500 ms and 1 ms
		// apart.
		endpoints []ident.EndpointName
		sentMS    int
	}{
		{"several endpoints", []ident.EndpointName{"a", "b", "c", "d", "e", "f"}, 0},
		{"one endpoint, sent just before", []ident.EndpointName{"a", "a", "a", "a", "a", "a"}, 490},
	}
	for _, c := range cases {
		p := strik.NewParts()
		for i, e := range c.endpoints {
			s := crash(c.sentMS+i, 500+i, commonPart, rarePart)
			s.Endpoint = e
			p.Add(s)
		}
		test.SliceEmpty(t, barred(p, commonPart, rarePart), test.Sprint(c.name))
	}
}

// Guards against BUDGET: copies of a request that were sent at one time, and crashed an endpoint each,
// counted as one.
func TestCopiesOfARequestCountForEachEndpoint(t *testing.T) {
	cases := []struct {
		name      string
		endpoints []ident.EndpointName
		barred    bool
	}{
		{"three endpoints", []ident.EndpointName{"a", "b", "c"}, true},
		{"one endpoint", []ident.EndpointName{"a", "a", "a"}, false},
	}
	for _, c := range cases {
		p := newRequests()
		for i, e := range c.endpoints {
			s := crashOf(1<<40, i, 500+i)
			s.Endpoint = e
			p.Add(s)
		}
		test.Eq(t, c.barred, len(barred(p, 1<<40)) > 0, test.Sprint(c.name))
	}
}

// Guards against BUDGET: nodes that counted fewer strikes than the one that recorded them, and sent the
// request again. It follows a crash by less than the delays of two messages differ.
func TestStrikesOfRetriesCountAtPeers(t *testing.T) {
	const d strik.Digest = 1 << 40
	for _, delaysMS := range [][]int{{0, 0, 0}, {30, 0, 20}, {20, 30, 0}, {40, 20, 0}} {
		p := newRequests()
		for i, e := range []ident.EndpointName{"a", "b", "c"} {
			s := crashOf(d, i*51+delaysMS[i], i*51+50+delaysMS[i])
			s.Endpoint = e
			p.Add(s)
		}
		test.SliceLen(t, 1, barred(p, d.Part()), test.Sprint(delaysMS))
	}
}

// Guards against barring all parts of one request that crashes endpoints by itself.
func TestStrikesOfOneRequestBarNoPart(t *testing.T) {
	p := strik.NewParts()
	for i := range 4 {
		s := crash(i*300, i*300+200, commonPart, rarePart)
		s.Digest = 7
		p.Add(s)
	}
	test.SliceEmpty(t, barred(p, commonPart, rarePart))
	p.Add(crash(1300, 1400, rarePart))
	test.Eq(t, []ident.PartID{rarePart}, barred(p, commonPart, rarePart))
}

// Guards against a part that was barred by chance and never comes free, and against a part
// that crashes endpoints in trial after trial.
func TestTrials(t *testing.T) {
	p := strik.NewParts()
	for i := range 3 {
		p.Add(crash(i*300, i*300+200, badPart, rarePart))
	}
	_, due := p.Check([]ident.PartID{rarePart})
	test.Eq(t, at(1300), due)
	_, due = p.Check([]ident.PartID{rarePart, badPart})
	test.Eq(t, at(8800), due, test.Sprint("both parts can't be told apart"))

	test.Eq(t, []ident.PartID{rarePart}, p.EndWell(strik.Proof{Parts: []ident.PartID{rarePart}, At: at(2000)}))
	test.SliceEmpty(t, barred(p, rarePart))

	trials := 0
	for now := at(2000); now.Before(at(0).Add(time.Hour)); now = now.Add(100 * time.Millisecond) {
		if _, due := p.Check([]ident.PartID{badPart}); now.After(due) {
			trials++
			p.Add(strik.Strike{Parts: []ident.PartID{badPart}, At: now.Add(50 * time.Millisecond), Took: 50 * time.Millisecond, Trial: true})
		}
	}
	test.Eq(t, 4, trials, test.Sprint("after 0.5 s, 8 s, 2 min and 34 min"))
}

func TestLateStrikeDoesNotUndoASuccess(t *testing.T) {
	p := strik.NewParts()
	p.Add(crash(0, 200, rarePart))
	p.EndWell(strik.Proof{Parts: []ident.PartID{rarePart}, At: at(900)})
	for i := range 4 {
		p.Add(crash(210+i*100, 300+i*100, rarePart))
	}
	test.SliceEmpty(t, barred(p, rarePart))
}

// Guards against a node that starts, or was cut off, and sends what the others have
// barred.
func TestMergedPartIsBarred(t *testing.T) {
	p, q := strik.NewParts(), strik.NewParts()
	for i := range 4 {
		p.Add(crash(i*300, i*300+200, badPart))
	}
	for _, s := range p.States() {
		q.Merge(s)
	}
	test.Eq(t, []ident.PartID{badPart}, barred(q, badPart))
	q.EndWell(strik.Proof{Parts: []ident.PartID{badPart}, At: at(5000)})
	for _, s := range p.States() {
		q.Merge(s)
	}
	test.SliceEmpty(t, barred(q, badPart), test.Sprint("what the peer knows is older than the success"))
	q.Expire(at(0).Add(24 * time.Hour))
	test.Zero(t, q.Len())
}

// TestTableIsBounded checks that any sequence of strikes leaves a table of limited size,
// and that parts which end well after each strike are never barred.
func TestTableIsBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := strik.NewParts()
		now := 0
		for range rapid.IntRange(1, 300).Draw(r, "strikes") {
			sent := now
			now += rapid.IntRange(1, 500).Draw(r, "took")
			ps := []ident.PartID{commonPart}
			for range 30 {
				ps = append(ps, ident.PartID(rapid.Uint64().Draw(r, "part")))
			}
			p.Add(crash(sent, now, ps...))
			now++
			p.EndWell(strik.Proof{Parts: []ident.PartID{commonPart}, At: at(now)})
			if len(barred(p, commonPart)) > 0 {
				r.Fatal("a part that ends well is barred")
			}
		}
		if p.Len() > 4096 {
			r.Fatal("too many parts")
		}
	})
}

// newRequests returns a table that counts strikes against whole requests.
func newRequests() *strik.Parts {
	p := strik.NewParts()
	p.CountsRequests = true
	return p
}

// crashOf returns the strike of a request without shared parts.
func crashOf(d strik.Digest, sentMS, brokenMS int) strik.Strike {
	s := crash(sentMS, brokenMS)
	s.Digest = d
	return s
}

// Guards against CONFIG: a request that ended well in between was barred for strikes that were not
// in a row.
func TestRequestIsBarredIfItNeverEndsWell(t *testing.T) {
	const d strik.Digest = 1 << 40
	cases := []struct {
		name string
		// endsWellMS are when the request ended well; the strikes are of 200, 500 and 800 ms.
		endsWellMS []int
		barred     bool
	}{
		{"never", nil, true},
		{"before the first", []int{100}, true},
		{"in between", []int{600}, false},
		{"after the last", []int{900}, false},
	}
	for _, c := range cases {
		p := newRequests()
		for i := range 3 {
			for _, ms := range c.endsWellMS {
				if ms > i*300-100 && ms <= i*300+200 {
					p.EndWell(strik.Proof{Parts: []ident.PartID{d.Part()}, At: at(ms)})
				}
			}
			p.Add(crashOf(d, i*300, i*300+200))
		}
		for _, ms := range c.endsWellMS {
			p.EndWell(strik.Proof{Parts: []ident.PartID{d.Part()}, At: at(ms)})
		}
		test.Eq(t, c.barred, len(barred(p, d.Part())) > 0, test.Sprint(c.name))
	}
}

// Guards against a crash that does not count since the cause of its break was found after that of the
// next one.
func TestEarlierStrikeThatIsFoundLaterCounts(t *testing.T) {
	const d strik.Digest = 1 << 40
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		p := newRequests()
		for _, i := range order {
			p.Add(crashOf(d, i*300, i*300+200))
		}
		test.SliceLen(t, 1, barred(p, d.Part()), test.Sprint(order))
	}
}

// Guards against a strike for a request that ended well elsewhere before the cause of the break was
// known.
func TestPendingStrikeIsVoidIfTheRequestEndsWell(t *testing.T) {
	const d strik.Digest = 1 << 40
	s := crash(0, 200, commonPart, badPart)
	s.Digest = d
	p := newRequests()
	pending := p.Await(s)
	test.Eq(t, 1, p.PendingLen())
	p.EndWell(strik.Proof{Parts: []ident.PartID{commonPart}, At: at(300)})
	p.EndWell(strik.Proof{Parts: []ident.PartID{badPart}, At: at(100)})
	got, stands := p.Resolve(pending)
	test.True(t, stands)
	test.Eq(t, []ident.PartID{badPart}, got.Parts, test.Sprint("the other part has ended well since"))
	test.Zero(t, p.PendingLen())

	pending = p.Await(s)
	p.EndWell(strik.Proof{Parts: []ident.PartID{d.Part()}, At: at(300)})
	_, stands = p.Resolve(pending)
	test.False(t, stands)
}

// Guards against a bar that is dropped for states of less weight once the table is full.
func TestFullTableKeepsWhatIsBarred(t *testing.T) {
	p := newRequests()
	const d strik.Digest = 1 << 40
	for i := range 3 {
		p.Add(crashOf(d, i*300, i*300+200))
	}
	for i := range 10_000 {
		p.Add(crashOf(d+1+strik.Digest(i), 1000, 1200))
	}
	test.Eq(t, 4096, p.Len())
	test.SliceLen(t, 1, barred(p, d.Part()))
}

// Guards against BUDGET: trials of a request that does crash endpoints reached them too often.
func TestTrialsOfARequest(t *testing.T) {
	const d strik.Digest = 1 << 40
	p := newRequests()
	for i := range 3 {
		p.Add(crashOf(d, i*300, i*300+200))
	}
	var trials []time.Duration
	for now := at(800); now.Before(at(800).Add(time.Hour)); now = now.Add(100 * time.Millisecond) {
		if _, due := p.Check([]ident.PartID{d.Part()}); !now.Before(due) {
			trials = append(trials, now.Sub(at(800)).Round(time.Second))
			p.Add(strik.Strike{Digest: d, At: now, Took: 50 * time.Millisecond, Trial: true})
		}
	}
	test.Eq(t, []time.Duration{8 * time.Second, 136 * time.Second, 2184 * time.Second}, trials)
}

// Guards against a fourth endpoint that a request crashes while the causes of the first three breaks are
// looked for, and against retries that wait for the cause of one crash.
func TestStrikesWithoutACauseMayBar(t *testing.T) {
	const d strik.Digest = 1 << 40
	parts := []ident.PartID{d.Part()}
	strikeAt := func(e ident.EndpointName, sentMS int) strik.Strike {
		s := crashOf(d, sentMS, sentMS+200)
		s.Endpoint = e
		return s
	}
	p := newRequests()
	p.Add(strikeAt("a", 0))
	first := p.Await(strikeAt("b", 300))
	test.False(t, p.MayBar(parts))
	p.Await(strikeAt("b", 310))
	test.False(t, p.MayBar(parts), test.Sprint("one endpoint"))
	second := p.Await(strikeAt("c", 600))
	test.True(t, p.MayBar(parts))
	test.False(t, p.MayBar([]ident.PartID{rarePart}))
	p.Resolve(second)
	test.False(t, p.MayBar(parts))
	p.Resolve(first)
	test.False(t, p.MayBar(parts))
}
