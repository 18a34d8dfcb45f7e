package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/lab/load"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

// maxLoadDuration is the maximum of --for.
const maxLoadDuration = 10 * time.Minute

// Load sends a mixed load to the caller addresses of running nodes.
type Load struct {
	Callers  []string        `long:"caller" required:"true" description:"address of a node for callers, repeatable"`
	Keys     []string        `long:"key" required:"true" description:"workspace's API key, as NAME=KEY or NAME=KEY=SHARE with its relative share of the load, repeatable"`
	Model    ident.ModelName `long:"model" required:"true" description:"model of the prompts"`
	Host     string          `long:"host" description:"Host header of bookings and status checks"`
	Prompts  float64         `long:"prompts" default:"20" description:"prompts per second"`
	Bookings float64         `long:"bookings" default:"0" description:"bookings per second"`
	Status   float64         `long:"status" default:"0" description:"status checks per second"`
	Mix      string          `long:"mix" default:"1k:700,8k:200,32k:80,128k:17,1M:3" description:"prompt lengths with their relative shares"`
	Output   ident.Tokens    `long:"output" default:"32" description:"tokens to generate for each prompt"`
	Limit    time.Duration   `long:"limit" description:"time limit of each prompt; 0 for the route's limit"`
	For      time.Duration   `long:"for" default:"10s" description:"duration of the load, at most 10m"`
	Seed     uint64          `long:"seed" default:"1" description:"seed of all random choices"`
	JSON     bool            `long:"json" description:"print the report as JSON"`
	Out      string          `long:"out" description:"directory for report.json and the plots"`
}

func init() {
	commands.Add("load", "send a mixed load to the caller addresses of running nodes", &Load{})
}

// Execute sends the load and prints a report.
func (l *Load) Execute(_ []string) error {
	p, err := l.plan()
	if err != nil {
		return &cmds.ExitError{Code: cmds.ExitUsage, Text: err.Error()}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := &load.Balancer{Pools: &conns.Pools{}}
	b.Set(l.Callers)
	b.Probe(ctx)
	if _, err := b.Pick(); err != nil {
		return err
	}
	go b.Run(ctx)
	r := &load.Runner{Plan: p, Balancer: b}
	if show := progressWriter(); show != nil {
		r.Progress = func(sent, ended int64) { show("load", sent, ended) }
	}
	results := r.Run(ctx)
	report := load.Summarize(p.Mix, results)
	if l.Out != "" {
		if err := l.save(report, results); err != nil {
			return err
		}
	}
	if l.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	report.WriteText(os.Stdout)
	return nil
}

// plan validates the options and converts them to a load.Plan.
func (l *Load) plan() (load.Plan, error) {
	p := load.Plan{
		Host: l.Host, Model: l.Model, PromptRate: l.Prompts, BookingRate: l.Bookings,
		StatusRate: l.Status, Output: l.Output, Limit: l.Limit, Duration: l.For, Seed: l.Seed,
	}
	if l.For <= 0 || l.For > maxLoadDuration {
		return p, fmt.Errorf("--for must be above 0 and at most %s", maxLoadDuration)
	}
	if l.Output < 1 {
		return p, fmt.Errorf("--output must be at least 1")
	}
	if (l.Bookings > 0 || l.Status > 0) && l.Host == "" {
		return p, fmt.Errorf("--host is needed for bookings and status checks")
	}
	for _, k := range l.Keys {
		key, err := parseKey(k)
		if err != nil {
			return p, err
		}
		p.Keys = append(p.Keys, key)
	}
	var err error
	p.Mix, err = parseMix(l.Mix)
	return p, err
}

// parseKey parses a --key option. The relative share of the load is 1 by default.
func parseKey(s string) (load.WorkspaceKey, error) {
	parts := strings.SplitN(s, "=", 3)
	k := load.WorkspaceKey{Share: 1}
	if len(parts) < 2 || parts[0] == "" || parts[1] == "" {
		return k, fmt.Errorf("--key %q must be NAME=KEY or NAME=KEY=SHARE", s)
	}
	k.Workspace, k.APIKey = ident.WorkspaceName(parts[0]), parts[1]
	if len(parts) == 3 {
		if _, err := fmt.Sscanf(parts[2], "%d", &k.Share); err != nil || k.Share < 1 {
			return k, fmt.Errorf("--key %q must have a share of at least 1", s)
		}
	}
	return k, nil
}

// parseMix parses a --mix option such as "1k:700,1M:3".
func parseMix(s string) ([]load.PromptClass, error) {
	var mix []load.PromptClass
	for part := range strings.SplitSeq(s, ",") {
		name, share, ok := strings.Cut(part, ":")
		var class load.PromptClass
		n, err := parseTokens(name)
		if !ok || err != nil {
			return nil, fmt.Errorf("--mix: %q must be LENGTH:SHARE, such as 8k:200", part)
		}
		class.Name, class.Tokens = name, n
		if _, err := fmt.Sscanf(share, "%d", &class.Share); err != nil || class.Share < 1 {
			return nil, fmt.Errorf("--mix: %q must have a share of at least 1", part)
		}
		mix = append(mix, class)
	}
	return mix, nil
}

// parseTokens parses a number of tokens from 1 to 1M with an optional unit: k for
// 1000 or M for 1000000.
func parseTokens(s string) (ident.Tokens, error) {
	var n ident.Tokens
	var unit string
	if _, err := fmt.Sscanf(s, "%d%s", &n, &unit); err != nil && unit != "" {
		return 0, err
	}
	switch unit {
	case "":
	case "k":
		n *= 1000
	case "M":
		n *= 1_000_000
	default:
		return 0, fmt.Errorf("unknown unit %q", unit)
	}
	if n < 1 || n > 1_000_000 {
		return 0, fmt.Errorf("number of tokens must be from 1 to 1M")
	}
	return n, nil
}

// save writes the report and its plots into the directory l.Out.
func (l *Load) save(report load.Report, results []load.Result) error {
	if err := os.MkdirAll(l.Out, 0o755); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(l.Out, "report.json"), raw, 0o644); err != nil {
		return err
	}
	return load.WritePlots(l.Out, report, results)
}
