//go:build review3

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// client sends requests over one connection at a time.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// receiveBuffer is the size of the socket's receive buffer; zero means the system's.
	receiveBuffer int
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	if c.receiveBuffer > 0 {
		conn.(*net.TCPConn).SetReadBuffer(c.receiveBuffer)
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send writes a request without a body. The deadline of the client is left later.
func (c *client) send(method, path, id, key string, left time.Duration, extra ...string) error {
	b := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nLaburnumstack-Attempt-Id: %s\r\nLaburnumstack-Time-Left-Ms: %d\r\nAuthorization: Bearer %s\r\n%s", method, path, host, id, left.Milliseconds(), key, strings.Join(extra, ""))
	if method == "POST" {
		b += "Content-Length: 0\r\n"
	}
	c.conn.SetDeadline(time.Now().Add(left + 2*time.Second))
	_, err := c.conn.Write([]byte(b + "\r\n"))
	return err
}

// response reads the header of the answer.
func (c *client) response(method string) (*http.Response, error) {
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}
