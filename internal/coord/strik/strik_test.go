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
	test.Eq(t, 3, tab.Count(1, now.Add(6*time.Second)))
	test.Eq(t, 0, tab.Count(2, now))
	test.Len(t, 1, tab.Recent(now.Add(time.Second)))
	tab.Expire(now.Add(time.Hour))
	test.Eq(t, 0, tab.Count(1, now))
	tab.Add(strik.Strike{Digest: 1, Endpoint: "a", At: now})
	tab.Clear(1)
	test.Eq(t, 0, tab.Count(1, now))
}
