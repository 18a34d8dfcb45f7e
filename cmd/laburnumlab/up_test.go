package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/cmds"
	"laburnumstack.org/laburnum/internal/lab/fleet"
	"laburnumstack.org/laburnum/pkg/ident"
)

// client uses a new connection for each call, so that stopping the fleet doesn't
// wait for idle connections.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends an example call to the first node, and returns the status and the
// body of the response.
func send(t *testing.T, info upInfo, e exampleCall, idempotencyKey string) (int, string) {
	req, err := http.NewRequest(e.Method, "http://"+info.Callers[0]+e.Path, strings.NewReader(e.Body))
	must.NoError(t, err)
	req.Host = e.Host
	req.Header.Set("Authorization", "Bearer "+info.Keys[ident.SortedKeys(info.Keys)[0]])
	req.Header.Set("Idempotency-Key", idempotencyKey)
	resp, err := client.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp.StatusCode, string(raw)
}

func TestFleetAnswersExampleCalls(t *testing.T) {
	for _, name := range []string{"duct", "grozs"} {
		plan, err := planOf(name)
		must.NoError(t, err)
		f := &fleet.Fleet{Plan: plan, Seed: 1, Logger: zerolog.Nop()}
		must.NoError(t, f.Start(context.Background()))
		info := newUpInfo(f)
		status, body := send(t, info, info.Booking, "once")
		test.Eq(t, http.StatusCreated, status, test.Sprint(body))
		status, body = send(t, info, info.Status, "")
		test.Eq(t, http.StatusOK, status, test.Sprint(body))
		resp, err := client.Get("http://" + info.Runs)
		must.NoError(t, err)
		var runs map[string]int
		must.NoError(t, json.NewDecoder(resp.Body).Decode(&runs))
		resp.Body.Close()
		test.Eq(t, map[string]int{"once": 1}, runs)
		test.MapLen(t, len(plan.Workspaces), info.Keys)
		must.NoError(t, f.Stop())
	}
}

func TestInvalidArgumentsExitWithUsage(t *testing.T) {
	cases := [][]string{
		{"demo", "--fleet", "other"},
		{"demo", "--for", "1h"},
		{"load", "--caller", "a", "--key", "noname", "--model", "m"},
		{"load", "--caller", "a", "--key", "w=k", "--model", "m", "--mix", "9x:1"},
		{"experiment", "route", "--seeds", "0"},
		{"experiment", "overload", "--load", "0"},
		{"nothing"},
	}
	for _, c := range cases {
		test.Eq(t, cmds.ExitUsage, commands.Run(c), test.Sprint(c))
	}
}
