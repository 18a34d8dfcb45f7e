package edge

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against an odd configuration that one node took and that travels to the others:
// they check what a peer sends as they check what the store holds.
func TestOddConfigurationOfAPeerIsNotPutInForce(t *testing.T) {
	p := newTestNodes(t, "a")[0]
	odd := &topol.Catalog{Version: 2, Limits: topol.Limits{MaxHeaderBytes: -1}}
	raw, err := relay.EncodeChange(topol.Diff(nil, odd))
	must.NoError(t, err)
	test.ErrorIs(t, p.applyChange(raw), topol.ErrInvalid)
	test.Nil(t, p.feeds.Catalog())
	sound := &topol.Catalog{Version: 1}
	raw, err = relay.EncodeChange(topol.Diff(nil, sound))
	must.NoError(t, err)
	must.NoError(t, p.applyChange(raw))
	test.Eq(t, 1, p.feeds.Catalog().Version)
}

// Guards against a node that takes no list of endpoints and no configuration any more,
// since it believes that its own was confirmed in the future.
func TestNegativeAgesOfAPeerConfirmNothingInTheFuture(t *testing.T) {
	for _, age := range []time.Duration{-time.Hour, -1 << 63, 1<<63 - 1} {
		p := newTestNodes(t, "a")[0]
		p.feeds.UpdateCatalog(&topol.Catalog{Version: 1})
		sentAt := clock.Now()
		es := []topol.Endpoint{{Name: ident.EndpointName("e"), Service: "s", Address: "10.0.0.1:80", Slots: 1}}
		p.applyState(relay.State{Version: 1, Proven: true, ProvenAge: age, Listed: true, ListedAge: age, Endpoints: es, List: 1}, sentAt)
		test.LessEq(t, sentAt, p.feeds.EndpointsConfirmedAt(), test.Sprint(age))
		test.LessEq(t, sentAt, p.feeds.CatalogConfirmedAt(), test.Sprint(age))
	}
}

// memberSource holds records of members.
type memberSource struct {
	feeds.Source
	records []feeds.Record
}

func (s memberSource) Newest(context.Context, feeds.Stream) (feeds.Page, error) {
	return feeds.Page{Records: s.records}, nil
}

// Guards against odd records among those of the members: each counted as a node for a
// minute, by which the others' parts of the retry budget and of limits became smaller.
func TestOddRecordsOfMembersAreNoNodes(t *testing.T) {
	p := newTestNodes(t, "a")[0]
	var rs []feeds.Record
	for _, v := range []string{"", "x", ":", "host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:+80", "10.0.0.1:65536", "0.0.0.0:80", "\x00", strings.Repeat("[", 1<<16), "127.0.0.1:9"} {
		rs = append(rs, feeds.Record{Key: "k", Value: []byte(v)})
	}
	n := &Node{Source: memberSource{records: append(rs, feeds.Record{Key: "deleted"})}, mesh: p.mesh, Logger: zerolog.Nop()}
	must.NoError(t, n.addPeers(context.Background()))
	test.Eq(t, 2, p.mesh.NodeCount())
}
