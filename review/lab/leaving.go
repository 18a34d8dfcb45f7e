//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// zones are those of the deployment.
var zones = []string{"za", "zb", "zc"}

// startAll starts three servers and three nodes, and waits until the nodes take requests.
func (w *world) startAll(raw []byte, stop <-chan struct{}, state func(*server) string) (servers []*server, err error) {
	for i, z := range zones {
		s, err := w.startServer(i, z)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
		s.write("ready")
		go s.beatUntil(stop, func() string { return state(s) })
	}
	w.putConfig(raw)
	for i, z := range zones {
		if _, err := w.startNode(i, z, true); err != nil {
			return nil, err
		}
	}
	for _, n := range w.nodes {
		if err := w.waitReady(n, 10*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	return servers, nil
}

// runLeaving runs the case of a server that said that it leaves, and that the store lists once more
// after it has come back as a copy.
func runLeaving(w *world) (broken []string, err error) {
	const (
		removedAfter = 300 * time.Millisecond
		awayAfter    = 3 * time.Second
		awayFor      = 800 * time.Millisecond
		// copyAge is how old the copy is when the store comes back.
		copyAge = 4200 * time.Millisecond
		// rewriteAfter is the time from then on until what was lost is written again.
		rewriteAfter = 1500 * time.Millisecond
		// exitAfter is the time from the removal of its entry to the exit of the server.
		exitAfter = 4500 * time.Millisecond
	)
	stop := make(chan struct{})
	defer close(stop)
	servers, err := w.startAll(config(1, tenant{"t", []string{"key-1"}}), stop, func(s *server) string {
		if s.leaving.Load() {
			return ""
		}
		return "ready"
	})
	if err != nil {
		return nil, err
	}
	leaver := servers[0]
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { w.sendEvery(ctx, 60*time.Millisecond, "key-1", func() []*node { return w.nodes }) })
	time.Sleep(4 * time.Second)

	w.line("server %s leaves and says so in all its answers; it doesn't report draining", leaver.id)
	leaver.leaving.Store(true)
	time.Sleep(removedAfter)
	w.store.put(topicServers, leaver.id, nil)
	w.line("store: servers/%s is removed", leaver.id)
	removed := time.Now()
	time.Sleep(awayAfter)
	if w.trouble {
		w.line("store: away")
		w.store.leave()
		time.Sleep(awayFor)
		copyOf := time.Now().Add(-copyAge)
		w.store.comeBack(copyOf)
		w.line("store: back as the copy of %v ago", copyAge)
		go func() {
			time.Sleep(rewriteAfter)
			w.store.put(topicServers, leaver.id, nil)
			w.line("store: servers/%s is removed again", leaver.id)
		}()
	}
	time.Sleep(time.Until(removed.Add(exitAfter)))
	leaver.exit()
	time.Sleep(3 * time.Second)
	cancel()
	clients.Wait()
	return w.checkLeaving(leaver), nil
}

// checkLeaving returns the requests that reached a server from a node later than the drain time
// after that node had passed on an answer which said that the server leaves.
func (w *world) checkLeaving(s *server) (broken []string) {
	passedOn := map[string]time.Time{}
	w.mu.Lock()
	for _, q := range w.seen {
		if at, ok := passedOn[q.via]; q.leaving && (!ok || q.answered.Before(at)) {
			passedOn[q.via] = q.answered
		}
	}
	w.mu.Unlock()
	late, lost := 0, 0
	for _, q := range w.requests() {
		at, ok := passedOn[q.via]
		if !ok || !q.at.After(at.Add(drainMS*time.Millisecond)) {
			continue
		}
		for _, id := range q.ran {
			if id != s.id {
				continue
			}
			late++
			if q.method == "POST" && q.status/100 != 2 {
				lost++
			}
			w.line("late: %s was sent to %s %v after that node had passed on that %s leaves, and ran there; the client's status is %d", q.id, q.via, q.at.Sub(at).Round(time.Millisecond), id, q.status)
		}
	}
	w.line("nodes that passed on that %s leaves: %d; late requests: %d, bookings among them that were begun and have no answer: %d", s.id, len(passedOn), late, lost)
	if late > 0 {
		broken = append(broken, fmt.Sprintf("DRAIN: %d requests reached %s later than %d ms after their node had passed on that it leaves; %d bookings among them were begun and have no answer", late, s.id, drainMS, lost))
	}
	return broken
}
