package feeds

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
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
	f.applyEndpoints([]Record{record("a", "s up 1"), record("b", "s up")}, true, at(0))
	f.applyEndpoints([]Record{record("a", "s leaving 1"), record("b", "s leaving")}, false, at(time.Second))
	f.applyEndpoints([]Record{record("a", "s up 1"), record("b", "s up")}, false, at(2*time.Second))
	test.Eq(t, "a- b", f.names("s"), test.Sprint("a start of b can't be told from another"))
	f.applyEndpoints([]Record{record("a", "s up 2")}, false, at(3*time.Second))
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
	f.applyConfig([]Record{record("config", "5"), record("config", "3"), record("config", "x")}, true, at(0))
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
	f.applyConfig(nil, false, at(0))
	test.Eq(t, 0, f.CatalogConfirmedAt(), test.Sprint("without a configuration there is nothing to confirm"))
	f.applyConfig([]Record{record("config", "5")}, true, at(2*time.Second))
	f.ConfirmCatalog(at(time.Second))
	test.Eq(t, at(2*time.Second), f.CatalogConfirmedAt())
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
			f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0))
			f.applyEndpoints(c.rs, c.complete, at(time.Second))
			test.Eq(t, c.want, f.names("s"))
		})
	}
}

func TestDeletedEndpointsStayForTheGracePeriodAfterAnOutage(t *testing.T) {
	f := newFeeds()
	f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0))
	// The source was down for 8 s, and both records expired meanwhile.
	f.recordRecovery(Endpoints, at(8*time.Second), 8*time.Second)
	f.applyEndpoints([]Record{{Key: "a"}, {Key: "b"}}, false, at(8*time.Second))
	test.Eq(t, "a b", f.names("s"))
	test.False(t, f.OutsideGracePeriod(at(9*time.Second)), test.Sprint("such a list must not be given to peers"))
	test.True(t, f.OutsideGracePeriod(at(11*time.Second)))
	f.applyEndpoints([]Record{record("b", "s up")}, false, at(9*time.Second))
	test.Eq(t, "a b", f.names("s"))
	f.applyEndpoints(nil, false, at(11*time.Second))
	test.Eq(t, "b", f.names("s"))
}

func TestNewerListOfAPeerEndsTheGracePeriod(t *testing.T) {
	afterOutage := func() *Feeds {
		f := newFeeds()
		f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0))
		f.recordRecovery(Endpoints, at(8*time.Second), 8*time.Second)
		f.applyEndpoints([]Record{{Key: "a"}}, false, at(8100*time.Millisecond))
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
		f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0))
		f.recordRecovery(Endpoints, at(8*time.Second), 8*time.Second)
		f.applyEndpoints([]Record{{Key: "a"}}, false, at(8300*time.Millisecond))
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
	f.applyEndpoints([]Record{record("a", "s up")}, true, at(0))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 2000 {
			state := "s up"
			if i%2 == 0 {
				state = "s leaving"
			}
			f.applyEndpoints([]Record{record("a", state)}, false, at(time.Duration(i+1)))
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
		peer.applyEndpoints(base, true, at(0))
		f.applyEndpoints(base, true, at(0))
		peer.applyEndpoints(draw("next"), true, at(time.Second))
		c, confirmedAt := peer.ChangeFrom(f.Endpoints().ListID())
		must.NoError(t, f.ChangeEndpoints(c, confirmedAt))
		must.Eq(t, peer.Endpoints(), f.Endpoints())
		must.Eq(t, confirmedAt, f.EndpointsConfirmedAt())
	})
}

func TestChangeOfAnotherListIsRejected(t *testing.T) {
	peer, f := newFeeds(), newFeeds()
	peer.applyEndpoints([]Record{record("a", "s up")}, true, at(0))
	base := peer.Endpoints().ListID()
	peer.applyEndpoints([]Record{record("b", "s up")}, false, at(time.Second))
	c, confirmedAt := peer.ChangeFrom(base)
	test.Eq(t, base, c.Base)
	f.applyEndpoints([]Record{record("c", "s up")}, true, at(0))
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
		f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0))
		if outage > 0 {
			f.recordRecovery(Endpoints, at(8*time.Second), outage)
		}
		f.applyEndpoints([]Record{record("b", "s up")}, true, at(8*time.Second))
		test.Eq(t, "b", f.names("s"))
	}
}

func TestPeersListIsAdoptedOnlyIfNewer(t *testing.T) {
	f := newFeeds()
	f.applyEndpoints([]Record{record("a", "s up")}, true, at(time.Second))
	f.UpdateEndpoints([]topol.Endpoint{{Name: "z", Service: "s"}}, at(0))
	test.Eq(t, "a", f.names("s"))
	f.UpdateEndpoints([]topol.Endpoint{{Name: "z", Service: "s"}}, at(2*time.Second))
	test.Eq(t, "z", f.names("s"))
}

// scriptedSource returns prepared responses in order and then blocks.
type scriptedSource struct {
	responses []func() (Page, error)
	calls     []string
}

func (s *scriptedSource) next(ctx context.Context, call string) (Page, error) {
	s.calls = append(s.calls, call)
	if len(s.responses) == 0 {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	f := s.responses[0]
	s.responses = s.responses[1:]
	return f()
}

func (s *scriptedSource) Newest(ctx context.Context, _ Stream) (Page, error) {
	return s.next(ctx, "newest")
}

func (s *scriptedSource) Read(ctx context.Context, _ Stream, from ident.Offset, _ time.Duration) (Page, error) {
	return s.next(ctx, "read")
}

func (s *scriptedSource) Put(context.Context, Stream, Record) (uint64, error) { return 0, nil }

func TestRetriesBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{}
		for range 100 {
			s.responses = append(s.responses, func() (Page, error) { return Page{}, errors.New("rejected") })
		}
		f := newFeeds()
		f.Source = s
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go (&follower{feeds: f, stream: Endpoints, interval: endpointsInterval, apply: f.applyEndpoints}).run(ctx)
		// Calls are made after 0 s, 0.25 s, 0.75 s, and then each second.
		time.Sleep(9*time.Second + 800*time.Millisecond)
		synctest.Wait()
		test.Eq(t, 12, len(s.calls))
	})
}

// TestRequestedEndpointsAreReadSoon guards against waiting out the pause while endpoints answer
// under other names, and against reads without a pause while they go on to.
func TestRequestedEndpointsAreReadSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{}
		for range 100 {
			s.responses = append(s.responses, func() (Page, error) { return Page{Next: 1}, nil })
		}
		f := newFeeds()
		f.Source = s
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go (&follower{feeds: f, stream: Endpoints, interval: endpointsInterval, apply: f.applyEndpoints}).run(ctx)
		// Without requests, reads are at 0 s and 0.7 s.
		time.Sleep(endpointsInterval + 10*time.Millisecond)
		synctest.Wait()
		must.SliceLen(t, 2, s.calls)
		f.RequestEndpoints()
		time.Sleep(minEndpointsPause)
		synctest.Wait()
		test.SliceLen(t, 3, s.calls)
		for range 100 {
			f.RequestEndpoints()
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		test.SliceLen(t, 8, s.calls)
	})
}

// Guards against a node that waits until the source has as many records again as
// before it lost some, and that misses those with offsets given out again.
func TestFollowReadsTheNewestAfterALoss(t *testing.T) {
	page := func(era uint64, next ident.Offset, rs ...Record) func() (Page, error) {
		return func() (Page, error) { return Page{Records: rs, Next: next, Era: era}, nil }
	}
	s := &scriptedSource{responses: []func() (Page, error){
		page(1, 5, record("config", "1")), page(1, 6, record("config", "2")),
		// The records 4 to 6 are lost, and 4 to 7 are given out again.
		page(2, 7, record("config", "3")), page(2, 7, record("config", "4")),
	}}
	f := newFeeds()
	f.Source = s
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { (&follower{feeds: f, stream: Configuration, apply: f.applyConfig}).run(ctx); close(done) }()
	for f.Catalog() == nil || f.Catalog().Version < 4 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	must.SliceLen(t, 5, s.calls)
	test.Eq(t, []string{"newest", "read", "read", "newest", "read"}, s.calls)
	test.Eq(t, 2, f.Era())
}

// Guards against CONFIG: a node that has to follow the stream itself, as many do at
// the same time if readers fail, must not read the whole configuration.
func TestFollowGoesOnAfterTheStateOfAPeer(t *testing.T) {
	for _, c := range []struct {
		name  string
		pages []func() (Page, error)
		calls []string
	}{
		{"same era", []func() (Page, error){func() (Page, error) { return Page{Next: 9, Era: 2}, nil }}, []string{"read", "read"}},
		{"other era", []func() (Page, error){
			func() (Page, error) { return Page{Next: 9, Era: 3}, nil },
			func() (Page, error) { return Page{Next: 4, Era: 3, Records: []Record{record("config", "7")}}, nil },
		}, []string{"read", "newest", "read"}},
		{"no longer kept", []func() (Page, error){
			func() (Page, error) { return Page{}, ErrTrimmed },
			func() (Page, error) { return Page{Next: 9, Era: 2, Records: []Record{record("config", "7")}}, nil },
		}, []string{"read", "newest", "read"}},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedSource{responses: c.pages}
			f := newFeeds()
			f.Source = s
			var served atomic.Bool
			served.Store(true)
			f.ServedFor = func(Stream) time.Duration {
				if served.Load() {
					return time.Minute
				}
				return 0
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go (&follower{feeds: f, stream: Configuration, apply: f.applyConfig}).run(ctx)
			synctest.Wait()
			f.UpdateCatalog(&topol.Catalog{Version: 7})
			f.MergeEvacuations(Evacuations{At: Position{Era: 2, Next: 9}}, Position{Era: 2, Next: 9})
			f.MergeEvacuations(Evacuations{At: Position{Era: 2, Next: 9}}, Position{})
			time.Sleep(2 * peerCheckInterval)
			synctest.Wait()
			test.SliceEmpty(t, s.calls)
			served.Store(false)
			time.Sleep(2 * peerCheckInterval)
			synctest.Wait()
			test.Eq(t, c.calls, s.calls, test.Sprint(c.name))
			test.Eq(t, 7, f.Catalog().Version)
			test.Positive(t, f.CatalogConfirmedAt())
		})
	}
}

// After the source lost records, it may lack endpoints or show them as they were
// before they began to leave, until they write their records again.
func TestEndpointsStayAsTheyWereAfterALoss(t *testing.T) {
	f := newFeeds()
	f.applyEndpoints([]Record{record("a", "s up"), record("b", "s leaving"), record("c", "s up")}, true, at(0))
	f.recordLoss(Endpoints, 2, at(time.Second))
	f.applyEndpoints([]Record{record("b", "s up"), record("c", "s up")}, true, at(time.Second))
	test.Eq(t, "a b- c", f.names("s"))
	f.applyEndpoints([]Record{record("a", "s up"), record("c", "s leaving")}, false, at(2*time.Second))
	test.Eq(t, "a b- c-", f.names("s"))
	f.applyEndpoints([]Record{record("b", "s up")}, false, at(4*time.Second))
	test.Eq(t, "a b c-", f.names("s"), test.Sprint("the endpoint says so after the grace period"))
}

func TestFollowReadsTheNewestAfterATrim(t *testing.T) {
	page := func(next ident.Offset, rs ...Record) func() (Page, error) {
		return func() (Page, error) { return Page{Records: rs, Next: next}, nil }
	}
	s := &scriptedSource{responses: []func() (Page, error){
		page(3, record("config", "1")),
		func() (Page, error) { return Page{}, errors.New("lost") },
		page(2),
		func() (Page, error) { return Page{}, ErrTrimmed },
		page(9, record("config", "4")),
	}}
	f := newFeeds()
	f.Source = s
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { (&follower{feeds: f, stream: Configuration, apply: f.applyConfig}).run(ctx); close(done) }()
	for f.Catalog() == nil || f.Catalog().Version < 4 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	must.SliceLen(t, 6, s.calls)
	test.Eq(t, []string{"newest", "read", "read", "read", "newest", "read"}, s.calls)
}
