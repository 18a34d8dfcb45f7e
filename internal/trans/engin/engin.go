// Package engin calls model engines over HTTP.
package engin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxResponseBytes is the maximum size in bytes of the body of a response other
	// than a stream.
	maxResponseBytes = 1 << 20
	// lineBufferBytes is the size of the read buffer of a stream in bytes. A line
	// must fit into it.
	lineBufferBytes = 4 << 10
	// headerTimeout bounds the wait for the header of a stream. Engines send it
	// before they begin to process the prompt.
	headerTimeout = 2 * time.Second
	// maxReported bounds the numbers of requests and tokens in a load report, maxStep the
	// duration of a step, so that estimates made of them stay within their range.
	maxReported = 1e12
	maxStep     = time.Minute
)

// Client calls engines. It implements messg.Engine.
type Client struct {
	// Pools holds the connections to the engines.
	Pools *conns.Pools
}

var _ messg.Engine = (*Client)(nil)

// Generate sends a prompt to an engine and returns the stream of the tokens that
// the engine generates.
func (c *Client) Generate(ctx context.Context, addr string, g messg.GenerateRequest) (messg.TokenStream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	setTarget(req, addr, fasthttp.MethodPost, "/generate")
	h := &req.Header
	h.Set("Request-Id", string(g.Request))
	h.Set("Priority", strconv.Itoa(g.Priority))
	h.Set("Resume-At", strconv.FormatInt(int64(g.ResumeAt), 10))
	h.Set("Max-Tokens", strconv.FormatInt(int64(g.MaxTokens), 10))
	if g.ReservationID != "" {
		h.Set("Reservation", g.ReservationID)
	}
	req.SetBodyRaw(g.Body)
	r, err := c.Pools.Get(addr).Do(ctx, conns.Call{Request: req, Identified: true, HeaderTimeout: headerTimeout})
	if err != nil {
		return nil, err
	}
	if err := statusError(r); err != nil {
		r.Close()
		return nil, err
	}
	return &stream{response: r, lines: bufio.NewReaderSize(r, lineBufferBytes), next: g.ResumeAt}, nil
}

// stream reads the tokens of an answer, one JSON object in each line.
type stream struct {
	response *conns.Response
	lines    *bufio.Reader
	parser   fastjson.Parser
	// next is the index of the next token.
	next ident.Tokens
	// lastRead is set once the last token was read.
	lastRead bool
}

// Ready reports whether a whole line is buffered.
func (s *stream) Ready() bool {
	b, _ := s.lines.Peek(s.lines.Buffered())
	return bytes.IndexByte(b, '\n') >= 0
}

// Next waits for the next token. It returns an error if the engine skips or
// repeats one.
func (s *stream) Next() (messg.Token, error) {
	raw, err := s.lines.ReadSlice('\n')
	if err != nil {
		return messg.Token{}, errors.WithType(err, conns.ErrTruncated)
	}
	v, err := s.parser.ParseBytes(raw)
	if err != nil {
		return messg.Token{}, errors.WithType(err, messg.ErrBadAnswer)
	}
	index := ident.Tokens(v.GetInt64("Index"))
	if index != s.next || !v.Exists("Index") {
		return messg.Token{}, errors.WithType(errors.Errorf("got token %d, want %d", index, s.next), messg.ErrBadAnswer)
	}
	s.next++
	s.lastRead = len(v.GetStringBytes("Finish")) > 0
	return messg.Token{
		Index:  index,
		Text:   string(v.GetStringBytes("Text")),
		Last:   s.lastRead,
		Cached: ident.Tokens(v.GetInt64("Cached")),
	}, nil
}

// Interrupt makes a blocked Next return an error.
func (s *stream) Interrupt() { s.response.Interrupt() }

// Close ends the stream. If the last token was read, it reads the body to its
// end, so that the connection can be reused.
func (s *stream) Close() {
	if s.lastRead {
		io.Copy(io.Discard, s.lines)
	}
	s.response.Close()
}

// statusError returns nil for a status below 300, and otherwise one of the
// endpoint errors of package messg, chosen by the code in the body.
func statusError(r *conns.Response) error {
	if r.Status < 300 {
		return nil
	}
	var body struct{ Code, Message string }
	json.Unmarshal(r.ReadError(), &body)
	cause := errors.Errorf("status %d: %s %s", r.Status, body.Code, body.Message)
	switch body.Code {
	case "leaving":
		return errors.WithType(cause, messg.ErrLeaving)
	case "no-memory":
		return errors.WithType(cause, messg.ErrNoMemory)
	case "old-number":
		return errors.WithType(cause, messg.ErrOldFencingNumber)
	case "refused", "too-large":
		return errors.WithType(cause, messg.ErrRefused)
	default:
		return errors.WithType(cause, messg.ErrStatus)
	}
}

// setTarget sets the method, path and host of a request.
func setTarget(req *fasthttp.Request, addr, method, path string) {
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(addr)
}

// call sends a request with in as its JSON body and decodes the JSON body of the
// response into out; either may be nil. If fresh is set, it uses a new connection.
func (c *Client) call(ctx context.Context, addr, method, path string, in, out any, fresh bool) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	setTarget(req, addr, method, path)
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return errors.Trace(err)
		}
		req.SetBodyRaw(raw)
	}
	r, err := c.Pools.Get(addr).Do(ctx, conns.Call{Request: req, Identified: true, Fresh: fresh})
	if err != nil {
		return err
	}
	defer r.Close()
	if err := statusError(r); err != nil {
		return err
	}
	raw, err := r.ReadAll(maxResponseBytes)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return errors.WithType(err, messg.ErrBadAnswer)
	}
	return nil
}

// Progress returns the progress of a request at an engine. It uses a new
// connection.
func (c *Client) Progress(ctx context.Context, addr string, id ident.RequestID) (messg.Progress, error) {
	var p messg.Progress
	err := c.call(ctx, addr, fasthttp.MethodGet, "/progress?request="+url.QueryEscape(string(id)), nil, &p, true)
	return p, err
}

// Cancel stops a request at an engine and frees its memory there.
func (c *Client) Cancel(ctx context.Context, addr string, id ident.RequestID) error {
	return c.call(ctx, addr, fasthttp.MethodPost, "/cancel?request="+url.QueryEscape(string(id)), nil, nil, false)
}

// Load returns an engine's load report, with the time of its receipt. If fresh is
// set, it uses a new connection.
func (c *Client) Load(ctx context.Context, addr string, fresh bool) (table.Load, error) {
	var r struct {
		Running, Waiting      int
		ShortQueue, LongQueue ident.Tokens
		Held, Memory          ident.Tokens
		PrefillRate           ident.Tokens
		StepMicros            int64
		Models                []ident.ModelName
		Leaving               bool
	}
	if err := c.call(ctx, addr, fasthttp.MethodGet, "/load", nil, &r, fresh); err != nil {
		return table.Load{}, err
	}
	for _, n := range []int64{int64(r.Running), int64(r.Waiting), int64(r.ShortQueue), int64(r.LongQueue), int64(r.Held), int64(r.Memory), int64(r.PrefillRate)} {
		if n < 0 || n > maxReported {
			return table.Load{}, errors.Annotatef(messg.ErrBadAnswer, "load report with %d", n)
		}
	}
	if r.StepMicros < 0 || r.StepMicros > maxStep.Microseconds() {
		return table.Load{}, errors.Annotatef(messg.ErrBadAnswer, "step of %d microseconds", r.StepMicros)
	}
	return table.Load{
		At: time.Now(), Running: r.Running, Waiting: r.Waiting,
		ShortQueue: r.ShortQueue, LongQueue: r.LongQueue,
		UsedMemory: r.Held, Memory: r.Memory, PrefillRate: r.PrefillRate,
		StepTime: time.Duration(r.StepMicros) * time.Microsecond,
		Models:   r.Models, Leaving: r.Leaving,
	}, nil
}

// Events returns the events of an engine's prefix cache with sequence numbers
// above after.
func (c *Client) Events(ctx context.Context, addr string, after uint64) ([]messg.CacheEvent, error) {
	var es []messg.CacheEvent
	err := c.call(ctx, addr, fasthttp.MethodGet, "/events?after="+strconv.FormatUint(after, 10), nil, &es, false)
	return es, err
}

// reservation is the request body of Reserve, Release, Prefill, Export and Import.
type reservation struct {
	Owner  string
	Tokens ident.Tokens
}

// Reserve reserves KV memory for n tokens under an owner name.
func (c *Client) Reserve(ctx context.Context, addr, owner string, n ident.Tokens) error {
	return c.call(ctx, addr, fasthttp.MethodPost, "/reserve", reservation{owner, n}, nil, false)
}

// Release frees the memory reserved under an owner name.
func (c *Client) Release(ctx context.Context, addr, owner string) error {
	return c.call(ctx, addr, fasthttp.MethodPost, "/release", reservation{Owner: owner}, nil, true)
}

// Prefill makes an engine compute the KV cache of n tokens of a prompt in the
// memory reserved under an owner name.
func (c *Client) Prefill(ctx context.Context, addr, owner string, n ident.Tokens) error {
	return c.call(ctx, addr, fasthttp.MethodPost, "/prefill", reservation{owner, n}, nil, false)
}

// Export makes the KV cache of n tokens, prefilled in the memory reserved under an
// owner name, available to other engines.
func (c *Client) Export(ctx context.Context, addr, owner string, n ident.Tokens) error {
	return c.call(ctx, addr, fasthttp.MethodPost, "/export", reservation{owner, n}, nil, false)
}

// Import makes an engine fetch the KV cache of n tokens that another engine
// exported under the same owner name.
func (c *Client) Import(ctx context.Context, addr, owner string, n ident.Tokens) error {
	return c.call(ctx, addr, fasthttp.MethodPost, "/import", reservation{owner, n}, nil, false)
}

// Order instructs an engine to load one model and drop another; either may be
// empty.
func (c *Client) Order(ctx context.Context, addr string, o messg.Order) error {
	return c.call(ctx, addr, fasthttp.MethodPost, "/orders", o, nil, true)
}
