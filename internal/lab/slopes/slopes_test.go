// Package slopes has benchmarks that show how memory, message sizes and processing
// time grow with the size of the deployment. The capacity page uses their figures.
package slopes

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/membr"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/claim"
	"laburnumstack.org/laburnum/internal/state/fold"
	"laburnumstack.org/laburnum/internal/state/ledgr"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/tally"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// documentJSON returns a configuration with n endpoints. The numbers of
// workspaces, models and routes are in proportion to those of the deployment that
// the system is designed for: 4100 workspaces, 18 models and 18 routes with 5600
// endpoints.
func documentJSON(n int) []byte {
	doc := confg.Document{
		Workspaces: map[ident.WorkspaceName]confg.Workspace{},
		Endpoints:  map[ident.EndpointName]confg.Endpoint{},
		Routes:     map[ident.RouteName]confg.Route{},
	}
	models := max(1, n*18/5600)
	for i := range n * 4100 / 5600 {
		doc.Workspaces[ident.WorkspaceName(fmt.Sprintf("workspace-%04d", i))] = confg.Workspace{Keys: []string{fmt.Sprintf("%064x", i)}, Weight: 1}
	}
	for i := range n {
		doc.Endpoints[ident.EndpointName(fmt.Sprintf("engine-%04d", i))] = confg.Endpoint{
			Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250), DataCentre: "dc", Kind: confg.Engine,
			Models: []ident.ModelName{ident.ModelName(fmt.Sprintf("model-%02d", i%models))}, MemoryTokens: 400_000,
		}
	}
	for i := range models {
		doc.Routes[ident.RouteName(fmt.Sprintf("route-%02d", i))] = confg.Route{PathPrefix: "/v1/", Class: confg.Prompt, Models: []ident.ModelName{ident.ModelName(fmt.Sprintf("model-%02d", i))}}
	}
	raw, _ := json.Marshal(doc)
	return raw
}

// endpointCounts are a sixteenth, a quarter and all of the endpoints of the
// deployment that the system is designed for.
var endpointCounts = []int{350, 1400, 5600}

// heapBytes returns the heap memory in bytes that the result of f occupies.
func heapBytes(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkPatch encodes and applies a patch of one endpoint and compiles the
// endpoint table, for configurations of different sizes. It reports the size of
// the configuration as JSON and the memory that the table occupies.
func BenchmarkPatch(b *testing.B) {
	for _, n := range endpointCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			raw := documentJSON(n)
			f := fold.New()
			first, _ := json.Marshal(fold.Record{Patch: &fold.Patch{ID: "0", Merge: raw}})
			f.Apply(0, first)
			must.Eq(b, 1, f.Version())
			tableBytes := heapBytes(func() any { return table.New(1, f.Document(), nil) })
			compiled := table.New(1, f.Document(), nil)
			i := 0
			for b.Loop() {
				i++
				p, _ := json.Marshal(fold.Record{Patch: &fold.Patch{ID: ident.PatchID(fmt.Sprint(i)), Base: f.Version(), Merge: json.RawMessage(`{"Endpoints":{"engine-0000":{"PrefillRate":50001}}}`)}})
				f.Apply(ident.Offset(i), p)
				compiled = table.New(f.Version(), f.Document(), compiled)
			}
			b.ReportMetric(float64(len(raw)), "document-bytes")
			b.ReportMetric(tableBytes, "table-bytes")
		})
	}
}

// BenchmarkHeartbeat encodes and decodes a heartbeat that lists 16 nodes and the
// requests in flight of different numbers of workspaces. It reports the size
// without gob's type information, which is sent once per connection.
func BenchmarkHeartbeat(b *testing.B) {
	for _, w := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(w), func(b *testing.B) {
			m := messg.Heartbeat{From: membr.Member{Name: "node-001", Peer: "10.1.1.1:8082", Admin: "10.1.1.1:8081", Caller: "10.1.1.1:8080", DataCentre: "dc"}, Stamp: trace.Stamp{Wall: time.Now().UnixMilli()}, Uses: map[ident.WorkspaceName]tally.InFlight{}}
			for range 16 {
				m.Known = append(m.Known, m.From)
			}
			for i := range w {
				m.Uses[ident.WorkspaceName(fmt.Sprintf("workspace-%04d", i))] = tally.InFlight{Requests: 3, Tokens: 40_000}
			}
			var buf bytes.Buffer
			enc, dec := gob.NewEncoder(&buf), gob.NewDecoder(&buf)
			size := 0
			for b.Loop() {
				enc.Encode(m)
				size = buf.Len()
				var out messg.Heartbeat
				must.NoError(b, dec.Decode(&out))
			}
			b.ReportMetric(float64(size), "beat-bytes")
		})
	}
}

// BenchmarkClaims encodes, decodes and applies records of n claims, each followed
// by its answer, and measures the memory of a table with many keys.
func BenchmarkClaims(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			claims := claim.NewTable()
			at := time.Now()
			i, size := 0, 0
			for b.Loop() {
				raw, _ := json.Marshal(claimRecord(i, n))
				size = len(raw)
				var rec claim.Record
				must.NoError(b, json.Unmarshal(raw, &rec))
				claims.Apply(ident.Offset(i), at, rec)
				i++
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/booking")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/booking")
		})
	}
	b.Run("memory", func(b *testing.B) {
		const keys = 100_000
		for b.Loop() {
			tableBytes := heapBytes(func() any {
				t := claim.NewTable()
				for i := range keys / 10 {
					t.Apply(ident.Offset(i), time.Now(), claimRecord(i, 10))
				}
				return t
			})
			b.ReportMetric(tableBytes/keys, "bytes/key")
		}
	})
}

// claimRecord returns the i-th record, with n claims, each followed by its answer.
func claimRecord(i, n int) claim.Record {
	r := claim.Record{Holder: claim.Holder{Node: "node-001", Boot: 1}}
	for j := range n {
		item := claim.Item{
			Op: claim.Claim, Key: claim.Key{Workspace: "workspace-0001", Name: fmt.Sprintf("018f-key-%d-%d", i, j)},
			Attempt: ident.AttemptID(fmt.Sprintf("%012d%012d", i, j)), Request: "0123456789abcdef01234567", Digest: 0xfedcba9876543210, Age: time.Hour,
		}
		answered := item
		answered.Op, answered.Answer = claim.Done, &claim.Answer{Status: 201, ContentType: "application/json", Body: make([]byte, 200)}
		r.Items = append(r.Items, item, answered)
	}
	return r
}

// BenchmarkUsage encodes a usage batch of n rows.
func BenchmarkUsage(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := ledgr.New()
			for i := range n {
				l.Add(ledgr.Account{Workspace: ident.WorkspaceName(fmt.Sprintf("workspace-%04d", i)), Route: "route-01", Model: "model-01"}, time.Now(), ledgr.Sum{Requests: 10, PromptTokens: 100_000, GeneratedTokens: 3000, EndpointSeconds: 12.5})
			}
			batch := ledgr.Batch{Node: "node-001", Boot: ident.NewID(), Seq: 7, Rows: l.Peek()}
			size := 0
			for b.Loop() {
				raw, _ := json.Marshal(batch)
				size = len(raw)
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/row")
		})
	}
}

// BenchmarkRing adds an event to the ring of trace events. Once the ring is full,
// each event overwrites the oldest one.
func BenchmarkRing(b *testing.B) {
	g := trace.NewRing("node-001", &trace.Clock{}, 20_000)
	for b.Loop() {
		g.Add(trace.Chosen, "0123456789abcdef01234567", "attempt 1 at engine-0001")
	}
}
