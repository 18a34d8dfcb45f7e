package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestEndpointHealth(t *testing.T) {
	var h endpointHealth
	now := time.Unix(100, 0)
	test.False(t, h.isAvoided("a", now))
	test.True(t, h.recordFailure("a", now))
	test.False(t, h.recordFailure("a", now.Add(time.Millisecond)), test.Sprint("a failure of an avoided endpoint doesn't count"))
	test.True(t, h.isAvoided("a", now.Add(minAvoidTime-1)))

	// After the avoidance, one request tries the endpoint.
	now = now.Add(minAvoidTime)
	test.False(t, h.isAvoided("a", now))
	test.True(t, h.isSuspect("a", now))
	h.recordChosen("a", now)
	test.True(t, h.isAvoided("a", now.Add(trialInterval-1)))
	test.False(t, h.isAvoided("a", now.Add(trialInterval)))

	// A second failure doubles the avoidance, and a success ends it.
	now = now.Add(trialInterval)
	test.True(t, h.recordFailure("a", now))
	test.True(t, h.isAvoided("a", now.Add(2*minAvoidTime-1)))
	h.recordSuccess("a")
	test.False(t, h.isAvoided("a", now))
	test.False(t, h.isSuspect("a", now))
	h.recordChosen("b", now)
	test.False(t, h.isAvoided("b", now))
}
