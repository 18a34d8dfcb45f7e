package serve

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/pkg/ident"
)

// newStrikePeers returns the Strikes of nodes that tell each other of trials.
func newStrikePeers(names ...ident.NodeName) []*Strikes {
	var all []*Strikes
	for _, n := range names {
		shareTrial := func(tr strik.Trial) {
			for _, o := range all {
				if o.Node != n {
					o.MergeTrials([]strik.Trial{tr})
				}
			}
		}
		all = append(all, NewStrikes(n, func([]strik.Strike) {}, func(strik.Proof) {}, shareTrial))
	}
	return all
}

// Guards against a message that is barred until its hour ends, since no prompt with it reaches the first
// node of the own interface, and against trials of several nodes at one time.
func TestAnyNodeOfTheOwnInterfaceSendsATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ss := newStrikePeers("n1", "n2", "n3")
		barred := []ident.PartID{7}
		due := time.Now()
		test.Nil(t, ss[2].StartTrial(barred, due, 2), test.Sprint("before its turn"))
		time.Sleep(strik.TurnDelay(2))
		trial := ss[2].StartTrial(barred, due, 2)
		test.NotNil(t, trial)
		test.Nil(t, ss[1].StartTrial(barred, due, 1), test.Sprint("another node's trial is under way"))
		ss[2].EndTrial(trial)
		time.Sleep(strik.AnnounceTime)
		test.NotNil(t, ss[1].StartTrial(barred, due, 1))
	})
}
