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
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// requestTimeout is the time limit of a request, and of the routes.
	requestTimeout = 4 * time.Second
	// meanPause is the mean pause of a caller between two requests.
	meanPause   = 60 * time.Millisecond
	dialTimeout = time.Second
	// abandonProbability is the probability that a caller closes its connection
	// before the response, on average meanAbandonDelay after it sent the request.
	abandonProbability = 0.05
	meanAbandonDelay   = 60 * time.Millisecond
	// meanPromptTokens is the mean length of a prompt, maxEvents the maximum number
	// of events in a response.
	meanPromptTokens = 4000
	maxEvents        = 30
	hexDigits        = "0123456789abcdef"
)

// caller sends requests one at a time. It keeps its connection until the node
// closes it, a request fails or the caller abandons one.
type caller struct {
	codec   Codec
	journal *Journal
	// host is the Host header of the requests.
	host string
	// pickNode returns the name and the address of a node to send requests to.
	// If distant is set, the address is that of a link with a delay.
	pickNode func(distant bool) (ident.NodeName, string)
	// pickKey returns a key, and whether it is the one that is never revoked.
	pickKey func() (key string, permanent bool)
	// requestCounter is the number of requests of all callers.
	requestCounter *atomic.Int64
	// crashing is the part that some prompts have and that crashes endpoints.
	crashing *atomic.Pointer[crashingPart]

	// trait is how the caller uses its connections, and idleTimeout returns the limit for
	// idle ones.
	trait       callerTrait
	idleTimeout func() time.Duration
	// longStreams is set if some of the streams last for a second or more.
	longStreams bool

	conn   net.Conn
	reader *bufio.Reader
	node   ident.NodeName
	// idleSince is the end of the last response on the connection; zero before the first
	// one.
	idleSince time.Time
	// served is set if the last request was answered with success.
	served bool
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.connect() {
			c.sendRequest()
		}
		delay.For(ctx, c.pause())
	}
	c.close()
}

// connect connects to a node if there is no connection, or if that one has ended. It
// reports whether there is one now.
func (c *caller) connect() bool {
	if c.conn != nil && c.isUsable() {
		return true
	}
	c.close()
	node, addr := c.pickNode(c.trait.distant)
	if addr == "" {
		return false
	}
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.node, c.idleSince = conn, bufio.NewReader(conn), node, time.Time{}
	return true
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// newID returns the ID of a new request. Its last digit is random and determines
// the size of the body, see requestBody.
func (c *caller) newID() string {
	return fmt.Sprintf("r%d%c", c.requestCounter.Add(1), hexDigits[rand.IntN(len(hexDigits))])
}

// sendRequest sends a request and reads its response, or abandons the request by
// closing the connection before that.
func (c *caller) sendRequest() {
	k := []topol.Kind{topol.Once, topol.Idempotent, topol.Stream, topol.Stream}[rand.IntN(4)]
	key, permanent := c.pickKey()
	r := CallerRequest{ID: c.newID(), Key: key, Timeout: requestTimeout}
	service := plainService
	if k == topol.Stream {
		service = modelService
		r.Prompt, r.Events = ident.Tokens(1+rand.ExpFloat64()*meanPromptTokens), c.eventCountOfStream()
	}
	crashing := ""
	if p := c.crashing.Load(); p != nil && isPrompt(k) && rand.Float64() < partProbability {
		crashing = p.id
	}
	if isPrompt(k) {
		r.Parts = requestParts(r.ID, crashing)
	}
	path := requestPath(service, k, r.Events)
	sentBody := requestBody(r.ID, path)
	req, err := http.NewRequest(http.MethodPost, "http://"+c.host+path, strings.NewReader(sentBody))
	if err != nil {
		c.journal.AddViolation("soak", "build request: %v", err)
		return
	}
	c.codec.SetCallerRequest(req.Header, r)
	call := &Call{ID: r.ID, Kind: k, Key: r.Key, PermanentKey: permanent, Crashing: crashing != "", Node: c.node, SentAt: time.Now(), Timeout: r.Timeout, Kept: !c.idleSince.IsZero(), IdleSince: c.idleSince, Distant: c.trait.distant}
	c.journal.AddCall(call)
	c.conn.SetDeadline(time.Now().Add(r.Timeout + requestTimeout))
	// The connection may have ended while the request was built.
	isOpen := conns.IsIdle(c.conn)
	writeErr := req.Write(c.conn)
	c.journal.UpdateCall(call, func(l *Call) {
		l.SentAt = time.Now()
		l.Kept = l.Kept && isOpen
	})
	// The link of a distant caller doesn't tell a closed connection from one that is closed
	// for writing only.
	if !c.trait.distant && rand.Float64() < abandonProbability {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanAbandonDelay)))
		c.close()
		c.journal.UpdateCall(call, func(l *Call) { l.AbandonedAt = time.Now() })
		return
	}
	// A node may answer before it has read a long body, so that the request can't be
	// written whole.
	_, err = c.reader.Peek(1)
	withoutByte := isEndOfConnection(err)
	if err == nil {
		err = c.readResponse(call, r, sentBody)
	}
	c.idleSince = time.Now()
	c.journal.UpdateCall(call, func(l *Call) {
		l.EndedAt, l.EndedWithoutByte = c.idleSince, withoutByte
		c.served = l.Status == http.StatusOK
	})
	if err != nil || writeErr != nil {
		c.close()
	}
}

// errConnectionClosing is returned after a complete response with "Connection:
// close", so that the caller connects again.
var errConnectionClosing = errors.New("node closes the connection after the answer")

// readResponse reads and checks the response to a call and records the result in
// the journal. It returns an error if the connection can't be used for another
// request.
func (c *caller) readResponse(call *Call, r CallerRequest, sentBody string) error {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	contentError := c.checkContent(res, r, sentBody, string(body), err == nil)
	if isKeyOrRouteRejected(res.StatusCode) && call.PermanentKey {
		contentError = fmt.Sprintf("answered %d, although key and route are valid", res.StatusCode)
	}
	c.journal.UpdateCall(call, func(l *Call) { l.Status, l.Complete, l.ContentError = res.StatusCode, err == nil, contentError })
	if err == nil && res.Close {
		return errConnectionClosing
	}
	return err
}

// checkContent describes what is wrong with the content of a response, or returns
// an empty string.
func (c *caller) checkContent(res *http.Response, r CallerRequest, sentBody, body string, complete bool) string {
	header := c.codec.ParseResponse(res.Header)
	if header.ID != "" && header.ID != r.ID {
		return "answer of request " + header.ID
	}
	if res.StatusCode != http.StatusOK {
		if res.StatusCode < http.StatusBadRequest {
			return fmt.Sprintf("answered %d, as no endpoint does", res.StatusCode)
		}
		return ""
	}
	if !header.IsSigned {
		return "success without the signature of an endpoint"
	}
	want := responseBody(r.ID, sentBody)
	if r.Events > 0 {
		want = ""
		for i := range r.Events {
			want += eventText(r.ID, i+1)
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

// isKeyOrRouteRejected reports whether a status means that the node rejected the
// key or found no route for the request.
func isKeyOrRouteRejected(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}
