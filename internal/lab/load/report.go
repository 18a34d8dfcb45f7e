package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxRecordedMicros is the longest duration, in microseconds, that a Latency
	// includes; longer ones are left out.
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency summarizes durations by their number and percentiles.
type Latency struct {
	Count         int64
	P50, P95, P99 time.Duration
}

// Report summarizes the results of a load.
type Report struct {
	// First is the time to first token by prompt class.
	First map[string]Latency
	// Took is the duration of the requests with a complete response, by kind.
	Took map[Kind]Latency
	// Outcomes counts requests by kind and outcome.
	Outcomes map[Kind]map[ident.Outcome]int
	// Codes counts rejected and failed requests by error code.
	Codes map[string]int
	// Unanswered counts the requests that got neither an answer nor a refusal before
	// their connection ended, by kind.
	Unanswered map[Kind]int
	// Classes lists the names of the prompt classes in the order of the mix.
	Classes []string
}

// Summarize returns the report of a load with prompts of the given classes.
func Summarize(mix []PromptClass, rs []Result) Report {
	rep := Report{First: map[string]Latency{}, Took: map[Kind]Latency{}, Outcomes: map[Kind]map[ident.Outcome]int{}, Codes: map[string]int{}, Unanswered: map[Kind]int{}}
	for _, c := range mix {
		rep.Classes = append(rep.Classes, c.Name)
		rep.First[c.Name] = latencyOf(rs, func(r Result) (time.Duration, bool) { return r.First, r.Class == c.Name && r.First > 0 })
	}
	for _, k := range []Kind{Prompt, Booking, Status} {
		rep.Took[k] = latencyOf(rs, func(r Result) (time.Duration, bool) { return r.Took, r.Kind == k && r.Whole })
		rep.Outcomes[k] = map[ident.Outcome]int{}
	}
	for _, r := range rs {
		rep.Outcomes[r.Kind][r.outcome()]++
		if r.Unanswered {
			rep.Unanswered[r.Kind]++
		}
		if r.Code != "" {
			rep.Codes[r.Code]++
		}
	}
	return rep
}

// outcome returns the outcome that the caller received, or Unknown if it
// received none.
func (r Result) outcome() ident.Outcome {
	if r.Outcome == "" {
		return ident.Unknown
	}
	return r.Outcome
}

func latencyOf(rs []Result, value func(Result) (time.Duration, bool)) Latency {
	h := hdrhistogram.New(1, maxRecordedMicros, significantDigits)
	for _, r := range rs {
		if d, ok := value(r); ok {
			h.RecordValue(max(1, d.Microseconds()))
		}
	}
	percentile := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Latency{Count: h.TotalCount(), P50: percentile(50), P95: percentile(95), P99: percentile(99)}
}

// Ratio compares two latencies at the median and the 95th percentile.
type Ratio struct {
	P50, P95 float64
}

// RatioOf returns the latency a divided by the latency b. A ratio is zero if the
// percentile of b is zero, as it is without samples.
func RatioOf(a, b Latency) Ratio {
	return Ratio{quotient(a.P50, b.P50), quotient(a.P95, b.P95)}
}

func quotient(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// WriteText writes the report as text tables.
func (r Report) WriteText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "time to first token\tcount\tp50\tp95\tp99")
	for _, c := range r.Classes {
		writeLatency(t, c, r.First[c])
	}
	fmt.Fprintln(t, "\nwhole answer\tcount\tp50\tp95\tp99")
	for _, k := range []Kind{Prompt, Booking, Status} {
		writeLatency(t, string(k), r.Took[k])
	}
	fmt.Fprintln(t, "\noutcome\tanswered\tnot-run\tunknown")
	for _, k := range []Kind{Prompt, Booking, Status} {
		o := r.Outcomes[k]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", k, o[ident.Answered], o[ident.NotRun], o[ident.Unknown])
	}
	t.Flush()
	for _, k := range ident.SortedKeys(r.Unanswered) {
		fmt.Fprintf(w, "%s without an answer or a refusal: %d\n", k, r.Unanswered[k])
	}
	if len(r.Codes) > 0 {
		fmt.Fprintln(w, "\nrefusals and failures by code:")
		for _, c := range ident.SortedKeys(r.Codes) {
			fmt.Fprintf(w, "  %s %d\n", c, r.Codes[c])
		}
	}
}

func writeLatency(w io.Writer, name string, l Latency) {
	if l.Count == 0 {
		fmt.Fprintf(w, "%s\t0\t-\t-\t-\n", name)
		return
	}
	fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", name, l.Count, formatDuration(l.P50), formatDuration(l.P95), formatDuration(l.P99))
}

func formatDuration(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
