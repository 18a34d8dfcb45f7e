package soak

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const testIDField = "Test-Id"

// idCodec names the request in refusals.
type idCodec struct{ testCodec }

func (idCodec) SetNotRun(h http.Header, id string)                          { h.Set(testIDField, id) }
func (idCodec) SetSignature(h http.Header, id string, _ ident.EndpointName) { h.Set(testIDField, id) }

func TestRepeatedAnswersAreReadable(t *testing.T) {
	cases := []struct {
		name      string
		form      int
		isSuccess bool
		ids       []string
	}{
		{"success", 0, true, []string{"r1"}},
		{"refusal", 1, false, []string{"r1"}},
		{"refusal with an empty ID", 2, false, []string{""}},
		{"refusal without an ID", 3, false, nil},
	}
	for _, c := range cases {
		s := &endpointServer{codec: idCodec{}}
		res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(s.repeatedAnswer("r1", c.form))), nil)
		must.NoError(t, err, must.Sprint(c.name))
		test.Eq(t, c.isSuccess, res.StatusCode == http.StatusOK, test.Sprint(c.name))
		test.Eq(t, c.ids, res.Header.Values(testIDField), test.Sprint(c.name))
	}
}

func TestFailedResumesAreNoEvents(t *testing.T) {
	s := &endpointServer{codec: idCodec{}}
	seen := map[int]bool{}
	for range 1000 {
		w := httptest.NewRecorder()
		s.failResume(w, "r1")
		seen[w.Code] = true
		test.StrNotContains(t, w.Body.String(), eventText("r1", 1))
	}
	test.MapLen(t, len(failedResumes), seen)
}

func TestEndOfIdleConnectionIsSeen(t *testing.T) {
	cases := []struct {
		name       string
		act        func(net.Conn)
		ended      bool
		violations int
	}{
		{"open", func(net.Conn) {}, false, 0},
		{"closed", func(c net.Conn) { c.Close() }, true, 0},
		{"success without a request", func(c net.Conn) { c.Write([]byte("HTTP/1.1 200 OK")) }, true, 1},
		{"error without a request", func(c net.Conn) { c.Write([]byte("HTTP/1.1 408 Request Timeout")) }, true, 0},
	}
	for _, cs := range cases {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		conn, err := net.Dial("tcp", l.Addr().String())
		must.NoError(t, err)
		peer, err := l.Accept()
		must.NoError(t, err)
		c := &caller{journal: NewJournal(), conn: conn, reader: bufio.NewReader(conn)}
		cs.act(peer)
		// What the other end did arrives soon.
		for cs.ended && conns.IsIdle(conn) {
			time.Sleep(time.Millisecond)
		}
		test.Eq(t, !cs.ended, c.isUsable(), test.Sprint(cs.name))
		test.SliceLen(t, cs.violations, c.journal.violations, test.Sprint(cs.name))
		peer.Close()
		conn.Close()
		l.Close()
	}
}

func TestHeldBehaviourEndsWithItsLastHolder(t *testing.T) {
	var b behaviour
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { b.hold(ctx, time.Hour); close(done) }()
	for !b.isOn() {
		time.Sleep(time.Millisecond)
	}
	b.hold(ctx, 0)
	test.True(t, b.isOn())
	cancel()
	<-done
	test.False(t, b.isOn())
}
