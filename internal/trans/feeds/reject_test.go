package feeds

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
)

// Guards against a line for each record of another writer, who may write as often as
// endpoints do, and against records that are rejected without a trace.
func TestRejectedEndpointRecordsAreLoggedOnceAndCounted(t *testing.T) {
	var log bytes.Buffer
	f := newFeeds()
	f.Logger = zerolog.New(&log)
	lines := func() int { return bytes.Count(log.Bytes(), []byte("cannot decode endpoint record")) }
	const beats = 50
	for i := range beats {
		f.applyEndpoints([]Record{record("x", fmt.Sprint("junk", i)), record("a", "s up")}, false, at(time.Duration(i)*time.Second), at(time.Duration(i)*time.Second))
	}
	test.Eq(t, 1, lines())
	test.Eq(t, beats, f.RejectedRecords())
	test.Eq(t, "a", f.names("s"))
	f.applyEndpoints([]Record{record("x", "junk")}, false, at(rejectionLogInterval), at(rejectionLogInterval))
	test.Eq(t, 2, lines(), test.Sprint("in the next interval"))
	for i := range 2 * maxLoggedRejections {
		f.applyEndpoints([]Record{record(fmt.Sprint("other", i), "junk")}, false, at(rejectionLogInterval+time.Second), at(rejectionLogInterval+time.Second))
	}
	test.Eq(t, 1+maxLoggedRejections, lines(), test.Sprint("names that change each time"))
	test.Eq(t, beats+1+2*maxLoggedRejections, f.RejectedRecords())
}

// Guards against a reader that stops at a record that it can't decode.
func TestRejectedRecordsDoNotHideTheOthers(t *testing.T) {
	cases := []struct {
		name     string
		rs       []Record
		complete bool
		want     string
	}{
		{"before and after others", []Record{record("c", "junk"), record("a", "s leaving"), record("d", ""), record("b", "s leaving")}, false, "a- b-"},
		{"in the complete list", []Record{record("0", "junk"), record("a", "s up"), record("b", "s up"), record("z", "junk")}, true, "a b"},
		{"the only ones of the complete list", []Record{record("0", "junk")}, true, ""},
		{"newest of an endpoint", []Record{record("a", "junk")}, false, "b"},
		{"newest but one of an endpoint", []Record{record("a", "junk"), record("a", "s up")}, false, "a b"},
		{"without a name", []Record{record("", "junk")}, false, "a b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFeeds()
			f.applyEndpoints([]Record{record("a", "s up"), record("b", "s up")}, true, at(0), at(0))
			f.applyEndpoints(c.rs, c.complete, at(time.Second), at(time.Second))
			test.Eq(t, c.want, f.names("s"))
			test.Eq(t, at(time.Second), f.EndpointsConfirmedAt())
		})
	}
}
