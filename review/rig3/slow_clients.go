//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/platform/wire"
)

func init() { cases["slow-clients"] = slowClients }

const (
	// largeAnswer is read by a slow client at slowRate in 14.1 s, within its deadline of 15 s.
	largeAnswer = 15_500 << 10
	slowRate    = 1_100 << 10
	// clientsPerNode is so small that their answers fit into the memory that a node has for them.
	clientsPerNode = 2
	clientDeadline = 15 * time.Second
)

// slowClients checks LOST with clients that read their answers slowly, but in time.
func slowClients(r *rig) (bool, error) {
	for _, z := range []string{"poa-a", "poa-b", "canoas-c"} {
		r.newServer("i-"+z, z, 20*time.Millisecond, func(req *http.Request) []byte {
			if strings.HasSuffix(req.URL.Path, "/large") {
				return make([]byte, largeAnswer)
			}
			return []byte("ok")
		})
	}
	r.store.put(topicOperator, wire.ConfigKey, r.newConfig([]wire.Route{route("read", topol.Idempotent, clientDeadline)}, "key-1"))
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	var cs []*client
	for _, n := range r.nodes {
		for range clientsPerNode {
			c := &client{address: n.address(), receiveBuffer: 32 << 10}
			defer c.close()
			if err := c.connect(); err != nil {
				return false, err
			}
			if got := r.read(c, "/read/small", false); got != "" {
				return false, fmt.Errorf("first request of a connection: %s", got)
			}
			cs = append(cs, c)
		}
	}
	for _, n := range r.nodes {
		n.signal(syscall.SIGHUP)
	}
	results := make(chan string)
	for _, c := range cs {
		go func() { results <- r.read(c, "/read/large", r.trouble) }()
	}
	cut := 0
	for range cs {
		if <-results != "" {
			cut++
		}
	}
	r.printf("%d of %d requests that were read whole have no complete answer", cut, len(cs))
	return cut > 3, nil
}

// read sends a request and reads its answer, at slowRate if isSlow is set. It returns what is wrong
// with it.
func (r *rig) read(c *client, path string, isSlow bool) string {
	id, began := newID(), time.Now()
	if err := c.send("GET", path, id, "key-1", clientDeadline); err != nil {
		return err.Error()
	}
	r.printf("client: %s sent to %s", id, c.address)
	res, err := c.response("GET")
	if err != nil {
		r.printf("client: %s has no answer after %.2f s: %v", id, time.Since(began).Seconds(), err)
		return err.Error()
	}
	total, b := 0, make([]byte, 64<<10)
	for err == nil {
		var n int
		n, err = res.Body.Read(b)
		total += n
		if isSlow {
			time.Sleep(time.Until(began.Add(time.Duration(float64(total) / slowRate * float64(time.Second)))))
		}
	}
	r.printf("client: %s has status %d, %d of %d bytes after %.2f s, end: %v", id, res.StatusCode, total, res.ContentLength, time.Since(began).Seconds(), err)
	switch {
	case err != io.EOF:
		return err.Error()
	case res.StatusCode != http.StatusOK:
		return res.Status
	}
	return ""
}
