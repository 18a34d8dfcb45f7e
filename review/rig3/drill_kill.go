//go:build review3

package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["drill-kill"] = drillKill }

// drillKill checks the revocation of a key while the store comes back from a copy and all nodes are killed.
func drillKill(r *rig) (bool, error) {
	var mu sync.Mutex
	var revokedAt time.Time
	late := 0
	sentAt := map[string]time.Time{}
	for _, z := range []string{"poa-a", "poa-b", "canoas-c"} {
		s := r.newServer("i-"+z, z, 5*time.Millisecond, func(*http.Request) []byte { return []byte("ok") })
		s.onRun = func(id string, _ *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			at, ok := sentAt[id]
			if ok && !revokedAt.IsZero() && at.Sub(revokedAt) > revokeTime {
				late++
				r.printf("%s runs %s, sent %.2f s after its key was taken away", s.id, id, at.Sub(revokedAt).Seconds())
			}
		}
	}
	routes := []map[string]any{route("read", "idempotent", 4*time.Second)}
	r.store.put(topicOperator, "config", r.newConfig(routes, "key-1", "key-2"))
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		wg.Go(func() {
			c := &client{address: n.address()}
			defer func() { c.close() }()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if c.connect() != nil {
					continue
				}
				id := newID()
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				if c.send("GET", "/read/x", id, "key-2", 2*time.Second) != nil {
					c.close()
					continue
				}
				res, err := c.response("GET")
				if err != nil {
					c.close()
					continue
				}
				b := make([]byte, 16)
				res.Body.Read(b)
				res.Body.Close()
				if res.Close {
					c.close()
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	backup := r.store.copyOf()
	time.Sleep(200 * time.Millisecond)
	revocation := r.newConfig(routes, "key-1")
	at := r.store.put(topicOperator, "config", revocation)
	mu.Lock()
	revokedAt = at
	mu.Unlock()
	r.printf("key-2 is taken away")
	time.Sleep(revokeTime + 200*time.Millisecond)
	if r.trouble {
		r.store.setDown(true)
		for _, n := range r.nodes {
			n.kill()
		}
		r.store.restore(backup)
		r.store.setDown(false)
		r.printf("the store is back from a copy that is %.1f s old", time.Since(revokedAt).Seconds()+0.2)
		for _, s := range r.servers {
			s.publish("ready")
		}
		for _, n := range r.nodes {
			n.start()
		}
		time.Sleep(time.Second)
		r.store.put(topicOperator, "config", revocation)
		r.printf("the operator has written again what was lost")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	r.printf("%d requests ran that were sent later than %v after the revocation", late, revokeTime)
	return late > 0, nil
}
