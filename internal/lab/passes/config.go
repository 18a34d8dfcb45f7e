package passes

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/place"
	"laburnumstack.org/laburnum/internal/state/topol"
)

// Kind describes prompts of similar size and with the same time limits. The numbers
// of prompt tokens and of answer events are drawn from log-normal distributions.
type Kind struct {
	Name string
	// Rate is the number of prompts per second.
	Rate float64
	// MeanTokens is the mean number of prompt tokens before the limit MaxTokens
	// is applied, TokenSigma the standard deviation of the number's logarithm.
	// MeanEvents, MaxEvents and EventSigma are the same for the events of the
	// answer.
	MeanTokens, MaxTokens float64
	TokenSigma            float64
	MeanEvents            float64
	MaxEvents             float64
	EventSigma            float64
	// Target is the maximum time from the arrival to the first event, Gap the
	// maximum pause between two events. An answer that exceeds either is late.
	Target, Gap time.Duration
	// Deadline is the maximum time from the arrival to the last event. An answer
	// that exceeds it has failed, as has one with a pause of more than eight times
	// Gap and more than two seconds.
	Deadline time.Duration
	// Credit is the score of an answer in time, LateCredit that of a late one, in
	// the same arbitrary unit for all kinds. Both are multiplied by the prompt's
	// creditWeight.
	Credit, LateCredit float64
}

// Phase is a period of a workload. RateFactors holds a factor on the rate of each
// kind, in the order of Config.Kinds.
type Phase struct {
	Duration    time.Duration
	RateFactors []float64
}

// Config describes one simulation.
type Config struct {
	// Engine holds the slots, the memory and the speeds of each engine.
	Engine      *topol.Engine
	EngineCount int
	NodeCount   int
	// UpdateDelay is the time until a node receives another node's updates about
	// its requests.
	UpdateDelay time.Duration
	Kinds       []Kind
	Phases      []Phase
	Seed        uint64
	// Choose is the placement policy: it chooses the engines of a prompt. If it
	// returns an error, the prompt is refused.
	Choose func(place.ServiceState, place.Request) (place.Choice, error)
}
