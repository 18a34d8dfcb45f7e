package memory

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against answers of sound endpoints that end since a faulty one has taken the memory.
func TestLargestAnswerOfTheLargestEndpointEnds(t *testing.T) {
	b := &Budget{Limit: 10 * FreeBytes}
	var ended []string
	open := func(endpoint ident.EndpointName, name string, n int64) *Account {
		a := b.Open(endpoint, func() { ended = append(ended, name) })
		must.NoError(t, a.Take(n))
		return a
	}
	sound := open("sound", "sound", 3*FreeBytes)
	first := open("faulty", "first", 2*FreeBytes)
	second := open("faulty", "second", 4*FreeBytes)
	small := open("other", "small", FreeBytes)
	test.SliceEmpty(t, ended)
	test.Eq(t, 10*FreeBytes, b.Held())
	must.NoError(t, sound.Take(FreeBytes))
	test.Eq(t, []string{"second"}, ended)
	test.ErrorIs(t, second.Take(1), ErrExceeded)
	test.ErrorIs(t, second.Keep(), ErrExceeded)
	must.NoError(t, sound.Keep())
	test.ErrorIs(t, first.Take(8*FreeBytes), ErrExceeded)
	test.Eq(t, 5*FreeBytes, b.Held())
	must.NoError(t, small.Take(0))
	for _, a := range []*Account{sound, first, second, small} {
		a.Close()
		a.Close()
	}
	test.Eq(t, 0, b.Held())
	test.MapEmpty(t, b.owners)
}

// Guards against a bound that is exceeded by more than the answers that are small or kept, and
// against small or kept answers that end.
func TestBudgetIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Limit: rapid.Int64Range(1, 20*FreeBytes).Draw(t, "limit")}
		endpoints := []ident.EndpointName{"a", "b", "c"}
		type entry struct {
			account         *Account
			isKept, isEnded bool
			held            int64
		}
		var entries []*entry
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				e := &entry{}
				e.account = b.Open(rapid.SampledFrom(endpoints).Draw(t, "endpoint"), func() { e.isEnded = true })
				entries = append(entries, e)
			},
			"take": func(t *rapid.T) {
				if len(entries) == 0 {
					t.Skip()
				}
				e := rapid.SampledFrom(entries).Draw(t, "entry")
				n := rapid.Int64Range(0, 6*FreeBytes).Draw(t, "bytes")
				if err := e.account.Take(n); err != nil {
					if !e.isEnded && (e.isKept || e.held+n <= FreeBytes) {
						t.Fatalf("a small or kept answer ended")
					}
					e.isEnded = true
					return
				}
				e.held += n
			},
			"keep": func(t *rapid.T) {
				if len(entries) == 0 {
					t.Skip()
				}
				e := rapid.SampledFrom(entries).Draw(t, "entry")
				e.isKept = e.account.Keep() == nil
			},
			"close": func(t *rapid.T) {
				if len(entries) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
				entries[i].account.Close()
				entries = append(entries[:i], entries[i+1:]...)
			},
			"": func(t *rapid.T) {
				var held, exempt int64
				for _, e := range entries {
					if e.isEnded {
						continue
					}
					held += e.held
					if e.isKept || e.held <= FreeBytes {
						exempt += e.held
					}
				}
				if held != b.Held() {
					t.Fatalf("held %d, want %d", b.Held(), held)
				}
				if held > b.Limit && held > exempt {
					t.Fatalf("%d bytes held, %d of them of small and kept answers; the limit is %d", held, exempt, b.Limit)
				}
			},
		})
	})
}

func TestCounter(t *testing.T) {
	var c Counter
	test.True(t, c.Reserve(6, 10))
	test.False(t, c.Reserve(5, 10))
	test.True(t, c.Reserve(4, 10))
	c.Release(6)
	test.True(t, c.Reserve(6, 10))
	test.Eq(t, 10, c.Used())
}
