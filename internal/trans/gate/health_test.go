package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestHealth(t *testing.T) {
	var h health
	now := time.Unix(100, 0)
	test.False(t, h.avoid("a", now))
	test.True(t, h.failed("a", now))
	test.False(t, h.failed("a", now.Add(time.Millisecond)), test.Sprint("one failure counts once"))
	test.True(t, h.avoid("a", now.Add(avoidFirst-1)))

	// After its time out, one request tries the endpoint.
	now = now.Add(avoidFirst)
	test.False(t, h.avoid("a", now))
	test.True(t, h.suspect("a", now))
	h.chosen("a", now)
	test.True(t, h.avoid("a", now.Add(trialEvery-1)))
	test.False(t, h.avoid("a", now.Add(trialEvery)))

	// A second failure counts for longer, an answer ends all.
	now = now.Add(trialEvery)
	test.True(t, h.failed("a", now))
	test.True(t, h.avoid("a", now.Add(2*avoidFirst-1)))
	h.worked("a")
	test.False(t, h.avoid("a", now))
	test.False(t, h.suspect("a", now))
	h.chosen("b", now)
	test.False(t, h.avoid("b", now))
}
