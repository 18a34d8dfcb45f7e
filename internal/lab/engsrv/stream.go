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

// bytesPerToken is the assumed size of a token in the JSON of a prompt.
const bytesPerToken = 4

var errAborted = errors.New("engine lost the sequence")

// stream passes the generated tokens of a sequence to the request that waits for
// them.
type stream struct {
	seq *engsim.Sequence
	// digest is the digest of the prompt's content. TokenText derives the tokens
	// from it.
	digest uint64
	// tokens has room for all tokens, so that push never blocks.
	tokens chan engsim.Token
	// aborted is closed when the sequence is cancelled or replaced, or when the
	// engine crashes.
	aborted chan struct{}
}

func (t *stream) push(k engsim.Token) { t.tokens <- k }

func (t *stream) abort() { close(t.aborted) }

// answerLine is one line of a generated answer, with one token.
type answerLine struct {
	Index int64
	Text  string
	// Finish is the reason why the answer ends. It is set on the last line only,
	// as are Prompt and Cached: the number of prompt tokens that this engine had
	// to prefill, as in engsim.Sequence, and how many of them it found in the
	// prefix cache.
	Finish string `json:",omitempty"`
	Prompt int64  `json:",omitempty"`
	Cached int64  `json:",omitempty"`
}

// generateRequest holds the fields of a request body that the engine uses.
type generateRequest struct {
	Model    ident.ModelName `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

// content returns the raw JSON of the messages, or of the prompt if there are no
// messages.
func (r generateRequest) content() []byte {
	if len(r.Messages) > 0 {
		return r.Messages
	}
	return r.Prompt
}

// TokenText returns the text of the token at an index of the answer to a prompt
// whose content has the given digest. It mixes the bits of digest and index with
// constants of splitmix64, so that neighbouring tokens differ.
func TokenText(digest uint64, index int64) string {
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

// Digest returns the digest of a prompt's content, which is its raw JSON.
func Digest(content []byte) uint64 { return xxhash.Sum64(content) }

// blockDigests returns the chained digests of the blocks of a prompt's content:
// each covers all content up to the end of its block. An incomplete last block
// has none.
func blockDigests(content []byte, size ident.Tokens) []uint64 {
	blockBytes := int(size) * bytesPerToken
	var digests []uint64
	d := xxhash.New()
	for len(content) >= blockBytes {
		d.Write(content[:blockBytes])
		digests = append(digests, d.Sum64())
		content = content[blockBytes:]
	}
	return digests
}

func (s *Server) handleGenerate(ctx *fasthttp.RequestCtx) {
	if !s.acceptsRequests(ctx) {
		return
	}
	var req generateRequest
	if !httpd.DecodeBody(ctx, &req) {
		return
	}
	if !s.HasModel(req.Model) {
		httpd.WriteError(ctx, fasthttp.StatusConflict, "refused", "model is not loaded")
		return
	}
	if s.PoisonText != "" && strings.Contains(string(req.content()), s.PoisonText) {
		go s.Crash(s.poisonDowntime())
	}
	t := s.newStream(ctx, req)
	if err := s.submit(t); err != nil {
		failWith(ctx, err)
		return
	}
	s.streamAnswer(ctx, t)
}

// poisonDowntime returns the downtime of a crash that PoisonText causes.
func (s *Server) poisonDowntime() time.Duration { return 2 * time.Second }

func (s *Server) newStream(ctx *fasthttp.RequestCtx, req generateRequest) *stream {
	h := &ctx.Request.Header
	content := req.content()
	q := &engsim.Sequence{
		ID:       ident.RequestID(h.Peek("Request-Id")),
		Prompt:   ident.Tokens(len(content)/bytesPerToken + 1),
		Blocks:   blockDigests(content, s.EngineSettings.BlockSize),
		Output:   ident.Tokens(max(1, headerInt(h, "Max-Tokens"))),
		Priority: headerInt(h, "Priority"),
		Produced: ident.Tokens(headerInt(h, "Resume-At")),
	}
	if owner := string(h.Peek("Reservation")); owner != "" {
		q.HasReservation = true
		q.Blocks = nil
		// The reserved memory holds the prompt; one token is left to prefill.
		q.Prompt = 1
	}
	return &stream{seq: q, digest: Digest(content), tokens: make(chan engsim.Token, q.Output+1), aborted: make(chan struct{})}
}

// headerInt returns the value of a header field, or zero if the field is missing
// or is no number.
func headerInt(h *fasthttp.RequestHeader, name string) int {
	n, err := fasthttp.ParseUint(h.Peek(name))
	if err != nil {
		return 0
	}
	return n
}

// submit submits a stream's sequence to the engine. It replaces a stream with the
// same request ID.
func (s *Server) submit(t *stream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	if old, ok := s.streams[t.seq.ID]; ok {
		s.engine.Cancel(t.seq.ID)
		delete(s.streams, t.seq.ID)
		old.abort()
	}
	if err := s.engine.Submit(time.Now(), t.seq); err != nil {
		return err
	}
	s.streams[t.seq.ID] = t
	s.wakeSteps()
	return nil
}

// streamAnswer streams the tokens as lines of JSON. The header is sent at once,
// before the first token.
func (s *Server) streamAnswer(ctx *fasthttp.RequestCtx, t *stream) {
	ctx.SetContentType("application/x-ndjson")
	ctx.Response.ImmediateHeaderFlush = true
	late := s.firstTokenDelay()
	ctx.Response.SetBodyStream(&bodyReader{server: s, stream: t, firstTokenDelay: late}, -1)
}

// bodyReader is the body of a streamed answer.
type bodyReader struct {
	server          *Server
	stream          *stream
	firstTokenDelay time.Duration
	// pending holds the bytes not yet read.
	pending []byte
	// done is set once pending holds the last line.
	done bool
}

// Read reads the lines of the tokens generated so far, and waits for a token if
// there is none.
func (r *bodyReader) Read(b []byte) (int, error) {
	if len(r.pending) == 0 && r.done {
		return 0, io.EOF
	}
	if len(r.pending) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(b, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// fill waits for a token and appends its line, and those of all other tokens
// generated so far, to pending.
func (r *bodyReader) fill() error {
	select {
	case <-r.stream.aborted:
		return errAborted
	case k := <-r.stream.tokens:
		r.add(k)
	}
	for !r.done {
		select {
		case k := <-r.stream.tokens:
			r.add(k)
		default:
			return nil
		}
	}
	return nil
}

// add appends the line of a token to pending. It delays the first line by
// firstTokenDelay.
func (r *bodyReader) add(k engsim.Token) {
	if r.firstTokenDelay > 0 {
		time.Sleep(r.firstTokenDelay)
		r.firstTokenDelay = 0
	}
	line := answerLine{Index: int64(k.Index), Text: TokenText(r.stream.digest, int64(k.Index))}
	if k.IsLast {
		line.Finish = "stop"
		line.Prompt = int64(k.Sequence.Prompt)
		line.Cached = int64(k.Sequence.Cached())
		r.done = true
	}
	raw, _ := json.Marshal(line)
	r.pending = append(append(r.pending, raw...), '\n')
}

// Close cancels the sequence if the connection was closed before the last token.
func (r *bodyReader) Close() error {
	if !r.done {
		r.server.abandonStream(r.stream)
	}
	return nil
}

// abandonStream cancels a stream's sequence, unless another stream replaced it.
func (s *Server) abandonStream(t *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[t.seq.ID] == t {
		delete(s.streams, t.seq.ID)
		s.engine.Cancel(t.seq.ID)
	}
}

// Progress is the response body of /progress.
type Progress struct {
	// Known is set while the engine processes the request.
	Known bool
	// Produced is the number of tokens generated so far.
	Produced ident.Tokens
}

func (s *Server) handleProgress(ctx *fasthttp.RequestCtx) {
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

func (s *Server) handleCancel(ctx *fasthttp.RequestCtx) {
	id := ident.RequestID(ctx.QueryArgs().Peek("request"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine.Cancel(id)
	if t, ok := s.streams[id]; ok {
		delete(s.streams, id)
		t.abort()
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
