package topol

import (
	"testing"

	"github.com/shoenig/test"
)

// Guards against processes that end by a kind of route that only nodes of a later build
// know: its name is looked up for metrics.
func TestUnknownKindsAreInvalid(t *testing.T) {
	for _, k := range []Kind{-1, Stream + 1, 1 << 40} {
		c := &Catalog{}
		c.Add(&Route{Name: "r", Kind: k})
		test.ErrorIs(t, c.Validate(), ErrInvalid)
	}
	c := &Catalog{}
	c.Add(&Route{Name: "r", Kind: Stream})
	test.NoError(t, c.Validate())
}
