package strik_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/strik"
)

func TestTable(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tab := strik.New()
	test.True(t, tab.Add(strik.Strike{Digest: 1, Endpoint: "a", At: now}))
	test.False(t, tab.Add(strik.Strike{Digest: 1, Endpoint: "a", At: now.Add(500 * time.Millisecond)}))
	test.True(t, tab.Add(strik.Strike{Digest: 1, Endpoint: "b", At: now}))
	test.True(t, tab.Add(strik.Strike{Digest: 1, Endpoint: "a", At: now.Add(5 * time.Second)}))
	test.Eq(t, strik.Count{All: 3}, tab.Count(1, now.Add(6*time.Second)))
	test.Eq(t, strik.Count{}, tab.Count(2, now))
	test.Len(t, 1, tab.Recent(now.Add(time.Second)))
	tab.Expire(now.Add(time.Hour))
	test.Eq(t, strik.Count{}, tab.Count(1, now))
	tab.Add(strik.Strike{Digest: 1, Endpoint: "a", At: now})
	tab.Clear(1)
	test.Eq(t, strik.Count{}, tab.Count(1, now))
}

func TestExceeds(t *testing.T) {
	cases := []struct {
		name  string
		count strik.Count
		want  bool
	}{
		{"no strikes", strik.Count{}, false},
		{"one strike, not apart", strik.Count{All: 1}, false},
		{"two strikes, one apart", strik.Count{All: 2, Apart: 1}, false},
		{"three strikes, two apart", strik.Count{All: 3, Apart: 2}, true},
		{"five strikes, one apart", strik.Count{All: 5, Apart: 1}, false},
		{"six strikes, none apart", strik.Count{All: 6}, true},
	}
	for _, c := range cases {
		test.Eq(t, c.want, c.count.Exceeds(3), test.Sprint(c.name))
	}
}
