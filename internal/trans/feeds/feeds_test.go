package feeds

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// plainDecoder decodes a configuration that consists of its version, and an
// endpoint that consists of its service and its state.
type plainDecoder struct{}

func (plainDecoder) Catalog(r Record) (*topol.Catalog, error) {
	var v ident.Version
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return nil, err
	}
	return &topol.Catalog{Version: v}, nil
}

// evacuationPrefix precedes the data centre in the key of an evacuation.
const evacuationPrefix = "evacuate/"

func (plainDecoder) Evacuation(r Record) (ident.DataCentre, bool) {
	n, ok := strings.CutPrefix(r.Key, evacuationPrefix)
	return ident.DataCentre(n), ok
}

func (plainDecoder) Endpoint(r Record) (topol.Endpoint, error) {
	fields := strings.Fields(string(r.Value))
	if len(fields) < 2 {
		return topol.Endpoint{}, errors.New("no state")
	}
	e := topol.Endpoint{Name: ident.EndpointName(r.Key), Service: ident.ServiceName(fields[0]), Address: r.Key, Leaving: fields[1] == "leaving"}
	if len(fields) > 2 {
		e.Born, _ = strconv.ParseInt(fields[2], 10, 64)
	}
	return e, nil
}

func newFeeds() *Feeds { return &Feeds{Decoder: plainDecoder{}, Logger: zerolog.Nop()} }

func record(key, value string) Record { return Record{Key: key, Value: []byte(value)} }

func at(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }

// names returns the names of a service's endpoints, with "-" after those that are
// leaving.
func (f *Feeds) names(s ident.ServiceName) string {
	var ns []string
	for _, e := range f.Endpoints().ByService[s] {
		n := string(e.Name)
		if e.Leaving {
			n += "-"
		}
		ns = append(ns, n)
	}
	return strings.Join(ns, " ")
}

// Guards against requests to an endpoint that leaves, after an earlier write of its record has
// been carried out late. Its next start is used at once.
func TestLateRecordDoesNotEndLeaving(t *testing.T) {
	f := newFeeds()
	f.applyEndpoints([]Record{record("a", "s up 1"), record("b", "s up")}, true, at(0), at(0))
	f.applyEndpoints([]Record{record("a", "s leaving 1"), record("b", "s leaving")}, false, at(time.Second), at(time.Second))
	f.applyEndpoints([]Record{record("a", "s up 1"), record("b", "s up")}, false, at(2*time.Second), at(2*time.Second))
	test.Eq(t, "a- b", f.names("s"), test.Sprint("a start of b can't be told from another"))
	f.applyEndpoints([]Record{record("a", "s up 2")}, false, at(3*time.Second), at(3*time.Second))
	test.Eq(t, "a b", f.names("s"))
}

// Guards against lists of endpoints without those that lapsed in an outage: a node that starts
// in its last second gives its list to the others, and ends their grace period.
func TestOutageAtTheStartBeginsTheGracePeriod(t *testing.T) {
	f := newFeeds()
	w := &follower{feeds: f, stream: Endpoints}
	w.failedSince = at(0)
	w.succeed(at(minOutage / 2))
	test.False(t, f.OutsideGracePeriod(at(minOutage/2+outageGrace-1)))
	test.True(t, f.OutsideGracePeriod(at(minOutage/2+outageGrace)))
	w.failedSince = at(time.Minute)
	w.succeed(at(time.Minute + minOutage/2))
	test.True(t, f.OutsideGracePeriod(at(time.Minute+minOutage)), test.Sprint("a short one later"))
}

func TestHighestVersionWins(t *testing.T) {
	f := newFeeds()
	f.applyConfig([]Record{record("config", "5"), record("config", "3"), record("config", "x")}, true, at(0), at(0))
	test.Eq(t, 5, f.Catalog().Version)
	f.UpdateCatalog(&topol.Catalog{Version: 4})
	test.Eq(t, 5, f.Catalog().Version)
	f.UpdateCatalog(&topol.Catalog{Version: 9})
	test.Eq(t, 9, f.Catalog().Version)
}

// Guards against memory in proportion to the versions that a reader keeps: what is the
// same in two documents is kept once.
func TestDecodedConfigurationSharesWithTheOneBefore(t *testing.T) {
	f := newFeeds()
	route := func(attempts int) *topol.Route { return &topol.Route{Host: "h", Prefix: "/", Attempts: attempts} }
	one, two, three := &topol.Catalog{Version: 1, Raw: []byte("1")}, &topol.Catalog{Version: 2, Raw: []byte("2")}, &topol.Catalog{Version: 3, Raw: []byte("3")}
	one.Add(route(1))
	two.Add(route(1))
	three.Add(route(2))
	f.UpdateCatalog(one)
	f.UpdateCatalog(two)
	test.True(t, f.Catalog().Match("h", "/") == one.Match("h", "/"))
	f.UpdateCatalog(three)
	test.Eq(t, 2, f.Catalog().Match("h", "/").Attempts)
	test.True(t, f.RecentCatalog(two.ID()) == two)
	test.Nil(t, f.RecentCatalog(topol.ID{Version: 2}))
}

func TestConfirmationTimeNeverGoesBack(t *testing.T) {
	f := newFeeds()
	f.applyConfig(nil, false, at(0), at(0))
	test.Eq(t, 0, f.CatalogConfirmedAt(), test.Sprint("without a configuration there is nothing to confirm"))
	f.applyConfig([]Record{record("config", "5")}, true, at(2*time.Second), at(2*time.Second))
	f.ConfirmCatalog(at(time.Second))
	test.Eq(t, at(2*time.Second), f.CatalogConfirmedAt())
}

// Guards against CONFIG: a request is checked against a configuration in which its key is valid, while
// the time of confirmation is that of the next one, in which it isn't.
func TestTimeOfConfirmationIsNotThatOfANewerConfiguration(t *testing.T) {
	const versions = 20000
	f := newFeeds()
	f.UpdateCatalog(&topol.Catalog{Version: 1})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for v := range ident.Version(versions) {
			f.UpdateCatalog(&topol.Catalog{Version: v})
			f.ConfirmCatalog(clock.Instant(v))
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
		}
		c, at := f.ConfirmedCatalog()
		must.GreaterEq(t, uint64(at), uint64(c.Version))
	}
}

func TestApplyEndpoints(t *testing.T) {
	cases := []struct {
		name     string
		rs       []Record
		complete bool
		want     string
	}{
		{"same again", []Record{record("a", "s up")}, false, "a b"},
		{"leaving", []Record{record("a", "s leaving")}, false, "a- b"},
		{"deleted", []Record{{Key: "a"}}, false, "b"},
		{"undecodable", []Record{record("a", "junk")}, false, "b"},
		{"unknown and undecodable", []Record{record("x", "junk")}, false, "a b"},
		{"deleted and back", []Record{{Key: "a"}, record("a", "s up")}, false, "a b"},
		{"missing in the complete list", []Record{record("b", "s up")}, true, "b"},
		{"other service", []Record{record("a", "t up")}, false, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFeeds()
			f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0), at(0))
			f.applyEndpoints(c.rs, c.complete, at(time.Second), at(time.Second))
			test.Eq(t, c.want, f.names("s"))
		})
	}
}

func TestDeletedEndpointsStayForTheGracePeriodAfterAnOutage(t *testing.T) {
	f := newFeeds()
	f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0), at(0))
	// The source was down for 8 s, and both records expired meanwhile.
	f.recordRecovery(Endpoints, at(8*time.Second), 8*time.Second)
	f.applyEndpoints([]Record{{Key: "a"}, {Key: "b"}}, false, at(8*time.Second), at(8*time.Second))
	test.Eq(t, "a b", f.names("s"))
	test.False(t, f.OutsideGracePeriod(at(9*time.Second)), test.Sprint("such a list must not be given to peers"))
	test.True(t, f.OutsideGracePeriod(at(11*time.Second)))
	f.applyEndpoints([]Record{record("b", "s up")}, false, at(9*time.Second), at(9*time.Second))
	test.Eq(t, "a b", f.names("s"))
	f.applyEndpoints(nil, false, at(11*time.Second), at(11*time.Second))
	test.Eq(t, "b", f.names("s"))
}

func TestNewerListOfAPeerEndsTheGracePeriod(t *testing.T) {
	afterOutage := func() *Feeds {
		f := newFeeds()
		f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0), at(0))
		f.recordRecovery(Endpoints, at(8*time.Second), 8*time.Second)
		f.applyEndpoints([]Record{{Key: "a"}}, false, at(8100*time.Millisecond), at(8100*time.Millisecond))
		must.Eq(t, "a b", f.names("s"))
		return f
	}
	// The peer read the source after it answered this node again, and before
	// this node's own last read.
	f := afterOutage()
	f.UpdateEndpoints([]topol.Endpoint{{Name: "b", Service: "s"}}, at(8050*time.Millisecond))
	test.Eq(t, "b", f.names("s"))
	test.True(t, f.OutsideGracePeriod(at(8200*time.Millisecond)))
	// The peer read the source before that.
	f = afterOutage()
	f.UpdateEndpoints([]topol.Endpoint{{Name: "b", Service: "s"}}, at(7900*time.Millisecond))
	test.Eq(t, "a b", f.names("s"))
	test.False(t, f.OutsideGracePeriod(at(8200*time.Millisecond)))
}

func TestOlderListOfAPeerDoesNotRestoreDeletedEndpoints(t *testing.T) {
	afterOutage := func() *Feeds {
		f := newFeeds()
		f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0), at(0))
		f.recordRecovery(Endpoints, at(8*time.Second), 8*time.Second)
		f.applyEndpoints([]Record{{Key: "a"}}, false, at(8300*time.Millisecond), at(8300*time.Millisecond))
		must.Eq(t, "a b", f.names("s"))
		return f
	}
	f := afterOutage()
	f.UpdateEndpoints([]topol.Endpoint{{Name: "a", Service: "s"}, {Name: "b", Service: "s"}}, at(8100*time.Millisecond))
	test.Eq(t, "b", f.names("s"))
	test.True(t, f.OutsideGracePeriod(at(8400*time.Millisecond)))
	// The peer has the same list as this node.
	f = afterOutage()
	f.ConfirmEndpoints(f.Endpoints().ID, at(8100*time.Millisecond))
	test.Eq(t, "b", f.names("s"))
	test.True(t, f.OutsideGracePeriod(at(8400*time.Millisecond)))
}

func TestSnapshotsAreConsistent(t *testing.T) {
	f := newFeeds()
	f.applyEndpoints([]Record{record("a", "s up")}, true, at(0), at(0))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 2000 {
			state := "s up"
			if i%2 == 0 {
				state = "s leaving"
			}
			f.applyEndpoints([]Record{record("a", state)}, false, at(time.Duration(i+1)), at(time.Duration(i+1)))
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
		}
		c, confirmedAt := f.ChangeFrom(0)
		must.SliceLen(t, 1, c.Put)
		must.Eq(t, time.Duration(confirmedAt-at(0))%2 == 1, c.Put[0].Leaving)
	}
}

// Guards against lists of endpoints that differ between nodes because one was changed
// instead of read.
func TestChangedListIsThatOfThePeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (rs []Record) {
			for _, n := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID).Draw(t, label) {
				rs = append(rs, record(n, rapid.SampledFrom([]string{"s up", "s leaving", "t up"}).Draw(t, label+" "+n)))
			}
			return rs
		}
		peer, f := newFeeds(), newFeeds()
		base := draw("base")
		peer.applyEndpoints(base, true, at(0), at(0))
		f.applyEndpoints(base, true, at(0), at(0))
		peer.applyEndpoints(draw("next"), true, at(time.Second), at(time.Second))
		c, confirmedAt := peer.ChangeFrom(f.Endpoints().ListID())
		must.NoError(t, f.ChangeEndpoints(c, confirmedAt))
		must.Eq(t, peer.Endpoints(), f.Endpoints())
		must.Eq(t, confirmedAt, f.EndpointsConfirmedAt())
	})
}

func TestChangeOfAnotherListIsRejected(t *testing.T) {
	peer, f := newFeeds(), newFeeds()
	peer.applyEndpoints([]Record{record("a", "s up")}, true, at(0), at(0))
	base := peer.Endpoints().ListID()
	peer.applyEndpoints([]Record{record("b", "s up")}, false, at(time.Second), at(time.Second))
	c, confirmedAt := peer.ChangeFrom(base)
	test.Eq(t, base, c.Base)
	f.applyEndpoints([]Record{record("c", "s up")}, true, at(0), at(0))
	test.ErrorIs(t, f.ChangeEndpoints(c, confirmedAt), ErrOtherList)
	test.Eq(t, "c", f.names("s"))
	c, confirmedAt = peer.ChangeFrom(f.Endpoints().ListID())
	test.Eq(t, 0, c.Base, test.Sprint("a list that the peer does not know"))
	test.NoError(t, f.ChangeEndpoints(c, confirmedAt))
	test.Eq(t, "a b", f.names("s"))
}

func TestDeletedEndpointsAreRemovedAtOnceWithoutAnOutage(t *testing.T) {
	// Without an outage, the last read may still be long ago, since a peer may
	// have read the source for this node.
	for _, outage := range []time.Duration{0, 300 * time.Millisecond} {
		f := newFeeds()
		f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0), at(0))
		if outage > 0 {
			f.recordRecovery(Endpoints, at(8*time.Second), outage)
		}
		f.applyEndpoints([]Record{record("b", "s up")}, true, at(8*time.Second), at(8*time.Second))
		test.Eq(t, "b", f.names("s"))
	}
}

func TestPeersListIsAdoptedOnlyIfNewer(t *testing.T) {
	f := newFeeds()
	f.applyEndpoints([]Record{record("a", "s up")}, true, at(time.Second), at(time.Second))
	f.UpdateEndpoints([]topol.Endpoint{{Name: "z", Service: "s"}}, at(0))
	test.Eq(t, "a", f.names("s"))
	f.UpdateEndpoints([]topol.Endpoint{{Name: "z", Service: "s"}}, at(2*time.Second))
	test.Eq(t, "z", f.names("s"))
}

// After the source lost records, it may lack endpoints or show them as they were
// before they began to leave, until they write their records again.
func TestEndpointsStayAsTheyWereAfterALoss(t *testing.T) {
	f := newFeeds()
	f.applyEndpoints([]Record{record("a", "s up"), record("b", "s leaving"), record("c", "s up")}, true, at(0), at(0))
	f.recordLoss(Endpoints, 2, at(time.Second))
	f.applyEndpoints([]Record{record("b", "s up"), record("c", "s up")}, true, at(time.Second), at(time.Second))
	test.Eq(t, "a b- c", f.names("s"))
	f.applyEndpoints([]Record{record("a", "s up"), record("c", "s leaving")}, false, at(2*time.Second), at(2*time.Second))
	test.Eq(t, "a b- c-", f.names("s"))
	f.applyEndpoints([]Record{record("b", "s up")}, false, at(4*time.Second), at(4*time.Second))
	test.Eq(t, "a b c-", f.names("s"), test.Sprint("the endpoint says so after the grace period"))
}
