package conns

import (
	"testing"

	"github.com/shoenig/test"
)

// closer counts its closes.
type closer struct {
	name   string
	closed int
}

func (c *closer) Close() error {
	c.closed++
	return nil
}

func TestIdleTakesTheLastThatIsUsable(t *testing.T) {
	a, b, c, d := &closer{name: "a"}, &closer{name: "b"}, &closer{name: "c"}, &closer{name: "d"}
	var i IdleList[*closer]
	for _, x := range []*closer{a, b, c, d} {
		i.Put(x, 3)
	}
	test.Eq(t, 1, d.closed, test.Sprint("no more than three are kept"))
	got, ok := i.Take(func(x *closer) bool { return x != c })
	test.True(t, ok)
	test.Eq(t, "b", got.name)
	test.Eq(t, 1, c.closed)
	i.Prune(func(*closer) bool { return false })
	test.Eq(t, 1, a.closed)
	_, ok = i.Take(func(*closer) bool { return true })
	test.False(t, ok)
	i.Put(b, 3)
	i.CloseAll()
	test.Eq(t, 1, b.closed)
}
