package feeds

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against CONFIG: a key that was taken away is accepted while a node reads the versions
// that it missed, since each of their pages counts as the newest state.
func TestOnlyTheEndOfTheStreamConfirmsTheConfiguration(t *testing.T) {
	const answer = 240 * time.Millisecond
	page := func(next, end ident.Offset, version string) func() (Page, error) {
		return func() (Page, error) {
			time.Sleep(answer)
			return Page{Records: []Record{record("config", version)}, Next: next, End: end, Era: 1}, nil
		}
	}
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{responses: []func() (Page, error){page(1, 1, "1"), page(11, 19, "11"), page(19, 19, "19")}}
		f := newFeeds()
		f.Source = s
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go (&follower{feeds: f, stream: Configuration, apply: f.applyConfig}).run(ctx)
		var confirmedAt [3]clock.Instant
		var evacuationsAt [3]clock.Instant
		for i, want := range []ident.Version{1, 11, 19} {
			time.Sleep(answer)
			synctest.Wait()
			must.Eq(t, want, f.Catalog().Version, must.Sprint("each page is put in force"))
			confirmedAt[i], evacuationsAt[i] = f.CatalogConfirmedAt(), f.EvacuationsConfirmedAt()
		}
		test.Eq(t, confirmedAt[0], confirmedAt[1], test.Sprint("more versions follow"))
		test.Eq(t, evacuationsAt[0], evacuationsAt[1], test.Sprint("and evacuations may"))
		test.Less(t, confirmedAt[2], confirmedAt[1])
		test.Less(t, evacuationsAt[2], evacuationsAt[1])
	})
}

// Guards against DRAIN: a list of endpoints counts as the newest, here and at peers, while records
// of leaving endpoints are still to be read, and pages follow each other as slowly as reads do.
func TestOnlyTheEndOfTheStreamConfirmsTheEndpoints(t *testing.T) {
	page := func(next, end ident.Offset, rs ...Record) func() (Page, error) {
		return func() (Page, error) { return Page{Records: rs, Next: next, End: end, Era: 1}, nil }
	}
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{responses: []func() (Page, error){
			page(2, 2, record("a", "s up"), record("b", "s up")),
			page(3, 5, record("a", "s leaving")), page(3, 5), page(5, 5, record("b", "s leaving")),
		}}
		f := newFeeds()
		f.Source = s
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go (&follower{feeds: f, stream: Endpoints, interval: endpointsInterval, apply: f.applyEndpoints}).run(ctx)
		synctest.Wait()
		first := f.EndpointsConfirmedAt()
		must.Positive(t, first)
		time.Sleep(endpointsInterval)
		synctest.Wait()
		test.SliceLen(t, 3, s.made(), test.Sprint("the next page is read at once, an empty one doesn't repeat at once"))
		test.Eq(t, "a- b", f.names("s"))
		test.Eq(t, first, f.EndpointsConfirmedAt())
		time.Sleep(minRetryPause)
		synctest.Wait()
		test.Eq(t, "a- b-", f.names("s"))
		test.Less(t, f.EndpointsConfirmedAt(), first)
	})
}

// Guards against a node that never trusts its configuration, since records are appended faster
// than it reaches the end of the stream.
func TestStreamThatGrowsWhileItIsReadIsConfirmed(t *testing.T) {
	c := &cursor{next: unknownOffset}
	read := func(next, end ident.Offset, at clock.Instant) clock.Instant {
		p := Page{Next: next, End: end, Era: 1}
		c.advance(p)
		return c.confirm(p, at)
	}
	test.Eq(t, at(0), read(1, 1, at(0)))
	for _, step := range []struct {
		next, end  ident.Offset
		at, wanted clock.Instant
	}{
		{5, 10, at(1), 0},
		{9, 20, at(2), 0},
		// The end that the first page showed is reached.
		{14, 30, at(3), at(1)},
		{28, 40, at(4), 0},
		{33, 50, at(5), at(3)},
		{50, 50, at(6), at(6)},
		{51, 60, at(7), 0},
		{60, 60, at(8), at(8)},
	} {
		test.Eq(t, step.wanted, read(step.next, step.end, step.at), test.Sprint("at ", step.at))
	}
}

// Guards against orders of appends, pages and losses of the store in which a state is confirmed as
// of a time at which the store had acknowledged more than the node has read.
func TestConfirmedStreamIsReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cursor{next: unknownOffset}
		now, end, era := at(0), ident.Offset(0), uint64(1)
		// ends holds the end of the stream at each time of the present era.
		ends := map[clock.Instant]ident.Offset{}
		pass := func() {
			now++
			ends[now] = end
		}
		pass()
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"append", "append", "read", "read", "read", "lose", "trim"}).Draw(t, "step"+strconv.Itoa(i)) {
			case "append":
				end += ident.Offset(rapid.IntRange(1, 5).Draw(t, "records"))
			case "lose":
				end -= min(end, ident.Offset(rapid.IntRange(0, 3).Draw(t, "lost")))
				era++
				clear(ends)
			case "trim":
				c.next = unknownOffset
			case "read":
				began := now
				pass()
				p := Page{Next: end, End: end, Era: era}
				if c.next != unknownOffset && c.next < end {
					p.Next = min(end, c.next+ident.Offset(rapid.IntRange(0, 4).Draw(t, "page")))
				}
				if kind := c.advance(p); kind == readAgain || kind == outdated {
					break
				}
				asOf := c.confirm(p, began)
				if known, ok := ends[asOf]; ok && c.next < known {
					t.Fatalf("confirmed as of %v with records up to %d, but the stream ended at %d", asOf, c.next, known)
				}
				if p.Next == p.End && asOf != began {
					t.Fatalf("the end of the stream is reached and not confirmed")
				}
			}
			pass()
		}
	})
}
