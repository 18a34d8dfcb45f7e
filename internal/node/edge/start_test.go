package edge

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/strik"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// versionSource is a store that holds one version of the configuration.
type versionSource struct {
	version byte
	era     uint64
}

func (s versionSource) Newest(_ context.Context, st feeds.Stream) (feeds.Page, error) {
	p := feeds.Page{Era: s.era, Next: 1}
	if st == feeds.Configuration {
		p.Records = []feeds.Record{{Key: "config", Value: []byte{s.version}}}
	}
	return p, nil
}

func (s versionSource) Read(ctx context.Context, _ feeds.Stream, from ident.Offset, wait time.Duration) (feeds.Page, error) {
	delay.For(ctx, wait)
	return feeds.Page{Era: s.era, Next: from}, ctx.Err()
}

func (s versionSource) Put(context.Context, feeds.Stream, feeds.Record) (uint64, error) {
	return s.era, nil
}

// versionDecoder decodes the records of a versionSource.
type versionDecoder struct{}

func (versionDecoder) Catalog(r feeds.Record) (*topol.Catalog, error) { return decodeVersion(r.Value) }

func (versionDecoder) Evacuation(feeds.Record) (ident.DataCentre, bool) { return "", false }

func (versionDecoder) Endpoint(feeds.Record) (topol.Endpoint, error) { return topol.Endpoint{}, nil }

// lineBuffer collects log lines. It is safe for concurrent use.
type lineBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (l *lineBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

// versions returns the versions of the configuration that were in force.
func (l *lineBuffer) versions(t *testing.T) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var vs []int
	for _, line := range l.lines {
		var fields struct {
			Message string
			Version int
		}
		must.NoError(t, json.Unmarshal([]byte(line), &fields))
		if strings.HasSuffix(fields.Message, "configuration in force") {
			vs = append(vs, fields.Version)
		}
	}
	return vs
}

// freeAddress returns an address at which nothing listens.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// runNode runs a node and returns the lines that it logs, once a configuration is in force.
func runNode(t *testing.T, s Settings, source versionSource) *lineBuffer {
	_, lines := startNode(t, s, source)
	return lines
}

// startNode runs a node and returns it with the lines that it logs, once a configuration is in
// force.
func startNode(t *testing.T, s Settings, source versionSource) (*Node, *lineBuffer) {
	lines := &lineBuffer{}
	s.CallerAddress, s.ReadyAddress = "127.0.0.1:0", "127.0.0.1:0"
	n := &Node{Settings: s, Source: source, Decoder: versionDecoder{}, DecodeCatalog: decodeVersion, Logger: zerolog.New(lines)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	for len(lines.versions(t)) == 0 {
		time.Sleep(time.Millisecond)
	}
	return n, lines
}

// Guards against keys that were taken away and that a starting node serves, since the store
// shows it an older configuration than its peers hold.
func TestStartingNodeBelievesItsPeersBeforeTheStore(t *testing.T) {
	cases := []struct {
		name      string
		peer      bool
		bootstrap bool
		want      []int
	}{
		{"a peer runs", true, false, []int{2}},
		{"the peer is away", false, false, []int{1}},
		{"the whole deployment starts", false, true, []int{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peer := freeAddress(t)
			if c.peer {
				runNode(t, Settings{Name: "n1", PeerAddress: peer, Bootstrap: true}, versionSource{version: 2, era: 1})
			}
			lines := runNode(t, Settings{Name: "n2", PeerAddress: freeAddress(t), Seeds: []string{peer}, Bootstrap: c.bootstrap}, versionSource{version: 1, era: 2})
			test.Eq(t, c.want, lines.versions(t))
		})
	}
}

// Guards against BUDGET: nodes that start send a request that the others have barred, since they
// aren't told that it crashes endpoints, or only after they serve.
func TestStartingNodeKnowsRequestsThatCrashEndpoints(t *testing.T) {
	const digest strik.Digest = 1 << 40
	const took = 50 * time.Millisecond
	peer := freeAddress(t)
	n, _ := startNode(t, Settings{Name: "n1", PeerAddress: peer, Bootstrap: true}, versionSource{version: 1, era: 1})
	for _, age := range []time.Duration{6 * took, 4 * took, 2 * took} {
		n.gate.AddStrikes([]strik.Strike{{Digest: digest, Endpoint: "e", At: time.Now().Add(-age), Took: took}})
	}
	starter, _ := startNode(t, Settings{Name: "n2", PeerAddress: freeAddress(t), Seeds: []string{peer}}, versionSource{version: 1, era: 1})
	states := starter.gate.PartStates()
	must.SliceLen(t, 1, states)
	test.Eq(t, ident.PartID(digest), states[0].Part)
	test.Eq(t, 3, states[0].Strikes)
}
