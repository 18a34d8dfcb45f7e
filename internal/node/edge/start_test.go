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
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/internal/trans/share"
	"laburnumstack.org/laburnum/pkg/ident"
)

// versionSource is a store that holds one version of the configuration, and the record of an era that
// is complete unless that is empty.
type versionSource struct {
	version     byte
	era         uint64
	completeEra string
}

func (s versionSource) Newest(_ context.Context, st feeds.Stream) (feeds.Page, error) {
	p := feeds.Page{Era: s.era, Next: 1}
	if st == feeds.Configuration {
		p.Records = []feeds.Record{{Key: "config", Value: []byte{s.version}}}
	}
	if st == feeds.Members && s.completeEra != "" {
		p.Records = []feeds.Record{{Key: completeEraKey, Value: []byte(s.completeEra)}}
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
	var err error
	go func() {
		err = n.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	for len(lines.versions(t)) == 0 {
		select {
		case <-ended:
			t.Fatal("the node has ended: ", err)
		case <-time.After(time.Millisecond):
		}
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

// Guards against CONFIG: all nodes are killed while the store comes back as a copy, and accept keys
// in it that were taken away; and against keys that wait at each start of all nodes for good, since
// the store has lost records once.
func TestStartingNodeWaitsForRecordsThatTheStoreHasLost(t *testing.T) {
	cases := []struct {
		name      string
		bootstrap bool
		source    versionSource
		waits     bool
	}{
		{"store has lost nothing", false, versionSource{version: 1, era: 1}, false},
		{"store has lost records", false, versionSource{version: 1, era: 3}, true},
		{"record of this era", false, versionSource{version: 1, era: 3, completeEra: "3"}, false},
		{"record in a copy of an earlier era", false, versionSource{version: 1, era: 3, completeEra: "2"}, true},
		{"record of a later era", false, versionSource{version: 1, era: 3, completeEra: "4"}, true},
		{"record that is no number", false, versionSource{version: 1, era: 3, completeEra: "all"}, true},
		{"the whole deployment starts", true, versionSource{version: 1, era: 3}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Settings{Name: "n1", PeerAddress: freeAddress(t), Bootstrap: c.bootstrap, StrictRevocation: true, MaxConfigAge: time.Minute}
			n, _ := startNode(t, s, c.source)
			// The endpoints and the evacuations are read apart from the configuration.
			for n.feeds.CatalogConfirmedAt() == 0 || n.feeds.Endpoints() == nil || !n.feeds.EvacuationsKnown() {
				time.Sleep(time.Millisecond)
			}
			// Only a node that has waited has seen by itself that lost records are back.
			test.Eq(t, c.waits, n.feeds.WitnessedEra() > 0 && !c.bootstrap)
			test.Eq(t, c.source.era, n.feeds.CompleteEra())
			test.True(t, n.ready())
		})
	}
}

// Guards against a wait at nodes that start while a peer knows the newest configuration, and against
// proofs of peers that have believed a copy of the store.
func TestPeersProveTheConfigurationAfterALoss(t *testing.T) {
	cases := []struct {
		name               string
		peer               relay.State
		confirmed, waiting bool
	}{
		{"peer has seen lost records again", relay.State{Era: 2, CompleteEra: 2, Version: 1, Proven: true}, true, false},
		{"peer has not heard of the loss", relay.State{Era: 1, CompleteEra: 1, Version: 1, Proven: true}, true, true},
		{"peer waits and was confirmed before", relay.State{Era: 2, CompleteEra: 1, Version: 1, Proven: true}, true, true},
		{"peer waits since its start", relay.State{Era: 2, Version: 1}, false, true},
		{"peer of an older build", relay.State{Era: 2, Version: 1, Proven: true}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newStateSync(&feeds.Feeds{Logger: zerolog.Nop()}, &share.Mesh{}, decodeVersion, zerolog.Nop())
			p.feeds.ObserveEra(2)
			must.NoError(t, p.applyDocument([]byte{1}))
			p.applyState(c.peer, clock.Now())
			test.Eq(t, c.confirmed, p.feeds.CatalogConfirmedAt() > 0)
			test.Eq(t, c.waiting, p.feeds.CompleteEra() < p.feeds.Era())
		})
	}
}

// Guards against a peer's proof by a node that has never confirmed its configuration.
func TestUnconfirmedConfigurationIsNotProven(t *testing.T) {
	p := newStateSync(&feeds.Feeds{Logger: zerolog.Nop()}, &share.Mesh{}, decodeVersion, zerolog.Nop())
	must.NoError(t, p.applyDocument([]byte{1}))
	test.False(t, p.state(relay.StateArgs{}).Proven)
	p.feeds.ConfirmCatalog(clock.Now())
	test.True(t, p.state(relay.StateArgs{}).Proven)
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
