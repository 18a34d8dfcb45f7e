//go:build review3

package main

import (
	"fmt"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
	"laburnumstack.org/laburnum/platform/wire"
)

func init() { cases["missed-versions"] = missedVersions }

const (
	// addedRoutes is the largest number of routes by which the small deployments' configuration grows.
	addedRoutes = 390
	// stormTime and stormPause are those of one series of configurations of a small deployment.
	stormTime  = 3100 * time.Millisecond
	stormPause = 180 * time.Millisecond
	// awayTime is the longest time for which the store turns machines away.
	awayTime = 9 * time.Second
	// slowAnswer and slowTime are the largest dose of a slow store on the small deployments: 60 times 4 ms.
	slowAnswer = 240 * time.Millisecond
	slowTime   = 4500 * time.Millisecond
)

// missedVersions checks the revocation of a key at the last node that is left, which the store has
// turned away while the operator wrote many versions, and which reads them from a slow store.
func missedVersions(r *rig) (bool, error) {
	u := newKeyUse(r)
	routes := []wire.Route{route("read", topol.Idempotent, 4*time.Second)}
	for i := range addedRoutes {
		routes = append(routes, route(ident.RouteName(fmt.Sprintf("added-%04d", i)), topol.Idempotent, 4*time.Second))
	}
	r.store.put(topicOperator, wire.ConfigKey, r.newConfig(routes, "key-1", "key-2"))
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	u.start("key-2")
	time.Sleep(stableWindow)
	if r.trouble {
		r.store.setDown(true)
		r.printf("the store turns the machines away")
		for _, n := range r.nodes[1:] {
			n.kill()
		}
	}
	began := time.Now()
	size := 0
	for time.Since(began) < stormTime {
		c := r.newConfig(routes, "key-1", "key-2")
		size += len(c)
		r.store.put(topicOperator, wire.ConfigKey, c)
		time.Sleep(stormPause)
	}
	u.revoked(r.store.put(topicOperator, wire.ConfigKey, r.newConfig(routes, "key-1")))
	r.printf("the operator has written %d kB of versions before that", size/1000)
	time.Sleep(time.Until(began.Add(awayTime)))
	if r.trouble {
		r.store.setDelay(slowAnswer)
		r.store.setDown(false)
		r.printf("the store serves again, and is slow")
	}
	time.Sleep(slowTime)
	r.store.setDelay(0)
	time.Sleep(time.Second)
	return u.isBroken(), nil
}
