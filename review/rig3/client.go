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

	"laburnumstack.org/laburnum/platform/wire"
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

// head returns the head of a request without its empty line.
func head(method, path, id, key string, left time.Duration) string {
	fields := [][2]string{
		{"Host", host}, {wire.FieldID, id}, {wire.FieldTimeLeft, fmt.Sprint(left.Milliseconds())}, {wire.FieldKey, wire.KeyPrefix + key},
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", method, path)
	for _, f := range fields {
		fmt.Fprintf(&b, "%s: %s\r\n", f[0], f[1])
	}
	return b.String()
}

// send writes a request without a body. The deadline of the client is left later.
func (c *client) send(method, path, id, key string, left time.Duration) error {
	b := head(method, path, id, key, left)
	c.conn.SetDeadline(time.Now().Add(left + 2*time.Second))
	_, err := c.conn.Write([]byte(b + "\r\n"))
	return err
}

// response reads the header of the answer.
func (c *client) response(method string) (*http.Response, error) {
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}
