package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	callTime  = 4 * time.Second
	callPause = 60 * time.Millisecond
	dialTime  = time.Second
	// leaveShare is the part of callers that leave before the answer, after
	// leaveAfter.
	leaveShare = 0.05
	leaveAfter = 60 * time.Millisecond
	// promptTokens is the mean length of a prompt.
	promptTokens = 4000
	mostEvents   = 30
	idLetters    = "0123456789abcdef"
)

// caller sends one request after the other. It uses a connection for as long
// as the node keeps it.
type caller struct {
	codec   Codec
	journal *Journal
	host    string
	// pick returns a node that takes callers.
	pick func() (ident.NodeName, string)
	// key returns a key, and whether it was in force all the time.
	key func() (key string, steady bool)
	ids *atomic.Int64

	conn net.Conn
	read *bufio.Reader
	node ident.NodeName
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.connect() {
			c.call()
		}
		delay.For(ctx, time.Duration(rand.ExpFloat64()*float64(callPause)))
	}
	c.close()
}

func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	node, addr := c.pick()
	if addr == "" {
		return false
	}
	conn, err := net.DialTimeout("tcp", addr, dialTime)
	if err != nil {
		return false
	}
	c.conn, c.read, c.node = conn, bufio.NewReader(conn), node
	return true
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// newID is a new request's id. Its last letter is random.
func (c *caller) newID() string {
	return fmt.Sprintf("r%d%c", c.ids.Add(1), idLetters[rand.IntN(len(idLetters))])
}

// call sends one request and reads its answer.
func (c *caller) call() {
	k := []topol.Kind{topol.Once, topol.Idempotent, topol.Stream, topol.Stream}[rand.IntN(4)]
	key, steady := c.key()
	a := Ask{ID: c.newID(), Key: key, Left: callTime}
	service := plainService
	if k == topol.Stream {
		service = modelService
		a.Prompt, a.Events = ident.Tokens(1+rand.ExpFloat64()*promptTokens), 1+rand.IntN(mostEvents)
	}
	path := pathOf(service, k, a.Events)
	sent := bodyOf(a.ID, path)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.host+path, strings.NewReader(sent))
	if err != nil {
		c.journal.Fault("soak", "request: %v", err)
		return
	}
	c.codec.Ask(req.Header, a)
	call := &Call{ID: a.ID, Kind: k, Key: a.Key, Steady: steady, Node: c.node, Sent: time.Now(), Left: a.Left}
	c.journal.Begin(call)
	c.conn.SetDeadline(time.Now().Add(a.Left + callTime))
	err = req.Write(c.conn)
	c.journal.Change(call, func(l *Call) { l.Sent = time.Now() })
	if rand.Float64() < leaveShare {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(leaveAfter)))
		c.close()
		c.journal.Change(call, func(l *Call) { l.Gone = time.Now() })
		return
	}
	if err == nil {
		err = c.answer(call, a, sent)
	}
	c.journal.Change(call, func(l *Call) { l.Ended = time.Now() })
	if err != nil {
		c.close()
	}
}

// errCloses tells that the node ends the connection after the answer.
var errCloses = errors.New("connection ends")

// answer reads and checks the answer of a call.
func (c *caller) answer(call *Call, a Ask, sent string) error {
	res, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	fault := c.inspect(res, a, sent, string(body), err == nil)
	if unknown(res.StatusCode) && call.Steady {
		fault = fmt.Sprintf("answered %d, though key and route are in force", res.StatusCode)
	}
	c.journal.Change(call, func(l *Call) { l.Status, l.Whole, l.Fault = res.StatusCode, err == nil, fault })
	if err == nil && res.Close {
		return errCloses
	}
	return err
}

// inspect returns what is wrong with an answer's content.
func (c *caller) inspect(res *http.Response, a Ask, sent, body string, whole bool) string {
	s := c.codec.Answered(res.Header)
	if s.ID != "" && s.ID != a.ID {
		return "answer of request " + s.ID
	}
	if res.StatusCode != http.StatusOK {
		return ""
	}
	if !s.Signed {
		return "success that no endpoint signed"
	}
	want := answerOf(a.ID, sent)
	if a.Events > 0 {
		want = ""
		for i := range a.Events {
			want += eventOf(a.ID, i+1)
		}
	}
	if whole && body != want {
		return fmt.Sprintf("%d bytes in place of %d, complete to its looks", len(body), len(want))
	}
	if !strings.HasPrefix(want, body) {
		return "part of an answer with other bytes"
	}
	return ""
}

// unknown reports whether a status says that the node knows no such key or
// route.
func unknown(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}
