//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"laburnumstack.org/laburnum/platform/wire"
)

// engineConfig returns a configuration with a route for prompts.
func engineConfig() []byte {
	b, err := json.Marshal(wire.Config{
		Version: 1,
		Routes: []wire.Route{{
			Name: "chat", Host: clientHost, Prefix: "/chat/", Kind: wire.RouteKinds[2], TimeoutMS: 10000, TargetMS: 300, GapMS: 250, Priority: 1,
			Attempts: 2, Resumable: true, Service: "llm",
		}},
		Services: []wire.Service{{Name: "llm", Engine: &wire.Engine{
			Slots: 16, Memory: 315000, Stride: 51, Chunk: 2048, StepMS: 0.85, PerSeqMS: 0.00425, ContextPerK: 0.00285, ReadPerS: 177000, PairsPerM: 0.184, HopMS: 0.05,
		}}},
		Limits:  wire.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []wire.Tenant{{Name: "t", Keys: []string{"key-1"}}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// prompt sends one prompt to a node and reads its stream. It records in answered when the first
// event came, if one did.
func (w *world) prompt(n *node, bad bool) {
	q := &sent{id: fmt.Sprintf("%s-%06d", filepath.Base(w.temp), w.ids.Add(1)), via: n.name, method: "sound"}
	parts := []string{sharedPart + ":40", fmt.Sprintf("%08x:4960", w.ids.Load())}
	if bad {
		q.method = "bad"
		parts = []string{sharedPart + ":40", badPart + ":100", fmt.Sprintf("%08x:4860", w.ids.Load())}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	body := "prompt " + q.id
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.frontAddress()+"/chat/x", strings.NewReader(body))
	r.Host = clientHost
	r.Header.Set(wire.FieldID, q.id)
	r.Header.Set(wire.FieldTimeLeft, "10000")
	r.Header.Set(wire.FieldKey, wire.KeyPrefix+"key-1")
	r.Header.Set("Laburnumstack"+"-Model", "m")
	r.Header.Set(wire.FieldUsage, "5000,600")
	r.Header.Set(wire.FieldParts, strings.Join(parts, ","))
	w.mu.Lock()
	w.seen[q.id], q.at = q, time.Now()
	w.mu.Unlock()
	w.line("sent %s prompt %s to %s", q.method, q.id, n.name)
	res, err := w.client.Do(r)
	if err != nil {
		w.line("answered %s: error %v", q.id, err)
		return
	}
	defer res.Body.Close()
	got := 0
	for s := bufio.NewScanner(res.Body); s.Scan(); {
		if strings.HasPrefix(s.Text(), "id:") {
			if got++; got == 1 {
				w.mu.Lock()
				q.answered = time.Now()
				w.mu.Unlock()
			}
		}
	}
	w.mu.Lock()
	q.status = res.StatusCode
	w.mu.Unlock()
	w.line("answered %s: status %d, %d events, Retry-After %q", q.id, res.StatusCode, got, res.Header.Get("Retry-After"))
}

// runParts runs the case of a part of prompts that crashes engines, and of sound prompts that share
// the first part with those.
func runParts(w *world) (broken []string, err error) {
	const (
		calm   = 8 * time.Second
		badFor = 30 * time.Second
		window = 3 * time.Second
	)
	stop := make(chan struct{})
	defer close(stop)
	var engines []*engine
	for i := range 6 {
		e, err := w.startEngine(i, zones[i%3])
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	go func() {
		t := time.NewTicker(beat)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
				for _, e := range engines {
					e.mu.Lock()
					if e.up {
						e.writeEntry()
					}
					e.mu.Unlock()
				}
			}
		}
	}()
	w.putConfig(engineConfig())
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
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	send := func(ctx context.Context, pause time.Duration, bad bool) {
		t := time.NewTicker(pause)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				clients.Go(func() { w.prompt(w.nodes[i%len(w.nodes)], bad) })
			}
		}
	}
	clients.Go(func() { send(ctx, 50*time.Millisecond, false) })
	began := time.Now()
	time.Sleep(calm)
	badBegan := time.Now()
	badCtx, endBad := context.WithTimeout(ctx, badFor)
	defer endBad()
	if w.trouble {
		clients.Go(func() { send(badCtx, 250*time.Millisecond, true) })
	}
	time.Sleep(badFor)
	badEnded := time.Now()
	cancel()
	clients.Wait()
	var crashes []time.Time
	for _, e := range engines {
		e.mu.Lock()
		crashes = append(crashes, e.crashes...)
		e.mu.Unlock()
	}
	for i := range crashes {
		for j := i; j > 0 && crashes[j].Before(crashes[j-1]); j-- {
			crashes[j], crashes[j-1] = crashes[j-1], crashes[j]
		}
	}
	share := func(from, to time.Time) (begun, all int) {
		for _, q := range w.requests() {
			if q.method == "sound" && q.at.After(from) && q.at.Before(to) {
				all++
				if !q.answered.IsZero() {
					begun++
				}
			}
		}
		return begun, all
	}
	begunCalm, allCalm := share(began, badBegan)
	from := badBegan
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(2 * window)
	}
	begun, all := share(from, badEnded)
	w.line("crashes: %d; sound prompts begun at the first attempt: calm %d of %d, from %.1f s on, while bad ones still come, %d of %d", len(crashes), begunCalm, allCalm, from.Sub(w.began).Seconds(), begun, all)
	fmt.Printf("crashes: %d; calm %d of %d, later %d of %d\n", len(crashes), begunCalm, allCalm, begun, all)
	if all >= 20 && allCalm >= 20 && 2*begun*allCalm < begunCalm*all {
		broken = append(broken, fmt.Sprintf("LOST: sound prompts with the same first part were begun %d of %d times, in calm %d of %d", begun, all, begunCalm, allCalm))
	}
	return broken, nil
}
