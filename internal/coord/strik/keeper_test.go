package strik

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against two trials of a part at once: the one that loses ends, here and at the others.
func TestTrialThatLosesIsEndedEverywhere(t *testing.T) {
	cases := []struct {
		name  string
		other ident.NodeName
		want  bool
	}{
		{"no other", "", true},
		{"other comes first", "a", false},
		{"other comes later", "c", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := &Keeper{}
			tr := Trial{Node: "b", Parts: []ident.PartID{1}, At: time.Now()}
			var announced []bool
			started := k.StartTrial(tr, func(ident.NodeName) bool { return true }, func(tr Trial) {
				announced = append(announced, tr.Ended)
				if c.other != "" && !tr.Ended {
					k.RecordTrials([]Trial{{Node: c.other, Parts: tr.Parts, At: tr.At}})
				}
			})
			must.Eq(t, c.want, started)
			if c.want {
				test.Eq(t, []bool{false}, announced)
			} else {
				test.Eq(t, []bool{false, true}, announced)
			}
		})
	}
}
