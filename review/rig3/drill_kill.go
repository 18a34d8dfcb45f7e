//go:build review3

package main

import (
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/platform/wire"
)

func init() { cases["drill-kill"] = drillKill }

// drillKill checks the revocation of a key while the store comes back from a copy and all nodes are killed.
func drillKill(r *rig) (bool, error) {
	u := newKeyUse(r)
	routes := []wire.Route{route("read", topol.Idempotent, 4*time.Second)}
	r.store.put(topicOperator, wire.ConfigKey, r.newConfig(routes, "key-1", "key-2"))
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	u.start("key-2")
	time.Sleep(3 * time.Second)
	backup := r.store.copyOf()
	time.Sleep(200 * time.Millisecond)
	revocation := r.newConfig(routes, "key-1")
	at := r.store.put(topicOperator, wire.ConfigKey, revocation)
	u.revoked(at)
	time.Sleep(revokeTime + 200*time.Millisecond)
	if r.trouble {
		r.store.setDown(true)
		for _, n := range r.nodes {
			n.kill()
		}
		r.store.restore(backup)
		r.store.setDown(false)
		r.printf("the store is back from a copy that is %.1f s old", time.Since(at).Seconds()+0.2)
		for _, s := range r.servers {
			s.publish(wire.StateReady)
		}
		for _, n := range r.nodes {
			n.start()
		}
		time.Sleep(time.Second)
		r.store.put(topicOperator, wire.ConfigKey, revocation)
		r.printf("the operator has written again what was lost")
	}
	time.Sleep(3 * time.Second)
	return u.isBroken(), nil
}
