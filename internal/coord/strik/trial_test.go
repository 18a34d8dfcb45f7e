package strik_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

func trialOf(n ident.NodeName, startedMS int, ps ...ident.PartID) strik.Trial {
	return strik.Trial{Node: n, Parts: ps, At: at(startedMS)}
}

// Guards against trials of several nodes at one time, and against a part whose trial is left to a
// node that has died or doesn't tell its end.
func TestOneTrialAtATime(t *testing.T) {
	ended, justEnded := trialOf("n2", -50, badPart), trialOf("n2", -49, badPart)
	ended.Ended, justEnded.Ended = true, true
	cases := []struct {
		name  string
		known []strik.Trial
		dead  ident.NodeName
		want  bool
	}{
		{"none", nil, "", true},
		{"own", []strik.Trial{trialOf("n1", 0, badPart)}, "", false},
		{"of a peer", []strik.Trial{trialOf("n2", 0, badPart)}, "", false},
		{"of another part", []strik.Trial{trialOf("n2", 0, commonPart)}, "", true},
		{"of two parts", []strik.Trial{trialOf("n2", 0, rarePart, badPart)}, "", false},
		{"of a dead peer", []strik.Trial{trialOf("n2", 0, badPart)}, "n2", true},
		{"ended", []strik.Trial{trialOf("n2", -100, badPart), ended}, "", true},
		{"ended, its outcome may be under way", []strik.Trial{trialOf("n2", -100, badPart), justEnded}, "", false},
		{"next one of a higher name", []strik.Trial{trialOf("n2", -100, badPart), ended, trialOf("n3", 0, badPart)}, "", false},
		{"end of another one", []strik.Trial{trialOf("n3", 0, badPart), ended}, "", false},
		{"end not told", []strik.Trial{trialOf("n2", -20_000, badPart)}, "", true},
	}
	for _, c := range cases {
		p := strik.NewParts()
		for _, tr := range c.known {
			p.RecordTrial(tr)
		}
		got := p.StartTrial(trialOf("n1", 0, badPart, rarePart), func(n ident.NodeName) bool { return n != c.dead })
		test.Eq(t, c.want, got, test.Sprint(c.name))
	}
}

func TestTrialThatEndedIsFollowedByAnother(t *testing.T) {
	alive := func(ident.NodeName) bool { return true }
	p := strik.NewParts()
	first := trialOf("n1", 0, badPart)
	test.True(t, p.StartTrial(first, alive))
	test.False(t, p.StartTrial(trialOf("n1", 10, badPart), alive))
	p.EndTrial(first)
	test.True(t, p.StartTrial(trialOf("n1", 10, badPart), alive))
	p.Expire(at(30_000))
	test.True(t, p.StartTrial(trialOf("n1", 30_000, badPart), alive))
}

// Guards against CONFIG: a part is never tried if no request with it reaches the first node. Each node
// has its turn, in a bounded time in large fleets too.
func TestEachNodeHasATurn(t *testing.T) {
	test.Zero(t, strik.TurnDelay(0))
	for rank := range 320 {
		test.LessEq(t, 3*time.Second, strik.TurnDelay(rank))
		test.True(t, strik.TurnDelay(rank+1) > strik.TurnDelay(rank) || rank >= 30)
	}
}

// Guards against BUDGET: two nodes whose requests arrive at the same moment send a trial each.
func TestOneOfTwoTrialsIsSent(t *testing.T) {
	alive := func(ident.NodeName) bool { return true }
	trials := []strik.Trial{trialOf("n1", 0, badPart, rarePart), trialOf("n2", 3, badPart)}
	sent := 0
	for i, own := range trials {
		p := strik.NewParts()
		test.True(t, p.StartTrial(own, alive))
		p.RecordTrial(trials[1-i])
		if p.HoldsTrial(own) {
			sent++
		}
	}
	test.Eq(t, 1, sent)
}
