package engin_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/engin"
)

// answerOnce starts an engine that reads a part of each request, writes a text and ends the
// connection, with a reset if reset is set. It returns its address.
func answerOnce(t *testing.T, text string, reset bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 4<<10))
			io.WriteString(c, text)
			if reset {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against memory that counts as reserved, and other work that counts as done, since an
// answer had a status that is none.
func TestInvalidStatusOfAnEngineIsNoAnswer(t *testing.T) {
	c := &engin.Client{Pools: &conns.Pools{}}
	ctx := context.Background()
	for _, status := range []string{"000", "099", "101", "600", "999", "2x0"} {
		addr := answerOnce(t, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\n[]", false)
		_, eventsErr := c.Events(ctx, addr, 1)
		for _, err := range []error{generate(c, addr), c.Reserve(ctx, addr, "o", 9), c.Import(ctx, addr, "o", 9), eventsErr} {
			test.ErrorIs(t, err, conns.ErrNoResponse, test.Sprint(status))
		}
	}
}

// Guards against tokens of an answer that counts as complete although the engine broke off,
// also within a line and while a long prompt is being written.
func TestStreamThatIsBrokenOffIsNotComplete(t *testing.T) {
	const first, last = `{"Index":0,"Text":"a"}` + "\n", `{"Index":1,"Text":"b","Finish":"stop"}` + "\n"
	for _, body := range []string{"{}", strings.Repeat("prompt ", 1<<20)} {
		for _, head := range []string{"", "Connection: close\r\n", "Content-Length: 4000\r\n"} {
			for _, text := range []string{"", first[:9], first, first + last[:len(last)-1]} {
				for _, reset := range []bool{false, true} {
					name := fmt.Sprintf("%d sent, %q, %d answered, reset %v", len(body), head, len(text), reset)
					addr := answerOnce(t, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+text, reset)
					c := &engin.Client{Pools: &conns.Pools{}}
					s, err := c.Generate(context.Background(), addr, messg.GenerateRequest{Body: []byte(body), MaxTokens: 2})
					for err == nil {
						var k messg.Token
						k, err = s.Next()
						test.False(t, k.Last, test.Sprint(name))
					}
					test.True(t, errors.Is(err, conns.ErrTruncated) || errors.Is(err, conns.ErrNoResponse), test.Sprint(name, err))
				}
			}
		}
	}
}
