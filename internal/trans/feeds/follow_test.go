package feeds

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// scriptedSource returns prepared responses in order and then blocks.
type scriptedSource struct {
	responses []func() (Page, error)

	mu    sync.Mutex
	calls []string
}

func (s *scriptedSource) next(ctx context.Context, call string) (Page, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	n := len(s.calls)
	s.mu.Unlock()
	if n > len(s.responses) {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return s.responses[n-1]()
}

// made returns the calls so far.
func (s *scriptedSource) made() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

func (s *scriptedSource) Newest(ctx context.Context, _ Stream) (Page, error) {
	return s.next(ctx, "newest")
}

func (s *scriptedSource) Read(ctx context.Context, _ Stream, from ident.Offset, _ time.Duration) (Page, error) {
	return s.next(ctx, "read")
}

func (s *scriptedSource) Put(context.Context, Stream, Record) (uint64, error) { return 0, nil }

// followScript follows the configuration in a source until its responses are used up. It is called in
// a synctest bubble.
func followScript(t *testing.T, s *scriptedSource) *Feeds {
	f := newFeeds()
	f.Source = s
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go (&follower{feeds: f, stream: Configuration, apply: f.applyConfig}).run(ctx)
	// The retries in between take less.
	time.Sleep(time.Second)
	synctest.Wait()
	return f
}

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
		test.Eq(t, 12, len(s.made()))
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
		must.SliceLen(t, 2, s.made())
		f.RequestEndpoints()
		time.Sleep(minEndpointsPause)
		synctest.Wait()
		test.SliceLen(t, 3, s.made())
		for range 100 {
			f.RequestEndpoints()
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		test.SliceLen(t, 8, s.made())
	})
}

// Guards against a node that waits until the source has as many records again as
// before it lost some, and that misses those with offsets given out again.
func TestFollowReadsTheNewestAfterALoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		page := func(era uint64, next ident.Offset, rs ...Record) func() (Page, error) {
			return func() (Page, error) { return Page{Records: rs, Next: next, Era: era}, nil }
		}
		s := &scriptedSource{responses: []func() (Page, error){
			page(1, 5, record("config", "1")), page(1, 6, record("config", "2")),
			// The records 4 to 6 are lost, and 4 to 7 are given out again.
			page(2, 7, record("config", "3")), page(2, 7, record("config", "4")),
		}}
		f := followScript(t, s)
		must.Eq(t, 4, f.Catalog().Version)
		must.SliceLen(t, 5, s.made())
		test.Eq(t, []string{"newest", "read", "read", "newest", "read"}, s.made())
		test.Eq(t, 2, f.Era())
	})
}

// Guards against CONFIG: a node that has to follow the stream itself, as many do at
// the same time if readers fail, must not read the whole configuration.
func TestFollowGoesOnAfterTheStateOfAPeer(t *testing.T) {
	for _, c := range []struct {
		name      string
		pages     []func() (Page, error)
		calls     []string
		confirmed bool
	}{
		{"same era", []func() (Page, error){func() (Page, error) { return Page{Next: 9, Era: 2}, nil }}, []string{"read", "read"}, true},
		{"other era", []func() (Page, error){
			func() (Page, error) { return Page{Next: 9, Era: 3}, nil },
			func() (Page, error) { return Page{Next: 4, Era: 3, Records: []Record{record("config", "7")}}, nil },
		}, []string{"read", "newest", "read"}, false},
		{"no longer kept", []func() (Page, error){
			func() (Page, error) { return Page{}, ErrTrimmed },
			func() (Page, error) { return Page{Next: 9, Era: 2, Records: []Record{record("config", "7")}}, nil },
		}, []string{"read", "newest", "read"}, true},
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
			f.ObserveComplete(2, 2)
			f.UpdateCatalog(&topol.Catalog{Version: 7})
			f.MergeEvacuations(Evacuations{At: Position{Era: 2, Next: 9}}, Position{Era: 2, Next: 9})
			f.MergeEvacuations(Evacuations{At: Position{Era: 2, Next: 9}}, Position{})
			time.Sleep(2 * peerCheckInterval)
			synctest.Wait()
			test.SliceEmpty(t, s.made())
			served.Store(false)
			time.Sleep(2 * peerCheckInterval)
			synctest.Wait()
			test.Eq(t, c.calls, s.made(), test.Sprint(c.name))
			test.Eq(t, 7, f.Catalog().Version)
			test.Eq(t, c.confirmed, f.CatalogConfirmedAt() > 0)
		})
	}
}

func TestFollowReadsTheNewestAfterATrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		f := followScript(t, s)
		must.Eq(t, 4, f.Catalog().Version)
		must.SliceLen(t, 6, s.made())
		test.Eq(t, []string{"newest", "read", "read", "read", "newest", "read"}, s.made())
	})
}
