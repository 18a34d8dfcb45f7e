package jumps

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

func TestStepMovesTheTimeOfDayAlone(t *testing.T) {
	now := time.Now()
	for _, s := range []int{2, -2, 86400} {
		stepped := Step(now, s)
		test.Eq(t, time.Duration(s)*time.Second, time.Duration(stepped.UnixNano()-now.UnixNano()))
		test.Eq(t, 0, stepped.Sub(now))
		test.True(t, stepped.Equal(now))
	}
}
