package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// largeCatalog returns a catalog with routes whose names, hosts and prefixes are
// random.
func largeCatalog(routes int) *topol.Catalog {
	r := rand.New(rand.NewPCG(1, 2))
	word := func() string { return fmt.Sprintf("%x", r.Uint32()) }
	c := &topol.Catalog{Version: 7, Services: map[ident.ServiceName]*topol.Service{"s": {Name: "s"}}, Limits: topol.Limits{MaxHeaderBytes: 1 << 14}}
	for range routes {
		c.Add(&topol.Route{
			Name: ident.RouteName("r-" + word()), Host: word()[:4] + ".example", Prefix: "/" + word() + "/", Kind: topol.Idempotent,
			Timeout: 2 * time.Second, Target: 300 * time.Millisecond, Priority: 2, Attempts: 2,
			Services: []topol.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	return c
}

func TestChangeRoundTrip(t *testing.T) {
	c := largeCatalog(100)
	raw, err := EncodeChange(topol.Diff(nil, c))
	must.NoError(t, err)
	ch, err := DecodeChange(raw)
	must.NoError(t, err)
	got, err := (*topol.Catalog)(nil).Apply(ch)
	must.NoError(t, err)
	test.Eq(t, c.Routes, got.Routes)
	test.Eq(t, c.ID(), got.ID())
}

func TestDamagedChangeIsAnError(t *testing.T) {
	raw, err := EncodeChange(topol.Diff(nil, largeCatalog(10)))
	must.NoError(t, err)
	for _, b := range [][]byte{nil, raw[:len(raw)/2], append([]byte{1, 2, 3}, raw...)} {
		_, err := DecodeChange(b)
		test.ErrorIs(t, err, ErrChange)
	}
}

// BenchmarkChange shows what a change of the design size costs: one route more on
// 20,000, 1,400 more, and all of them.
func BenchmarkChange(b *testing.B) {
	base := largeCatalog(20_000)
	for _, more := range []int{1, 1400} {
		c := largeCatalog(20_000 + more)
		c.ShareWith(base)
		b.Run(fmt.Sprintf("%d more", more), func(b *testing.B) { benchmarkChange(b, base, c) })
	}
	b.Run("all", func(b *testing.B) { benchmarkChange(b, nil, base) })
}

func benchmarkChange(b *testing.B, base, c *topol.Catalog) {
	c.ID()
	var raw []byte
	b.Run("make", func(b *testing.B) {
		for b.Loop() {
			raw, _ = EncodeChange(topol.Diff(base, c))
		}
		b.ReportMetric(float64(len(raw)), "bytes")
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			ch, err := DecodeChange(raw)
			must.NoError(b, err)
			_, err = base.Apply(ch)
			must.NoError(b, err)
		}
	})
}

// FuzzChange checks that no bytes of a peer end the process that decodes and applies them.
func FuzzChange(f *testing.F) {
	for _, routes := range []int{0, 3} {
		raw, err := EncodeChange(topol.Diff(nil, largeCatalog(routes)))
		must.NoError(f, err)
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	odd := largeCatalog(1)
	odd.Limits.MaxBodyBytes = -1
	odd.Keys = map[string]*topol.Workspace{"": {Name: "w", Priority: -1 << 63}}
	raw, err := EncodeChange(topol.Diff(nil, odd))
	must.NoError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		ch, err := DecodeChange(raw)
		if err != nil {
			test.ErrorIs(t, err, ErrChange)
			return
		}
		for _, base := range []*topol.Catalog{nil, largeCatalog(2)} {
			c, err := base.Apply(ch)
			if err == nil {
				_ = c.Validate()
			}
		}
	})
}
