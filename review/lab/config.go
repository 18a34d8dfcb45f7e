//go:build review

package main

import (
	"encoding/json"

	"laburnumstack.org/laburnum/platform/wire"
)

// Limits of the deployment's routes.
const (
	routeTimeoutMS = 2000
	routeTargetMS  = 300
)

// tenant is one tenant of a configuration.
type tenant struct {
	name string
	keys []string
}

// config returns a configuration with a route for bookings, which run at most once, and one for
// look-ups, which may be repeated.
func config(version uint64, tenants ...tenant) []byte {
	c := wire.Config{
		Version: version,
		Routes: []wire.Route{
			{Name: "book", Host: clientHost, Prefix: "/book/", Kind: wire.RouteKinds[0], TimeoutMS: routeTimeoutMS, TargetMS: routeTargetMS, Priority: 2, Attempts: 1, Service: "portal"},
			{Name: "map", Host: clientHost, Prefix: "/map/", Kind: wire.RouteKinds[1], TimeoutMS: routeTimeoutMS, TargetMS: routeTargetMS, Priority: 2, Attempts: 2, Service: "portal"},
		},
		Services: []wire.Service{{Name: "portal"}},
		Limits:   wire.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
	}
	for _, t := range tenants {
		c.Tenants = append(c.Tenants, wire.Tenant{Name: t.name, Keys: append([]string{}, t.keys...)})
	}
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return b
}

// clientHost is the host that clients name.
const clientHost = "portal.example"

// putConfig writes a configuration as the operator does.
func (w *world) putConfig(raw []byte) bool {
	ok := w.store.put(topicOp, wire.ConfigKey, raw)
	if ok {
		w.line("operator: the store acknowledged %s", raw)
	}
	return ok
}
