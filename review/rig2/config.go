//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"time"

	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/pkg/ident"
	"laburnumstack.org/laburnum/platform/wire"
)

// host is the host of all routes.
const host = "portal.example"

// mapRoute is a route of the idempotent lookups of the sheet.
func mapRoute(name ident.RouteName, prefix string) wire.Route {
	return wire.Route{Name: name, Host: host, Prefix: prefix, Kind: "idempotent", TimeoutMS: 2000, TargetMS: 300, Priority: 2, Service: "portal-locacao", Attempts: 2}
}

// streamRoute is a route of the streams of the sheet.
func streamRoute(name ident.RouteName, prefix string, timeoutMS, targetMS, gapMS int64) wire.Route {
	return wire.Route{Name: name, Host: host, Prefix: prefix, Kind: "streaming", TimeoutMS: timeoutMS, TargetMS: targetMS, GapMS: gapMS, Priority: 1, Service: "assistente-dutos",
		Attempts: 2, Resumable: true}
}

// tenants are the tenants with their keys.
var tenants = []struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
}{
	{"operadora-a", []string{"key-of-a"}},
	{"operadora-b", []string{"key-of-b"}},
	{"operadora-c", []string{"key-of-c"}},
}

// configure writes a version of the configuration as the operator does.
func (r *rig) configure(version int, routes ...wire.Route) {
	doc := map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "portal-locacao", "health_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": "assistente-dutos", "health_path": "/health", "connection_limit": 264, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kv_capacity_tokens": 315000, "kv_token_bytes": 163840, "link_mbps": 400000.0, "stride": 51, "models": []any{map[string]any{"name": "m"}},
				"step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
				"usual": map[string]any{"prompt": 11104, "answer": 1622}, "hop_ms": 0.05}},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
	b, err := json.Marshal(doc)
	if err != nil {
		r.fail("configuration: %v", err)
	}
	r.put(feeds.Configuration, "config", string(b))
	r.note("version %d of the configuration is acknowledged", version)
}

// addPortal starts the three servers of the portal, one in each zone.
func (r *rig) addPortal() []*server {
	var ss []*server
	for _, z := range zones {
		ss = append(ss, r.addServer(&server{id: "i-portal-" + z.name, service: "portal-locacao", zone: z.name, slots: 6, work: portalWork}))
	}
	return ss
}

// addEngines starts model servers, by turns in the zones.
func (r *rig) addEngines(n int, stream func(path string) (events int, pause time.Duration)) []*server {
	var ss []*server
	for i := range n {
		z := zones[i%len(zones)].name
		ss = append(ss, r.addServer(&server{id: fmt.Sprintf("i-engine-%s-%d", z, i/len(zones)), service: "assistente-dutos", zone: z, slots: 16, streams: true, stream: stream}))
	}
	return ss
}
