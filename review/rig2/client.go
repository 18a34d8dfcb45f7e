//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/platform/wire"
)

var lastRequest atomic.Int64

// request is one request of a client, which it may send in several attempts.
type request struct {
	method, host, path, key, body string
	// timeLeft is the client's deadline.
	timeLeft time.Duration
	headers  map[string]string
	// patience, if it is above zero, is the longest pause of a stream after which the client
	// leaves.
	patience time.Duration
}

// answer is what a client got.
type answer struct {
	id string
	// status is zero if the connection ended without an answer.
	status int
	whole  bool
	retry  string
	err    error
	// events is the number of events of a stream.
	events int
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return "no answer"
	case !a.whole:
		return fmt.Sprintf("%d cut", a.status)
	}
	return fmt.Sprint(a.status)
}

// send sends one attempt of a request to a machine on a new connection, and reads the answer.
func (r *rig) send(n *node, q request) answer {
	a := answer{id: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastRequest.Add(1))}
	r.mu.Lock()
	r.sentTo[a.id] = n
	r.mu.Unlock()
	r.note("sent %s %s %s to %s", a.id, q.method, q.path, n.name)
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		a.err = err
		r.note("answered %s: no connection", a.id)
		return a
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(q.timeLeft))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s%s\r\n",
		q.method, q.path, q.host, wire.FieldID, a.id, wire.FieldTimeLeft, q.timeLeft.Milliseconds(), wire.FieldKey, wire.KeyPrefix, q.key)
	for k, v := range q.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		a.err = err
	}
	end := time.Now().Add(q.timeLeft)
	a.read(c, q, end)
	r.note("answered %s: %v, %d events, Retry-After %q", a.id, a, a.events, a.retry)
	return a
}

// read reads the answer until the client's deadline or until it loses patience.
func (a *answer) read(c net.Conn, q request, end time.Time) {
	wait := func() {
		t := end
		if q.patience > 0 && time.Now().Add(q.patience).Before(end) {
			t = time.Now().Add(q.patience)
		}
		c.SetReadDeadline(t)
	}
	wait()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return
	}
	a.status, a.retry = res.StatusCode, res.Header.Get("Retry-After")
	buf := make([]byte, 4096)
	var text strings.Builder
	for {
		wait()
		n, err := res.Body.Read(buf)
		text.Write(buf[:n])
		a.events = strings.Count(text.String(), "data: piece ")
		if err != nil {
			a.whole = err == io.EOF
			if !a.whole {
				a.err = err
			}
			return
		}
	}
}
