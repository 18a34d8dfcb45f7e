package passes

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/topol"
)

// UserEngine returns the slots, the memory and the speeds of the engines in the
// users' deployment. Durations without a unit are in nanoseconds.
func UserEngine() *topol.Engine {
	return &topol.Engine{
		Slots: 16, Memory: 315_000, DecodeSteps: 51, PrefillChunk: 2048, PrefillRate: 177_000,
		StepTime: 850 * time.Microsecond, PerSequence: 4250, PerThousandContext: 2850,
		PerMillionPairs: 184 * time.Microsecond, HopDelay: 50 * time.Microsecond,
	}
}

// userKinds returns the kinds of the users' prompts. The rates are the totals of
// all data centres.
func userKinds() []Kind {
	return []Kind{
		{Name: "5k", Rate: 47, MeanTokens: 4960, MaxTokens: 23_800, TokenSigma: 0.9, MeanEvents: 32.9, MaxEvents: 82, EventSigma: 0.7,
			Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Deadline: 10 * time.Second, Credit: 1.3, LateCredit: 0.33},
		{Name: "45k", Rate: 2.39, MeanTokens: 45_000, MaxTokens: 110_000, TokenSigma: 0.5, MeanEvents: 19.7, MaxEvents: 49, EventSigma: 0.6,
			Target: 1500 * time.Millisecond, Gap: 600 * time.Millisecond, Deadline: 10 * time.Second, Credit: 4.2, LateCredit: 1},
		{Name: "154k", Rate: 1.44, MeanTokens: 154_000, MaxTokens: 700_000, TokenSigma: 0.55, MeanEvents: 16.5, MaxEvents: 41, EventSigma: 0.5,
			Target: 3 * time.Second, Gap: time.Second, Deadline: 15 * time.Second, Credit: 21, LateCredit: 5.2},
	}
}

// UserWorkload returns the configuration of a simulation of the users' deployment:
// bursts of long and of short prompts between periods at the usual rates.
func UserWorkload(seed uint64) Config {
	const burst = 9500 * time.Millisecond
	long := Phase{Duration: burst, RateFactors: []float64{0.35, 1.3, 2.8}}
	short := Phase{Duration: burst, RateFactors: []float64{2.45, 0.5, 0.05}}
	usual := Phase{Duration: 2 * time.Second, RateFactors: []float64{1, 1, 1}}
	return Config{
		Engine: UserEngine(), EngineCount: 23, NodeCount: 7, UpdateDelay: 8 * time.Millisecond, Kinds: userKinds(),
		Phases: []Phase{usual, long, usual, short, long, usual, usual, usual}, Seed: seed, Choose: place.Choose,
	}
}

// LargeWorkload returns UserWorkload with the same bursts for the users' deployment
// after it has grown: more engines with less memory, more nodes, higher rates and
// longer long prompts.
func LargeWorkload(seed uint64) Config {
	w := UserWorkload(seed)
	w.Engine.Slots, w.Engine.Memory, w.Engine.DecodeSteps = 12, 267_750, 57
	w.EngineCount, w.NodeCount = 78, 86
	k := w.Kinds
	k[0].Rate, k[0].MeanEvents, k[0].MaxEvents = 126, 31.7, 79
	k[1].Rate, k[1].MeanEvents, k[1].MaxEvents, k[1].Credit, k[1].LateCredit = 7.97, 19, 48, 3.5, 0.88
	k[2].Name, k[2].Rate, k[2].MeanTokens, k[2].MeanEvents, k[2].MaxEvents = "220k", 3.41, 220_000, 15.9, 40
	k[2].Target, k[2].Credit, k[2].LateCredit = 4*time.Second, 29, 7.4
	return w
}

// LeastRequests is a placement policy for comparison: each prompt goes undivided to
// the engine with the fewest requests. A prompt that is larger than an engine's
// memory is refused.
func LeastRequests(s place.ServiceState, r place.Request) (place.Choice, error) {
	count := map[string]int{}
	for _, w := range s.InFlight {
		count[string(w.First)]++
	}
	var best *topol.Endpoint
	for _, e := range s.Endpoints {
		if best == nil || count[string(e.Name)] < count[string(best.Name)] {
			best = e
		}
	}
	if r.Prompt > s.Engine.Memory {
		return place.Choice{}, place.ErrTooLarge
	}
	return place.Choice{Primary: best}, nil
}
