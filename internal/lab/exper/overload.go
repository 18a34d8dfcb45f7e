package exper

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"text/tabwriter"
	"time"

	"laburnumstack.org/laburnum/internal/coord/admit"
	"laburnumstack.org/laburnum/internal/coord/route"
	"laburnumstack.org/laburnum/internal/lab/load"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	workspaces = 10
	// largePercent of the prompts come from the first workspace.
	largePercent = 60
	// noLimit stands for limits that an experiment doesn't reach.
	noLimit = 1 << 40
)

// uses counts what the workspaces have in flight. All weigh the same.
type uses struct {
	rnd  *rand.Rand
	mine [workspaces]admit.InFlight
	all  admit.InFlight
}

func newUses(seed uint64) uses { return uses{rnd: rand.New(rand.NewPCG(seed, 0x7773))} }

// pick returns a random workspace, the first one more often.
func (u *uses) pick() int {
	if u.rnd.IntN(100) < largePercent {
		return 0
	}
	return 1 + u.rnd.IntN(workspaces-1)
}

func (u *uses) begin(w int, n ident.Tokens) {
	u.mine[w].Requests++
	u.mine[w].Tokens += n
	u.all.Requests++
	u.all.Tokens += n
}

func (u *uses) end(w int, n ident.Tokens) {
	u.mine[w].Requests--
	u.mine[w].Tokens -= n
	u.all.Requests--
	u.all.Tokens -= n
}

// active returns the number of workspaces with requests in flight, w among
// them.
func (u *uses) active(w int) int {
	n := 0
	for i, m := range u.mine {
		if m.Requests > 0 || i == w {
			n++
		}
	}
	return n
}

func workspaceName(i int) ident.WorkspaceName {
	return ident.WorkspaceName(fmt.Sprintf("workspace-%d", i))
}

// admit takes or refuses the prompt and notes a refusal.
func (p *prompt) admit(c route.Choice, cs []route.Candidate) bool {
	r := p.node.run
	ok := true
	if r.Admit {
		d := admit.Decide(admit.Input{
			Prompt: p.length.Tokens, Remaining: r.Limit,
			FirstToken: c.FirstToken, LastToken: c.LastToken, Wait: max(0, c.FirstToken-route.EstimateFirstTokenIdle(cs[c.Index], p.query)),
			WorkspaceInFlight: r.uses.mine[p.workspace], FleetInFlight: r.uses.all,
			Weight: 1, TotalWeight: r.uses.active(p.workspace),
			MaxRequests: noLimit, MaxTokens: noLimit,
		})
		ok = d.Admit
		if !ok {
			r.refuse(p, string(d.Code))
		}
	}
	if ok {
		r.uses.begin(p.workspace, p.length.Tokens)
	}
	return ok
}

func (r *routing) refuse(p *prompt, code string) {
	at := p.began.Sub(r.start)
	if at < warmUp {
		return
	}
	r.results = append(r.results, load.Result{
		Kind: load.Prompt, Class: p.length.Name, At: at, Code: code,
		Outcome: ident.NotRun, Workspace: workspaceName(p.workspace),
	})
}

// Overload is what became of a load above or below capacity.
type Overload struct {
	LoadPercent int
	Admit       bool
	// Goodput is the prompt tokens a second that ended within the limit.
	Goodput float64
	// Late counts admitted prompts that did not.
	Late, Answered, Refused int
	// LateBy counts the late ones by class.
	LateBy map[string]int
	// SmallRefused is the refused share of the prompts of small workspaces
	// in percent, LargeRefused that of the large one.
	SmallRefused, LargeRefused float64
	// Short is the time to first token of the shortest class.
	Short load.Spread
}

// RunOverload drives the loads with and without admission.
func RunOverload(x Routing, loads []int, limit time.Duration) []Overload {
	out := make([]Overload, 2*len(loads))
	var wg sync.WaitGroup
	for i := range out {
		y := x
		y.LoadPercent, y.Admit, y.Limit = loads[i/2], i%2 == 0, limit
		wg.Go(func() { out[i] = y.overload() })
	}
	wg.Wait()
	return out
}

func (x Routing) overload() Overload {
	rs := x.Run(route.Estimated{})
	o := Overload{LoadPercent: x.LoadPercent, Admit: x.Admit}
	o.Short = load.Summarize(x.Lengths, rs).First[x.Lengths[0].Name]
	var sent, refused [2]float64
	tokens := 0.0
	for _, r := range rs {
		group := 1
		if r.Workspace == workspaceName(0) {
			group = 0
		}
		sent[group]++
		switch {
		case r.Outcome == ident.NotRun:
			refused[group]++
			o.Refused++
		case r.Took > x.Limit:
			o.Late++
			if o.LateBy == nil {
				o.LateBy = map[string]int{}
			}
			o.LateBy[r.Class]++
		default:
			o.Answered++
			tokens += float64(x.tokensOf(r.Class))
		}
	}
	o.Goodput = tokens / (x.For - warmUp).Seconds()
	o.LargeRefused, o.SmallRefused = 100*refused[0]/max(1, sent[0]), 100*refused[1]/max(1, sent[1])
	return o
}

func (x Routing) tokensOf(class string) ident.Tokens {
	for _, l := range x.Lengths {
		if l.Name == class {
			return l.Tokens
		}
	}
	return 0
}

// WriteOverload writes the rows side by side.
func WriteOverload(w io.Writer, os []Overload) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tadmission\tgoodput M tokens/s\tanswered\tlate\trefused\tlarge refused\tsmall refused\t1k p50\t1k p95\tlate by class")
	for _, o := range os {
		fmt.Fprintf(t, "%d%%\t%t\t%.2f\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t%s\t%s\t%v\n", o.LoadPercent, o.Admit, o.Goodput/1e6,
			o.Answered, o.Late, o.Refused, o.LargeRefused, o.SmallRefused, ms(o.Short.P50), ms(o.Short.P95), o.LateBy)
	}
	t.Flush()
}
