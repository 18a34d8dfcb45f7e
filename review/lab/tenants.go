//go:build review

package main

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

// runTenants runs the case of an operator that takes the last tenant with its key away.
func runTenants(w *world) (broken []string, err error) {
	const endAt = 9 * time.Second
	stop := make(chan struct{})
	defer close(stop)
	if _, err := w.startAll(config(1, tenant{"revoked", []string{revokedKey}}), stop, func(*server) string { return "ready" }); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { w.sendEvery(ctx, 100*time.Millisecond, revokedKey, w.aliveNodes) })
	time.Sleep(4 * time.Second)
	var doc map[string]any
	if err := json.Unmarshal(config(2, tenant{"revoked", nil}), &doc); err != nil {
		return nil, err
	}
	if w.trouble {
		doc["tenants"] = []any{}
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	w.putConfig(raw)
	acknowledged := time.Now()
	time.Sleep(endAt)
	cancel()
	clients.Wait()
	return w.checkRevoked(acknowledged), nil
}
