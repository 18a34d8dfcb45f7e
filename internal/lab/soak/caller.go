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
	// requestTimeout is the time limit of a request, and of the routes.
	requestTimeout = 4 * time.Second
	// meanPause is the mean pause of a caller between two requests.
	meanPause   = 60 * time.Millisecond
	dialTimeout = time.Second
	// abandonProbability is the probability that a caller closes its connection
	// before the answer, on average meanAbandonDelay after it sent the request.
	abandonProbability = 0.05
	meanAbandonDelay   = 60 * time.Millisecond
	// meanPromptTokens is the mean length of a prompt, maxEvents the maximum
	// number of events in an answer.
	meanPromptTokens = 4000
	maxEvents        = 30
	idDigits         = "0123456789abcdef"
)

// caller sends one request after the other. It keeps its connection until the node
// closes it, a request fails or the caller abandons one.
type caller struct {
	codec   Codec
	journal *Journal
	host    string
	// pickNode returns the name and the address of a node to send requests to.
	pickNode func() (ident.NodeName, string)
	// pickKey returns a key, and whether it is the one that is never revoked.
	pickKey func() (key string, permanent bool)
	// requestCounter is the number of requests of all callers.
	requestCounter *atomic.Int64

	conn   net.Conn
	reader *bufio.Reader
	node   ident.NodeName
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.connect() {
			c.sendRequest()
		}
		delay.For(ctx, time.Duration(rand.ExpFloat64()*float64(meanPause)))
	}
	c.close()
}

// connect connects to a node unless there is a connection. It reports whether
// there is one.
func (c *caller) connect() bool {
	if c.conn != nil {
		return true
	}
	node, addr := c.pickNode()
	if addr == "" {
		return false
	}
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.node = conn, bufio.NewReader(conn), node
	return true
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// newID returns the id of a new request. Its last digit is random; bodyOf chooses
// the size of the body by it.
func (c *caller) newID() string {
	return fmt.Sprintf("r%d%c", c.requestCounter.Add(1), idDigits[rand.IntN(len(idDigits))])
}

// sendRequest sends a request and reads its answer, or closes the connection
// before that.
func (c *caller) sendRequest() {
	k := []topol.Kind{topol.Once, topol.Idempotent, topol.Stream, topol.Stream}[rand.IntN(4)]
	key, permanent := c.pickKey()
	r := CallerRequest{ID: c.newID(), Key: key, Timeout: requestTimeout}
	service := plainService
	if k == topol.Stream {
		service = modelService
		r.Prompt, r.MaxEvents = ident.Tokens(1+rand.ExpFloat64()*meanPromptTokens), 1+rand.IntN(maxEvents)
	}
	path := pathOf(service, k, r.MaxEvents)
	sent := bodyOf(r.ID, path)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.host+path, strings.NewReader(sent))
	if err != nil {
		c.journal.AddViolation("soak", "build request: %v", err)
		return
	}
	c.codec.SetCallerRequest(req.Header, r)
	call := &Call{ID: r.ID, Kind: k, Key: r.Key, PermanentKey: permanent, Node: c.node, SentAt: time.Now(), Timeout: r.Timeout}
	c.journal.AddCall(call)
	c.conn.SetDeadline(time.Now().Add(r.Timeout + requestTimeout))
	err = req.Write(c.conn)
	c.journal.UpdateCall(call, func(l *Call) { l.SentAt = time.Now() })
	if rand.Float64() < abandonProbability {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanAbandonDelay)))
		c.close()
		c.journal.UpdateCall(call, func(l *Call) { l.AbandonedAt = time.Now() })
		return
	}
	if err == nil {
		err = c.readAnswer(call, r, sent)
	}
	c.journal.UpdateCall(call, func(l *Call) { l.EndedAt = time.Now() })
	if err != nil {
		c.close()
	}
}

// errConnectionEnds means that the node closes the connection after the answer.
var errConnectionEnds = errors.New("node closes the connection after the answer")

// readAnswer reads and checks the answer to a call.
func (c *caller) readAnswer(call *Call, r CallerRequest, sent string) error {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	contentError := c.checkAnswer(res, r, sent, string(body), err == nil)
	if isKeyOrRouteRejected(res.StatusCode) && call.PermanentKey {
		contentError = fmt.Sprintf("answered %d, although key and route are valid", res.StatusCode)
	}
	c.journal.UpdateCall(call, func(l *Call) { l.Status, l.Complete, l.ContentError = res.StatusCode, err == nil, contentError })
	if err == nil && res.Close {
		return errConnectionEnds
	}
	return err
}

// checkAnswer returns what is wrong with an answer's content, or an empty string.
func (c *caller) checkAnswer(res *http.Response, r CallerRequest, sent, body string, complete bool) string {
	s := c.codec.ParseAnswer(res.Header)
	if s.ID != "" && s.ID != r.ID {
		return "answer of request " + s.ID
	}
	if res.StatusCode != http.StatusOK {
		return ""
	}
	if !s.IsSigned {
		return "success without the signature of an endpoint"
	}
	want := answerOf(r.ID, sent)
	if r.MaxEvents > 0 {
		want = ""
		for i := range r.MaxEvents {
			want += eventOf(r.ID, i+1)
		}
	}
	if complete && body != want {
		return fmt.Sprintf("complete answer of %d bytes that differs from the expected %d", len(body), len(want))
	}
	if !strings.HasPrefix(want, body) {
		return "truncated answer that differs from the expected bytes"
	}
	return ""
}

// isKeyOrRouteRejected reports whether a status means that the node has no such
// key or route.
func isKeyOrRouteRejected(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}
