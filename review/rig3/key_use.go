//go:build review3

package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// keyPause is the pause of a client between two requests with the key.
const keyPause = 20 * time.Millisecond

// keyUse are clients that use a key all the time, and servers that tell which of their requests ran.
type keyUse struct {
	rig  *rig
	stop chan struct{}
	wg   sync.WaitGroup

	mu        sync.Mutex
	sentAt    map[string]time.Time
	revokedAt time.Time
	// late counts the requests that ran although they were sent later than revokeTime after the key
	// was taken away.
	late int
}

// newKeyUse starts a server in each zone.
func newKeyUse(r *rig) *keyUse {
	u := &keyUse{rig: r, stop: make(chan struct{}), sentAt: map[string]time.Time{}}
	for _, z := range []string{"poa-a", "poa-b", "canoas-c"} {
		s := r.newServer("i-"+z, z, 5*time.Millisecond, func(*http.Request) []byte { return []byte("ok") })
		s.onRun = func(id string, _ *http.Request) { u.ran(s.id, id) }
	}
	return u
}

func (u *keyUse) ran(server, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.sentAt[id]
	if !ok || u.revokedAt.IsZero() || at.Sub(u.revokedAt) <= revokeTime {
		return
	}
	u.late++
	u.rig.printf("%s: %s ran too late, sent %.2f s after its key was taken away", server, id, at.Sub(u.revokedAt).Seconds())
}

// start starts a client at each node.
func (u *keyUse) start(key string) {
	for _, n := range u.rig.nodes {
		u.wg.Go(func() {
			c := &client{address: n.address()}
			defer func() { c.close() }()
			for {
				select {
				case <-u.stop:
					return
				case <-time.After(keyPause):
					u.send(c, key)
				}
			}
		})
	}
}

// send sends a request and reads its answer.
func (u *keyUse) send(c *client, key string) {
	if c.connect() != nil {
		return
	}
	id := newID()
	u.mu.Lock()
	u.sentAt[id] = time.Now()
	u.mu.Unlock()
	u.rig.printf("client: %s sent to %s with %s", id, c.address, key)
	if c.send("GET", "/read/x", id, key, 2*time.Second) != nil {
		c.close()
		return
	}
	res, err := c.response("GET")
	if err != nil {
		u.rig.printf("client: %s has no answer: %v", id, err)
		c.close()
		return
	}
	u.rig.printf("client: %s has status %d", id, res.StatusCode)
	_, err = io.Copy(io.Discard, res.Body)
	if err != nil || res.Close {
		c.close()
	}
}

// revoked records when the store acknowledged that the key was taken away.
func (u *keyUse) revoked(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.revokedAt = at
	u.rig.printf("the key is taken away")
}

// isBroken ends the clients, and reports whether a request with the key ran too late.
func (u *keyUse) isBroken() bool {
	close(u.stop)
	u.wg.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rig.printf("%d requests ran that were sent later than %v after the key was taken away", u.late, revokeTime)
	return u.late > 0
}
