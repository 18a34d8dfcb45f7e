package passes

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/topol"
)

// UserEngine returns the slots, the memory and the speeds of the users' engines.
func UserEngine() *topol.Engine {
	return &topol.Engine{
		Slots: 16, Memory: 315_000, DecodeSteps: 51, PrefillChunk: 2048, PrefillRate: 177_000,
		StepTime: 850 * time.Microsecond, PerSequence: 4250, PerThousandContext: 2850,
		PerMillionPairs: 184 * time.Microsecond, HopDelay: 50 * time.Microsecond,
	}
}

// userKinds returns the kinds of the users' prompts. The rates are those of all
// data centres together.
func userKinds() []Kind {
	return []Kind{
		{Name: "5k", Rate: 47, Tokens: 4960, MaxTokens: 23_800, TokenSigma: 0.9, Events: 32.9, MaxEvents: 82, EventSigma: 0.7,
			Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Deadline: 10 * time.Second, Credit: 1.3, LateCredit: 0.33},
		{Name: "45k", Rate: 2.39, Tokens: 45_000, MaxTokens: 110_000, TokenSigma: 0.5, Events: 19.7, MaxEvents: 49, EventSigma: 0.6,
			Target: 1500 * time.Millisecond, Gap: 600 * time.Millisecond, Deadline: 10 * time.Second, Credit: 4.2, LateCredit: 1},
		{Name: "154k", Rate: 1.44, Tokens: 154_000, MaxTokens: 700_000, TokenSigma: 0.55, Events: 16.5, MaxEvents: 41, EventSigma: 0.5,
			Target: 3 * time.Second, Gap: time.Second, Deadline: 15 * time.Second, Credit: 21, LateCredit: 5.2},
	}
}

// UserWorkload returns the configuration of a simulation of the users' deployment
// with the bursts that they see: many short prompts and many long ones in turn.
func UserWorkload(seed uint64) Config {
	const burst = 9500 * time.Millisecond
	long := Phase{Duration: burst, Rates: []float64{0.35, 1.3, 2.8}}
	short := Phase{Duration: burst, Rates: []float64{2.45, 0.5, 0.05}}
	usual := Phase{Duration: 2 * time.Second, Rates: []float64{1, 1, 1}}
	return Config{
		Engine: UserEngine(), Engines: 23, Nodes: 7, Delay: 8 * time.Millisecond, Kinds: userKinds(),
		Phases: []Phase{usual, long, usual, short, long, usual, usual, usual}, Seed: seed, Choose: place.Choose,
	}
}

// LargeWorkload returns the configuration of the same bursts on the users'
// deployment after it has grown: more and smaller engines, longer prompts, many
// nodes.
func LargeWorkload(seed uint64) Config {
	w := UserWorkload(seed)
	w.Engine.Slots, w.Engine.Memory, w.Engine.DecodeSteps = 12, 267_750, 57
	w.Engines, w.Nodes = 78, 86
	k := w.Kinds
	k[0].Rate, k[0].Events, k[0].MaxEvents = 126, 31.7, 79
	k[1].Rate, k[1].Events, k[1].MaxEvents, k[1].Credit, k[1].LateCredit = 7.97, 19, 48, 3.5, 0.88
	k[2].Name, k[2].Rate, k[2].Tokens, k[2].Events, k[2].MaxEvents = "220k", 3.41, 220_000, 15.9, 40
	k[2].Target, k[2].Credit, k[2].LateCredit = 4*time.Second, 29, 7.4
	return w
}

// LeastRequests is a baseline for Config.Choose: each prompt goes to the engine
// with the fewest requests, and prompts are not split.
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
