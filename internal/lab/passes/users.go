package passes

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/topol"
)

// UserEngine has the speeds of the users' engines.
func UserEngine() *topol.Engine {
	return &topol.Engine{
		Slots: 16, Memory: 315_000, DecodeSteps: 51, PrefillChunk: 2048, PrefillRate: 177_000,
		StepTime: 850 * time.Microsecond, PerSequence: 4250, PerThousandContext: 2850,
		PerMillionPairs: 184 * time.Microsecond, HopDelay: 50 * time.Microsecond,
	}
}

// userKinds are the users' prompts, at a rate of all data centres.
func userKinds() []Kind {
	return []Kind{
		{Name: "5k", Rate: 47, Tokens: 4960, Max: 23_800, Spread: 0.9, Events: 32.9, MaxEvents: 82, EventSpread: 0.7,
			Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Deadline: 10 * time.Second, Worth: 1.3, Late: 0.33},
		{Name: "45k", Rate: 2.39, Tokens: 45_000, Max: 110_000, Spread: 0.5, Events: 19.7, MaxEvents: 49, EventSpread: 0.6,
			Target: 1500 * time.Millisecond, Gap: 600 * time.Millisecond, Deadline: 10 * time.Second, Worth: 4.2, Late: 1},
		{Name: "154k", Rate: 1.44, Tokens: 154_000, Max: 700_000, Spread: 0.55, Events: 16.5, MaxEvents: 41, EventSpread: 0.5,
			Target: 3 * time.Second, Gap: time.Second, Deadline: 15 * time.Second, Worth: 21, Late: 5.2},
	}
}

// UserDay is a day of bursts as the users see them: many short prompts and many
// long ones in turn.
func UserDay(seed uint64) Config {
	const burst = 9500 * time.Millisecond
	long := Phase{For: burst, Rates: []float64{0.35, 1.3, 2.8}}
	short := Phase{For: burst, Rates: []float64{2.45, 0.5, 0.05}}
	plain := Phase{For: 2 * time.Second, Rates: []float64{1, 1, 1}}
	return Config{
		Engine: UserEngine(), Engines: 23, Nodes: 7, Delay: 8 * time.Millisecond, Kinds: userKinds(),
		Phases: []Phase{plain, long, plain, short, long, plain, plain, plain}, Seed: seed, Choose: place.Choose,
	}
}

// LargeDay is such a day on a deployment of the users that has grown: more and
// smaller engines, longer prompts, many nodes.
func LargeDay(seed uint64) Config {
	day := UserDay(seed)
	day.Engine.Slots, day.Engine.Memory, day.Engine.DecodeSteps = 12, 267_750, 57
	day.Engines, day.Nodes = 78, 86
	k := day.Kinds
	k[0].Rate, k[0].Events, k[0].MaxEvents = 126, 31.7, 79
	k[1].Rate, k[1].Events, k[1].MaxEvents, k[1].Worth, k[1].Late = 7.97, 19, 48, 3.5, 0.88
	k[2].Name, k[2].Rate, k[2].Tokens, k[2].Events, k[2].MaxEvents = "220k", 3.41, 220_000, 15.9, 40
	k[2].Target, k[2].Worth, k[2].Late = 4*time.Second, 29, 7.4
	return day
}

// Alone is a baseline: each prompt goes to the engine with the fewest requests,
// and no engine helps another.
func Alone(s place.ServiceState, r place.Request) (place.Choice, error) {
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
