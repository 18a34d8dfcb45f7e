//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/platform/wire"
)

func init() { cases["slow-servers"] = slowServers }

// Times and sizes of the case.
const (
	// promptBytes is the body of a prompt of 700,000 tokens at a quarter of a byte each, the
	// largest on the sheets of the small deployments.
	promptBytes = 175_000
	// readFirst is what a server reads of the body before it answers, readPause the time until it
	// reads on.
	readFirst  = 8 << 10
	readPause  = 8 * time.Second
	eventPause = 300 * time.Millisecond
	eventCount = 30
	// promptDeadline is that of the largest prompts on the sheet.
	promptDeadline = 15 * time.Second
)

// slowServers checks LOST with servers that answer long prompts before they have read them, and
// pause in reading them.
func slowServers(r *rig) (bool, error) {
	for _, z := range []string{"poa-a", "poa-b", "canoas-c"} {
		r.newStreamServer("i-"+z, z)
	}
	rt := route("prompt", topol.Stream, promptDeadline)
	rt.GapMS, rt.Resumable = 1000, true
	r.store.put(topicOperator, wire.ConfigKey, r.newConfig([]wire.Route{rt}, "key-1"))
	if err := r.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	n := r.nodes[0]
	const clients = 6
	var cs []*client
	for range clients {
		c := &client{address: n.address()}
		defer c.close()
		if err := c.connect(); err != nil {
			return false, err
		}
		if got := r.prompt(c, 1000); got != "" {
			return false, fmt.Errorf("first request of a connection: %s", got)
		}
		cs = append(cs, c)
	}
	n.signal(syscall.SIGHUP)
	results := make(chan string)
	for _, c := range cs {
		go func() { results <- r.prompt(c, promptBytes) }()
	}
	cut := 0
	for range cs {
		if <-results != "" {
			cut++
		}
	}
	r.printf("%d of %d requests that were read whole have no complete answer", cut, clients)
	return cut > 3, nil
}

// prompt sends a prompt and reads its answer. It returns what is wrong with it.
func (r *rig) prompt(c *client, size int) string {
	id, began := newID(), time.Now()
	c.conn.SetDeadline(began.Add(promptDeadline + 5*time.Second))
	fmt.Fprintf(c.conn, "%sContent-Length: %d\r\n\r\n", head("POST", "/prompt/x", id, "key-1", promptDeadline), size)
	if _, err := io.WriteString(c.conn, strings.Repeat("x", size)); err != nil {
		return "not sent: " + err.Error()
	}
	r.printf("client: %s sent whole, %d bytes", id, size)
	res, err := c.response("POST")
	if err != nil {
		r.printf("client: %s has no answer after %.2f s: %v", id, time.Since(began).Seconds(), err)
		return "no answer"
	}
	body, err := io.ReadAll(res.Body)
	r.printf("client: %s has status %d, %d of %d events after %.2f s, end: %v", id, res.StatusCode, strings.Count(string(body), "\n\n"), eventCount, time.Since(began).Seconds(), err)
	switch {
	case err != nil:
		return err.Error()
	case res.StatusCode != http.StatusOK || strings.Count(string(body), "\n\n") != eventCount:
		return res.Status
	}
	return ""
}

// newStreamServer starts a server that begins to answer once it has read the header and a part of
// the body, and reads on later.
func (r *rig) newStreamServer(id, zone string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{rig: r, id: id, zone: zone, addr: l.Addr().String(), runs: map[string]int{}, born: time.Now().UnixMilli()}
	r.servers = append(r.servers, s)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveStreams(c)
		}
	}()
	s.publish(wire.StateReady)
}

func (s *server) serveStreams(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := req.Header.Get(wire.FieldID)
		if id == "" || req.Header.Get(wire.FieldExpectedEndpoint) != s.id {
			io.Copy(io.Discard, req.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.FieldID, id)
			continue
		}
		s.rig.printf("%s: runs %s, Last-Event-Id: %q", s.id, id, req.Header.Get(wire.FieldLastEvent))
		long := req.ContentLength > readFirst
		io.CopyN(io.Discard, req.Body, min(req.ContentLength, readFirst))
		if long && !s.rig.trouble {
			io.Copy(io.Discard, req.Body)
		}
		read := make(chan error, 1)
		go func() {
			if long && s.rig.trouble {
				time.Sleep(readPause)
			}
			_, err := io.Copy(io.Discard, req.Body)
			read <- err
		}()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", wire.FieldID, id, wire.FieldSignature, s.id, id)
		last, _ := strconv.Atoi(req.Header.Get(wire.FieldLastEvent))
		for i := last + 1; i <= eventCount; i++ {
			if long {
				time.Sleep(eventPause)
			}
			e := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, id, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				s.rig.printf("%s: %s: connection broke at event %d: %v", s.id, id, i, err)
				return
			}
		}
		if err := <-read; err != nil {
			s.rig.printf("%s: %s: body: %v", s.id, id, err)
			return
		}
		io.WriteString(c, "0\r\n\r\n")
		s.rig.printf("%s: %s is answered whole", s.id, id)
	}
}
