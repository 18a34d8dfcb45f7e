package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// request returns the text of a request with a known key.
func request(method, target, id, body string, fields ...string) string {
	text := method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nId: " + id + "\r\nKey: secret\r\nLeft: 4000\r\n"
	for _, f := range fields {
		text += f + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	// closesConn is set if the connection ends with the response.
	closesConn bool
	// err is set if the body is incomplete.
	err error
}

func readResponse(c net.Conn) (response, error) {
	return readResponseFrom(bufio.NewReader(c))
}

func readResponseFrom(br *bufio.Reader) (response, error) {
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		return response{}, err
	}
	b, err := io.ReadAll(res.Body)
	return response{res.StatusCode, res.Header, string(b), res.Close, err}, nil
}

// do sends a request on a new connection and returns the response.
func (r *rig) do(text string) response {
	c := r.dial()
	io.WriteString(c, text)
	res, err := readResponse(c)
	must.NoError(r.t, err)
	return res
}

// doWhole does as do, and checks that the response arrives to its end and has a body.
func (r *rig) doWhole(text, want string) {
	res := r.do(text)
	test.NoError(r.t, res.err)
	test.Eq(r.t, want, res.body)
}

// retryAfter returns the seconds after which the caller is told to return.
func (r response) retryAfter(t testing.TB) float64 {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	return seconds
}
