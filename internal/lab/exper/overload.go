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
	workspaceCount = 10
	// largeWorkspacePercent is the percentage of prompts from the first
	// workspace, which is the large one.
	largeWorkspacePercent = 60
	// noLimit is a limit on the requests and tokens of a workspace that no
	// experiment reaches.
	noLimit = 1 << 40
)

// workspaces picks the workspaces of prompts and counts the requests and prompt
// tokens in flight, of each workspace and in total. All workspaces have the same
// weight.
type workspaces struct {
	rnd           *rand.Rand
	inFlight      [workspaceCount]admit.InFlight
	totalInFlight admit.InFlight
}

func newWorkspaces(seed uint64) workspaces {
	return workspaces{rnd: rand.New(rand.NewPCG(seed, 0x7773))}
}

// pickWorkspace returns the index of a random workspace. The first one is chosen
// for largeWorkspacePercent of the prompts, the others equally often.
func (ws *workspaces) pickWorkspace() int {
	if ws.rnd.IntN(100) < largeWorkspacePercent {
		return 0
	}
	return 1 + ws.rnd.IntN(workspaceCount-1)
}

func (ws *workspaces) add(w int, n ident.Tokens) {
	ws.inFlight[w].Requests++
	ws.inFlight[w].Tokens += n
	ws.totalInFlight.Requests++
	ws.totalInFlight.Tokens += n
}

func (ws *workspaces) remove(w int, n ident.Tokens) {
	ws.inFlight[w].Requests--
	ws.inFlight[w].Tokens -= n
	ws.totalInFlight.Requests--
	ws.totalInFlight.Tokens -= n
}

// activeWorkspaces returns the number of workspaces with requests in flight. It
// always counts w.
func (ws *workspaces) activeWorkspaces(w int) int {
	n := 0
	for i, counts := range ws.inFlight {
		if counts.Requests > 0 || i == w {
			n++
		}
	}
	return n
}

func workspaceName(i int) ident.WorkspaceName {
	return ident.WorkspaceName(fmt.Sprintf("workspace-%d", i))
}

// admit reports whether the prompt is admitted, and counts it as in flight or
// records its rejection. Without admission control every prompt is admitted.
func (p *prompt) admit(c route.Choice, cs []route.Candidate) bool {
	r := p.node.scenario
	ok := true
	if r.AdmissionControl {
		d := admit.Decide(admit.Input{
			Prompt: p.class.Tokens, TimeLeft: r.TimeLimit,
			FirstToken: c.FirstToken, LastToken: c.LastToken, Wait: max(0, c.FirstToken-route.EstimateFirstTokenIdle(cs[c.Index], p.request)),
			WorkspaceInFlight: r.workspaces.inFlight[p.workspace], FleetInFlight: r.workspaces.totalInFlight,
			Weight: 1, TotalWeight: r.workspaces.activeWorkspaces(p.workspace),
			MaxRequests: noLimit, MaxTokens: noLimit,
		})
		ok = d.Admit
		if !ok {
			r.recordRejection(p, string(d.Code))
		}
	}
	if ok {
		r.workspaces.add(p.workspace, p.class.Tokens)
	}
	return ok
}

func (r *scenarioRun) recordRejection(p *prompt, code string) {
	at := p.arrived.Sub(r.start)
	if at < warmUp {
		return
	}
	r.results = append(r.results, load.Result{
		Kind: load.Prompt, Class: p.class.Name, At: at, Code: code,
		Outcome: ident.NotRun, Workspace: workspaceName(p.workspace),
	})
}

// OverloadResult is the result of one load, with or without admission control.
// It counts only prompts that arrived after the warm-up.
type OverloadResult struct {
	LoadPercent      int
	AdmissionControl bool
	// Goodput is the number of prompt tokens per second in prompts that ended
	// within the time limit.
	Goodput float64
	// Late counts the admitted prompts that ended after the time limit, Answered
	// those that ended within it and Rejected the rejected prompts. Prompts that
	// had not ended when the simulation did are in none of them.
	Late, Answered, Rejected int
	// LateByClass counts the late prompts by class.
	LateByClass map[string]int
	// SmallRejectedPercent is the percentage of the prompts of small workspaces
	// that were rejected, LargeRejectedPercent that of the large workspace.
	SmallRejectedPercent, LargeRejectedPercent float64
	// ShortestClassFirstToken is the time to first token of the first class
	// of the mix, which has the shortest prompts in the default mix.
	ShortestClassFirstToken load.Latency
}

// RunOverload runs the base scenario at each load, with and without admission
// control. Loads are in percent of the engines' capacity; timeLimit is that of
// each prompt. For each load, the result with admission control comes first.
func RunOverload(base Scenario, loads []int, timeLimit time.Duration) []OverloadResult {
	out := make([]OverloadResult, 2*len(loads))
	var wg sync.WaitGroup
	for i := range out {
		scenario := base
		scenario.LoadPercent, scenario.AdmissionControl, scenario.TimeLimit = loads[i/2], i%2 == 0, timeLimit
		wg.Go(func() { out[i] = scenario.runOverload() })
	}
	wg.Wait()
	return out
}

func (s Scenario) runOverload() OverloadResult {
	rs := s.Run(route.ByEstimate{})
	result := OverloadResult{LoadPercent: s.LoadPercent, AdmissionControl: s.AdmissionControl}
	result.ShortestClassFirstToken = load.Summarize(s.Mix, rs).First[s.Mix[0].Name]
	var sent, rejected [2]float64
	tokens := 0.0
	for _, r := range rs {
		group := 1
		if r.Workspace == workspaceName(0) {
			group = 0
		}
		sent[group]++
		switch {
		case r.Outcome == ident.NotRun:
			rejected[group]++
			result.Rejected++
		case r.Took > s.TimeLimit:
			result.Late++
			if result.LateByClass == nil {
				result.LateByClass = map[string]int{}
			}
			result.LateByClass[r.Class]++
		default:
			result.Answered++
			tokens += float64(s.promptTokens(r.Class))
		}
	}
	result.Goodput = tokens / (s.Duration - warmUp).Seconds()
	result.LargeRejectedPercent, result.SmallRejectedPercent = 100*rejected[0]/max(1, sent[0]), 100*rejected[1]/max(1, sent[1])
	return result
}

func (s Scenario) promptTokens(class string) ident.Tokens {
	for _, c := range s.Mix {
		if c.Name == class {
			return c.Tokens
		}
	}
	return 0
}

// WriteOverload writes the results as a table.
func WriteOverload(w io.Writer, results []OverloadResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tadmission\tgoodput M tokens/s\tanswered\tlate\trefused\tlarge refused\tsmall refused\t1k p50\t1k p95\tlate by class")
	for _, r := range results {
		fmt.Fprintf(t, "%d%%\t%t\t%.2f\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t%s\t%s\t%v\n", r.LoadPercent, r.AdmissionControl, r.Goodput/1e6,
			r.Answered, r.Late, r.Rejected, r.LargeRejectedPercent, r.SmallRejectedPercent, formatDuration(r.ShortestClassFirstToken.P50), formatDuration(r.ShortestClassFirstToken.P95), r.LateByClass)
	}
	t.Flush()
}
