//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Keys of the tenants: the first one stays, the other one is taken away.
const (
	keptKey    = "key-kept"
	revokedKey = "key-revoked"
)

// runRevoked runs the case of a key that was taken away, and of a process that starts again while
// the store shows a copy from before that.
func runRevoked(w *world) (broken []string, err error) {
	const (
		// The times are counted from the acknowledgement of the version without the key.
		awayAt = 4400 * time.Millisecond
		killAt = 4700 * time.Millisecond
		backAt = 5200 * time.Millisecond
		// copyAge is how old the copy is when the store comes back.
		copyAge      = 5600 * time.Millisecond
		restartAt    = 5300 * time.Millisecond
		rewriteAfter = 1500 * time.Millisecond
		endAt        = 9 * time.Second
	)
	stop := make(chan struct{})
	defer close(stop)
	with := config(1, tenant{"kept", []string{keptKey}}, tenant{"revoked", []string{revokedKey}})
	without := config(2, tenant{"kept", []string{keptKey}}, tenant{"revoked", nil})
	if _, err := w.startAll(with, stop, func(*server) string { return "ready" }); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, k := range []string{keptKey, revokedKey} {
		clients.Go(func() { w.sendEvery(ctx, 50*time.Millisecond, k, w.aliveNodes) })
	}
	time.Sleep(4 * time.Second)
	w.putConfig(without)
	acknowledged := time.Now()
	sleepUntil := func(d time.Duration) { time.Sleep(time.Until(acknowledged.Add(d))) }
	if w.trouble {
		sleepUntil(awayAt)
		w.line("store: away")
		w.store.leave()
		sleepUntil(killAt)
		victim := w.aliveNodes()[0]
		w.line("kill node %s", victim.name)
		w.kill(victim)
		sleepUntil(backAt)
		w.store.comeBack(time.Now().Add(-copyAge))
		w.line("store: back as the copy of %v ago", copyAge)
		time.AfterFunc(rewriteAfter, func() { w.putConfig(without) })
		sleepUntil(restartAt)
		if _, err := w.startNode(0, zones[0], false); err != nil {
			return nil, err
		}
	}
	sleepUntil(endAt)
	cancel()
	clients.Wait()
	return w.checkRevoked(acknowledged), nil
}

// kill kills a node and waits for its end.
func (w *world) kill(n *node) {
	n.killed.Store(true)
	n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.ended
}

// aliveNodes returns the nodes that were not killed.
func (w *world) aliveNodes() (ns []*node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if !n.killed.Load() {
			ns = append(ns, n)
		}
	}
	return ns
}

// checkRevoked returns the requests with the revoked key that were sent later than the bound after
// the acknowledgement and have run.
func (w *world) checkRevoked(acknowledged time.Time) (broken []string) {
	late, sent := 0, 0
	for _, q := range w.requests() {
		if q.key != revokedKey || !q.at.After(acknowledged.Add(revokeMS*time.Millisecond)) {
			continue
		}
		sent++
		if len(q.ran) > 0 {
			late++
			w.line("late: %s was sent to %s with the revoked key %v after the acknowledgement, and ran at %v; the client's status is %d", q.id, q.via, q.at.Sub(acknowledged).Round(time.Millisecond), q.ran, q.status)
		}
	}
	w.line("requests with the revoked key that were sent later than %d ms after the acknowledgement: %d, of which %d ran", revokeMS, sent, late)
	if late > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %d requests with a key that had been taken away more than %d ms before ran", late, revokeMS))
	}
	return broken
}
