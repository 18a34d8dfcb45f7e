package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/lab/fleet"
	"laburnumstack.org/laburnum/pkg/ident"
)

// upDrainDelay is how long a stopping node reports not ready before it waits for
// its last requests and closes its listeners.
const upDrainDelay = time.Second

// Up runs a fleet until SIGTERM or SIGINT.
type Up struct {
	Fleet string `long:"fleet" default:"duct" description:"example fleet: duct or grozs"`
	Seed  uint64 `long:"seed" default:"1" description:"seed of the random choices of the stand-ins"`
	JSON  bool   `long:"json" description:"print the addresses and keys as one JSON object"`
	Logs  bool   `long:"logs" description:"write the nodes' logs to standard error"`
}

// upInfo holds the addresses, keys and example calls of a running fleet. It is
// printed as JSON, so its field names are part of the output.
type upInfo struct {
	Callers []string
	Admins  []string
	Log     string
	VMs     string
	Token   string
	Keys    map[ident.WorkspaceName]string
	Booking exampleCall
	Status  exampleCall
	Model   ident.ModelName
	// Runs is the address that returns how often each booking ran.
	Runs    string
	Engines []string
}

// exampleCall is an example of an HTTP request that succeeds at the fleet.
type exampleCall struct {
	Method string
	Host   string
	Path   string
	Body   string
}

func init() {
	commands.Add("up", "run a fleet until SIGTERM or SIGINT", &Up{})
}

// Execute starts the fleet, prints its addresses and keys, and stops it on SIGTERM
// or SIGINT.
func (u *Up) Execute(_ []string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	plan, err := planOf(u.Fleet)
	if err != nil {
		return err
	}
	logger := zerolog.Nop()
	if u.Logs {
		logger = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	f := &fleet.Fleet{Plan: plan, Seed: u.Seed, Logger: logger, DrainDelay: upDrainDelay}
	if err := f.Start(context.Background()); err != nil {
		return err
	}
	if err := u.print(newUpInfo(f)); err != nil {
		return err
	}
	<-ctx.Done()
	return f.Stop()
}

// planOf returns the plan of the example fleet with the given name, or a usage
// error if there is none.
func planOf(name string) (fleet.Plan, error) {
	p, err := fleet.PlanOf(name)
	if err != nil {
		return p, &cmds.ExitError{Code: cmds.ExitUsage, Text: fmt.Sprintf("--fleet %q: %v", name, err)}
	}
	return p, nil
}

// newUpInfo returns the addresses, keys and example calls of a running fleet.
func newUpInfo(f *fleet.Fleet) upInfo {
	info := upInfo{
		Callers: f.CallerAddrs(), Admins: f.AdminAddrs(), Log: f.Log.Address, VMs: f.VMs.Address,
		Token: f.AdminToken, Keys: map[ident.WorkspaceName]string{},
		Booking: exampleCall{"POST", f.Plan.Host, "/bookings", `{"Segment":17}`},
		Status:  exampleCall{"GET", f.Plan.Host, "/bookings/17", ""},
		Model:   f.Plan.Model, Runs: f.RunsServer.Address,
	}
	for _, w := range f.Plan.Workspaces {
		info.Keys[w.Name] = w.Key()
	}
	for _, e := range f.Engines {
		info.Engines = append(info.Engines, e.Address)
	}
	return info
}

// print prints the information as JSON, or as text with example commands.
func (u *Up) print(info upInfo) error {
	if u.JSON {
		return json.NewEncoder(os.Stdout).Encode(info)
	}
	key := firstWorkspaceKey(info)
	fmt.Printf("callers   %v\nadmins    %v\nlog       %s\nruns      %s\nmodel     %s\n", info.Callers, info.Admins, info.Log, info.Runs, info.Model)
	fmt.Printf("\ncurl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n  -d '{\"model\":%q,\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", info.Callers[0], key, info.Model)
	fmt.Printf("\ncurl http://%s%s -H 'Host: %s' -H 'Authorization: Bearer %s' -H 'Idempotency-Key: first' -d '%s'\n", info.Callers[0], info.Booking.Path, info.Booking.Host, key, info.Booking.Body)
	fmt.Printf("\nlaburnumctl --admin %s --token %s config show\n", info.Admins[0], info.Token)
	return nil
}

// firstWorkspaceKey returns the API key of the first workspace in name order.
func firstWorkspaceKey(info upInfo) string {
	return info.Keys[ident.SortedKeys(info.Keys)[0]]
}
