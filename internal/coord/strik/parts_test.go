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
	p := strik.NewParts()
	for i := range 6 {
		p.Add(crash(0, 500+i, commonPart, rarePart))
	}
	test.SliceEmpty(t, barred(p, commonPart, rarePart))
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

	test.True(t, p.StartTrial([]ident.PartID{rarePart}))
	test.False(t, p.StartTrial([]ident.PartID{badPart, rarePart}), test.Sprint("one trial at a time"))
	test.Eq(t, []ident.PartID{rarePart}, p.EndWell(strik.Proof{Parts: []ident.PartID{rarePart}, At: at(2000)}))
	p.EndTrial([]ident.PartID{rarePart})
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
	for _, s := range p.Suspects() {
		q.Merge(s)
	}
	test.Eq(t, []ident.PartID{badPart}, barred(q, badPart))
	q.EndWell(strik.Proof{Parts: []ident.PartID{badPart}, At: at(5000)})
	for _, s := range p.Suspects() {
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
