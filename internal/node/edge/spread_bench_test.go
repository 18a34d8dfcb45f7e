package edge

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// The deployment of BenchmarkSpread: nodes with few cores and a slow link, of which
// the reader of each data centre has more.
const (
	spreadNodes       = 320
	spreadRoutes      = 20_000
	nodeBytesPerSec   = 20e6 / 8
	readerBytesPerSec = 200e6 / 8
	nodeCores         = 0.192
	readerCores       = 0.8
	roundTrip         = 2 * time.Millisecond
)

// spreadDocument returns a document with random names, in about the size and form
// that the users' platform has them.
func spreadDocument(v ident.Version, routes int) []byte {
	r := rand.New(rand.NewPCG(1, 2))
	word := func() string { return fmt.Sprintf("%08x", r.Uint32()) }
	d := document{Version: v}
	for range routes {
		d.Routes = append(d.Routes, topol.Route{
			Name: ident.RouteName("r-" + word()), Host: word()[:4] + ".example", Prefix: "/" + word() + "/", Kind: topol.Idempotent,
			Timeout: 2 * time.Second, Target: 300 * time.Millisecond, Priority: 2, Attempts: 2,
			Services: []topol.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	raw, _ := json.Marshal(d)
	return raw
}

// arrival returns when the last node of a data centre has all bytes of a change that
// its reader has at time zero. Nodes take parts from their relays one after the
// other, and a relay sends one part at a time over its link.
func arrival(nodes, bytes int) time.Duration {
	parts := (bytes + partBytes - 1) / partBytes
	// at[i][k] is when node i has part k. Node 0 is the reader.
	at := make([][]time.Duration, nodes)
	at[0] = make([]time.Duration, parts)
	free := make([]time.Duration, nodes)
	var last time.Duration
	for i := 1; i < nodes; i++ {
		at[i] = make([]time.Duration, parts)
	}
	for k := range parts {
		for i := 1; i < nodes; i++ {
			relay := max(0, i/2-1)
			rate := nodeBytesPerSec
			if relay == 0 {
				rate = readerBytesPerSec
			}
			size := min(partBytes, bytes-k*partBytes)
			start := max(at[relay][k], free[relay])
			if k > 0 {
				start = max(start, at[i][k-1]+roundTrip)
			}
			free[relay] = start + time.Duration(float64(size)/rate*float64(time.Second))
			at[i][k] = max(free[relay], start+time.Duration(float64(size)/nodeBytesPerSec*float64(time.Second))) + roundTrip
			last = max(last, at[i][k])
		}
	}
	return last
}

// BenchmarkSpread calculates, from the sizes of encoded changes and the time that
// this machine needs for them, how long it takes until a change is in force on all
// nodes: a reader reads and decodes the document, a node learns of it at its next
// pull, the change is transferred and applied.
func BenchmarkSpread(b *testing.B) {
	base, err := decodeDocument(spreadDocument(1, spreadRoutes))
	must.NoError(b, err)
	for _, more := range []int{1, 1400, spreadRoutes} {
		routes, old := spreadRoutes+more, base
		if more == spreadRoutes {
			routes, old = spreadRoutes, nil
		}
		raw := spreadDocument(2, routes)
		for _, dataCentres := range []int{3, 14} {
			b.Run(fmt.Sprintf("%d routes, %d data centres", more, dataCentres), func(b *testing.B) {
				benchmarkSpread(b, raw, old, (spreadNodes+dataCentres-1)/dataCentres)
			})
		}
	}
}

func benchmarkSpread(b *testing.B, raw []byte, old *topol.Catalog, nodes int) {
	var read, apply time.Duration
	var change []byte
	for b.Loop() {
		began := time.Now()
		c, err := decodeDocument(raw)
		must.NoError(b, err)
		if old != nil {
			c.ShareWith(old)
		}
		change, err = relay.EncodeChange(topol.Diff(old, c))
		must.NoError(b, err)
		read += time.Since(began)
		began = time.Now()
		ch, err := relay.DecodeChange(change)
		must.NoError(b, err)
		_, err = old.Apply(ch)
		must.NoError(b, err)
		apply += time.Since(began)
	}
	n := float64(b.N)
	reader := float64(len(raw))/readerBytesPerSec + read.Seconds()/n/readerCores
	total := reader + pullInterval.Seconds() + arrival(nodes, len(change)).Seconds() + apply.Seconds()/n/nodeCores
	b.ReportMetric(float64(len(raw)), "document-bytes")
	b.ReportMetric(float64(len(change)), "change-bytes")
	b.ReportMetric(total, "s-in-force")
	b.ReportMetric(0, "ns/op")
}
