// Package twice is a stand-in for a faulty server that writes answers twice.
package twice

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"laburnumstack.org/laburnum/internal/trans/conns"
)

// Answer is the status and the body of a response.
type Answer struct {
	Status int
	Body   string
}

// Server gives each request its next answer, and repeats the last one. Before an answer,
// it writes the one before once more if that was written to the same connection. The
// exported fields are set before Listen.
type Server struct {
	Answers []Answer
	// CopiesIDs is set if answers have the ID of their call.
	CopiesIDs bool
	// Address is set by Listen.
	Address string

	listener net.Listener

	mu       sync.Mutex
	requests int
	conns    int
}

// Listen serves connections to a port of this VM until Close.
func (s *Server) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.Address = l, l.Addr().String()
	go s.accept()
	return nil
}

// Close stops listening.
func (s *Server) Close() error { return s.listener.Close() }

// Conns returns the number of connections so far.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var last string
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		// The answer is taken first: the other end may send its next request as soon as it
		// has read the repeated one.
		answer := s.text(s.next(), req.Header.Get(conns.CallIDField))
		io.WriteString(c, last)
		io.WriteString(c, answer)
		last = answer
	}
}

func (s *Server) next() Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.Answers[min(s.requests, len(s.Answers)-1)]
	s.requests++
	return a
}

// text returns an answer as it is written to a connection.
func (s *Server) text(a Answer, id string) string {
	fields := ""
	if s.CopiesIDs && id != "" {
		fields = conns.CallIDField + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Text\r\n%sContent-Length: %d\r\n\r\n%s", a.Status, fields, len(a.Body), a.Body)
}
