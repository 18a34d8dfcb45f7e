package share

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/coord/avail"
	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/works"
	"laburnumstack.org/laburnum/pkg/ident"
)

// receiver holds the state that a node builds from the updates of others.
type receiver struct {
	limits  quota.Table
	avail   avail.Table
	strikes *strik.Table
	parts   *strik.Parts
	sizes   bysize.Table
}

func (r *receiver) mesh(ctx context.Context) *Mesh {
	m := &Mesh{
		Self: relay.Member{Name: "self"}, InFlight: &works.Table{}, Logger: zerolog.Nop(),
		OnFailed: func([]ident.EndpointName) {},
		OnStruck: func(ss []strik.Strike) {
			for _, s := range ss {
				r.strikes.Add(s)
				r.parts.Add(s)
			}
		},
		OnProofs: func(ps []strik.Proof) {
			for _, p := range ps {
				r.parts.EndWell(p)
			}
		},
		OnPartStates: func(ps []strik.PartState) {
			for _, p := range ps {
				r.parts.Merge(p)
			}
		},
		OnTrials: func(ts []strik.Trial) {
			for _, tr := range ts {
				r.parts.RecordTrial(tr)
			}
		},
		OnLimits: func(ls []quota.Limit) {
			for _, l := range ls {
				r.limits.Record(l, time.Now())
			}
		},
		OnAvailability: func(ss []avail.State) {
			for _, s := range ss {
				r.avail.Record(s)
			}
		},
		OnRests: func(rs []avail.Rest) {
			for _, rest := range rs {
				r.avail.RecordRest(rest, time.Now())
			}
		},
		OnDecisions: func(ds []bysize.Decision) {
			for _, d := range ds {
				r.sizes.Record(d)
			}
		},
	}
	m.Init(ctx)
	return m
}

func drawInt(t *rapid.T, label string) int64 {
	return rapid.OneOf(rapid.SampledFrom([]int64{math.MinInt64, -1, 0, 1, math.MaxInt64}), rapid.Int64()).Draw(t, label)
}

// Guards against numbers of one node that end the processes of the others, or make them
// wait for a negative time.
func TestOddUpdatesOfAPeer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rapid.Check(t, func(t *rapid.T) {
		r := &receiver{strikes: strik.New(), parts: strik.NewParts()}
		r.limits.Share = func(_ quota.Key, rate float64) float64 { return rate }
		m := r.mesh(ctx)
		age := time.Duration(drawInt(t, "age"))
		k := quota.Key{Endpoint: "e", Born: drawInt(t, "born")}
		tokens := ident.Tokens(drawInt(t, "tokens"))
		rate := rapid.Float64Range(0, math.MaxFloat64).Draw(t, "rate")
		parts := []ident.PartID{1, 2}
		u := relay.Update{
			Reset: rapid.Bool().Draw(t, "reset"),
			Began: []relay.AgedRequest{{Work: works.Request{Node: "n", First: "e", Prompt: tokens, Output: tokens, Gap: age, Target: age}, Age: age}},
			Wrote: []works.ID{0, math.MaxUint64}, Done: []works.ID{7},
			Struck:  []relay.AgedStrike{{Strike: strik.Strike{Endpoint: "e", Parts: parts, Took: age}, Age: age}},
			Proofs:  []relay.AgedProof{{Proof: strik.Proof{Parts: parts}, Age: age}},
			Trials:  []relay.AgedTrial{{Trial: strik.Trial{Node: "n", Parts: parts}, Age: age}},
			Parts:   []relay.AgedPart{{State: strik.PartState{Part: 1, Strikes: int(drawInt(t, "strikes")), FailedTrials: int(drawInt(t, "failed trials"))}, Age: age, EndedWell: true, EndedWellAge: age}},
			Limits:  []relay.AgedLimit{{Limit: quota.Limit{Key: k, Rate: rate}, Age: age}},
			Stated:  []relay.StatedAvailability{{State: avail.State{Key: k, Leaving: true}}},
			Rests:   []relay.RestLeft{{Rest: avail.Rest{Key: k, Node: "n"}, Left: age}},
			Decided: []relay.AgedDecision{{Decision: bysize.Decision{Route: "r", Prompt: tokens, Request: bysize.RequestKey(drawInt(t, "request"))}, Age: age}},
		}
		var reply relay.UpdateReply
		must.NoError(t, (&service{m}).Tell(u, &reply))
		now := time.Now()
		wait, _ := r.limits.Wait(k, now)
		must.GreaterEq(t, 0, wait)
		must.GreaterEq(t, 0, r.avail.RestFor(k, "n", now))
		must.Positive(t, r.sizes.Favour("r", tokens, now))
		m.InFlight.All()
		r.strikes.Recent(now)
		r.parts.Check(parts)
		r.parts.Expire(now)
		r.limits.Refresh(now, func(quota.Key) bool { return true })
		r.avail.Expire(now, func(quota.Key) bool { return true })
		r.sizes.Expire(now)
	})
}
