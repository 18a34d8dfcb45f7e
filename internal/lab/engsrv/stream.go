package engsrv

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/engsim"
	"laburnumstack.org/laburnum/internal/lab/httpd"
	"laburnumstack.org/laburnum/pkg/ident"
)

// bytesPerToken is the size of a token in a prompt's JSON.
const bytesPerToken = 4

var errLost = errors.New("engine lost the sequence")

// stream carries the tokens of one sequence to its connection.
type stream struct {
	seq    *engsim.Sequence
	digest uint64
	tokens chan engsim.Token
	lost   chan struct{}
}

func (t *stream) push(k engsim.Token) { t.tokens <- k }

func (t *stream) fail() { close(t.lost) }

// chunk is one line of a generated answer.
type chunk struct {
	Index int64
	Text  string
	// Finish is set on the last line.
	Finish string `json:",omitempty"`
	Prompt int64  `json:",omitempty"`
	Cached int64  `json:",omitempty"`
}

// prompt is what the engine reads of a request's body.
type prompt struct {
	Model    ident.ModelName `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

func (p prompt) content() []byte {
	if len(p.Messages) > 0 {
		return p.Messages
	}
	return p.Prompt
}

// Text returns the token at an index of the answer to a prompt whose content
// has the given digest.
func Text(digest uint64, index int64) string {
	const digits = "0123456789abcdef"
	h := digest ^ uint64(index)*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	var b [7]byte
	for i := range 6 {
		b[i] = digits[h>>(60-4*i)&15]
	}
	b[6] = ' '
	return string(b[:])
}

// Digest returns the digest of a prompt's content as it stands in its JSON.
func Digest(content []byte) uint64 { return xxhash.Sum64(content) }

// blocksOf chains the digests of a content's blocks.
func blocksOf(content []byte, size ident.Tokens) []uint64 {
	step := int(size) * bytesPerToken
	var bs []uint64
	d := xxhash.New()
	for len(content) >= step {
		d.Write(content[:step])
		bs = append(bs, d.Sum64())
		content = content[step:]
	}
	return bs
}

func (s *Server) generate(ctx *fasthttp.RequestCtx) {
	if !s.accepts(ctx) {
		return
	}
	var p prompt
	if !httpd.DecodeBody(ctx, &p) {
		return
	}
	if !s.HasModel(p.Model) {
		httpd.WriteError(ctx, fasthttp.StatusConflict, "refused", "model is not loaded")
		return
	}
	if s.PoisonMark != "" && strings.Contains(string(p.content()), s.PoisonMark) {
		go s.Crash(s.poisonDown())
	}
	t := s.newStream(ctx, p)
	if err := s.submit(t); err != nil {
		failWith(ctx, err)
		return
	}
	s.answer(ctx, t)
}

func (s *Server) poisonDown() time.Duration { return 2 * time.Second }

func (s *Server) newStream(ctx *fasthttp.RequestCtx, p prompt) *stream {
	h := &ctx.Request.Header
	c := p.content()
	q := &engsim.Sequence{
		ID:       ident.RequestID(h.Peek("Request-Id")),
		Prompt:   ident.Tokens(len(c)/bytesPerToken + 1),
		Blocks:   blocksOf(c, s.Sim.Block),
		Output:   ident.Tokens(max(1, headerInt(h, "Max-Tokens"))),
		Priority: headerInt(h, "Priority"),
		Produced: ident.Tokens(headerInt(h, "Resume-At")),
	}
	if owner := string(h.Peek("Reservation")); owner != "" {
		q.Reserved = true
		q.Blocks = nil
		q.Prompt = 1
	}
	return &stream{seq: q, digest: Digest(c), tokens: make(chan engsim.Token, q.Output+1), lost: make(chan struct{})}
}

func headerInt(h *fasthttp.RequestHeader, name string) int {
	n, err := fasthttp.ParseUint(h.Peek(name))
	if err != nil {
		return 0
	}
	return n
}

// submit queues a stream's sequence. One with the same id is replaced.
func (s *Server) submit(t *stream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	if old, ok := s.streams[t.seq.ID]; ok {
		s.engine.Cancel(t.seq.ID)
		old.fail()
	}
	if err := s.engine.Submit(time.Now(), t.seq); err != nil {
		return err
	}
	s.streams[t.seq.ID] = t
	s.poke()
	return nil
}

// answer streams the tokens as lines of JSON. The status is sent at once.
func (s *Server) answer(ctx *fasthttp.RequestCtx, t *stream) {
	ctx.SetContentType("application/x-ndjson")
	ctx.Response.ImmediateHeaderFlush = true
	late := s.lateBy()
	ctx.Response.SetBodyStream(&lines{server: s, stream: t, late: late}, -1)
}

// lines is the body of an answer.
type lines struct {
	server *Server
	stream *stream
	late   time.Duration
	rest   []byte
	done   bool
}

// Read waits for the next tokens.
func (l *lines) Read(b []byte) (int, error) {
	if len(l.rest) == 0 && l.done {
		return 0, io.EOF
	}
	if len(l.rest) == 0 {
		if err := l.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(b, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

func (l *lines) fill() error {
	select {
	case <-l.stream.lost:
		return errLost
	case k := <-l.stream.tokens:
		l.add(k)
	}
	for !l.done {
		select {
		case k := <-l.stream.tokens:
			l.add(k)
		default:
			return nil
		}
	}
	return nil
}

func (l *lines) add(k engsim.Token) {
	if l.late > 0 {
		time.Sleep(l.late)
		l.late = 0
	}
	c := chunk{Index: int64(k.Index), Text: Text(l.stream.digest, int64(k.Index))}
	if k.Last {
		c.Finish = "stop"
		c.Prompt = int64(k.Sequence.Prompt)
		c.Cached = int64(k.Sequence.Cached())
		l.done = true
	}
	raw, _ := json.Marshal(c)
	l.rest = append(append(l.rest, raw...), '\n')
}

// Close cancels the sequence if the connection ended before it.
func (l *lines) Close() error {
	if !l.done {
		l.server.drop(l.stream)
	}
	return nil
}

func (s *Server) drop(t *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[t.seq.ID] == t {
		delete(s.streams, t.seq.ID)
		s.engine.Cancel(t.seq.ID)
	}
}

// Progress tells how far the engine is with a request.
type Progress struct {
	Known    bool
	Produced ident.Tokens
}

func (s *Server) progress(ctx *fasthttp.RequestCtx) {
	id := ident.RequestID(ctx.QueryArgs().Peek("request"))
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.streams[id]
	p := Progress{Known: ok}
	if ok {
		p.Produced = t.seq.Produced
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, p)
}

func (s *Server) cancel(ctx *fasthttp.RequestCtx) {
	id := ident.RequestID(ctx.QueryArgs().Peek("request"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Cancel(id)
	if t, ok := s.streams[id]; ok {
		delete(s.streams, id)
		t.fail()
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
