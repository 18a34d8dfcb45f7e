package conns

import (
	"testing"

	"github.com/shoenig/test"
)

// closer counts the calls of Close.
type closer struct {
	name   string
	closed int
}

func (c *closer) Close() error {
	c.closed++
	return nil
}

func TestIdleListTakesTheLastUsable(t *testing.T) {
	a, b, c, d := &closer{name: "a"}, &closer{name: "b"}, &closer{name: "c"}, &closer{name: "d"}
	var list IdleList[*closer]
	for _, cn := range []*closer{a, b, c, d} {
		list.Put(cn, 3)
	}
	test.Eq(t, 1, d.closed, test.Sprint("Put closes the connection at the limit"))
	got, ok := list.Take(func(cn *closer) bool { return cn != c })
	test.True(t, ok)
	test.Eq(t, "b", got.name)
	test.Eq(t, 1, c.closed)
	list.Prune(func(*closer) bool { return false })
	test.Eq(t, 1, a.closed)
	_, ok = list.Take(func(*closer) bool { return true })
	test.False(t, ok)
	list.Put(b, 3)
	list.CloseAll()
	test.Eq(t, 1, b.closed)
}
