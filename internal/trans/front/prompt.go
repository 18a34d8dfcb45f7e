package front

import (
	"io"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/proto/chat"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/ident"
)

// errCut ends a stream so that the caller sees that it isn't whole.
var errCut = errors.New("stream cut")

// prompt answers a call of the completion interface.
func (q *exchange) prompt(rs []*table.Route) *serve.Failure {
	rest := strings.Trim(strings.TrimPrefix(string(q.ctx.Path()), rs[0].PathPrefix), "/")
	switch {
	case rest == "models" && q.ctx.IsGet():
		q.models(rs)
		return nil
	case rest == "chat/completions" && q.ctx.IsPost():
		return q.complete(rs, chat.Chat)
	case rest == "completions" && q.ctx.IsPost():
		return q.complete(rs, chat.Text)
	}
	return q.notRun(fasthttp.StatusNotFound, "unknown-route", "no such call of the completion interface")
}

func (q *exchange) models(rs []*table.Route) {
	var ms []ident.ModelName
	for _, r := range rs {
		ms = append(ms, r.Models...)
	}
	q.ctx.Response.Header.Set(OutcomeHeader, string(ident.Answered))
	q.ctx.SetContentType("application/json")
	q.ctx.SetBody(chat.Models(ms))
	q.ended(ident.Answered, "", "")
}

func (q *exchange) complete(rs []*table.Route, form chat.Form) *serve.Failure {
	if f := q.limit(); f != nil {
		return f
	}
	body, f := q.body()
	if f != nil {
		return f
	}
	p, err := chat.Parse(form, body)
	if err != nil {
		return q.notRun(fasthttp.StatusBadRequest, "bad-body", err.Error())
	}
	r := offersModel(rs, p.Model)
	if r == nil {
		return q.notRun(fasthttp.StatusNotFound, "unknown-model", "no route offers model "+string(p.Model))
	}
	q.req.Route = r
	q.route = r.Name
	if f := q.limit(); f != nil {
		return f
	}
	return q.run(p, body)
}

// run gets an answer and sends it whole or as a stream.
func (q *exchange) run(p *chat.Prompt, body []byte) *serve.Failure {
	ctx, end := q.begin()
	a, err := q.server.Core.StartAnswer(ctx, q.req, p, body)
	if err != nil {
		end()
		return serve.AsFailure(err)
	}
	reply := chat.Reply{Prompt: p, ID: q.id, Created: q.arrived}
	if p.Stream {
		q.stream(a, reply, end)
		return nil
	}
	defer end()
	defer a.Close()
	return q.whole(a, reply)
}

// whole sends the answer in one piece.
func (q *exchange) whole(a *serve.Answer, reply chat.Reply) *serve.Failure {
	var text strings.Builder
	for {
		t, err := a.Next()
		if err != nil {
			return serve.AsFailure(err)
		}
		text.WriteString(t.Text)
		if t.Last {
			break
		}
	}
	q.ctx.Response.Header.Set(OutcomeHeader, string(ident.Answered))
	q.ctx.SetContentType("application/json")
	q.ctx.SetBody(reply.Whole(text.String(), reply.Usage(a.Generated(), a.Cached())))
	q.ended(ident.Answered, "", "")
	return nil
}

// stream sends the answer as server-sent events. The handler returns before
// the stream ends.
func (q *exchange) stream(a *serve.Answer, reply chat.Reply, end func()) {
	h := &q.ctx.Response.Header
	h.Set(OutcomeHeader, string(ident.Answered))
	h.Set("Cache-Control", "no-store")
	q.ctx.SetContentType("text/event-stream")
	q.ctx.Response.ImmediateHeaderFlush = true
	q.ctx.SetBodyStream(&events{exchange: q.detached(), answer: a, reply: reply, template: reply.Template(true), end: end}, -1)
}

// detached returns a copy that doesn't touch the handler's context.
func (q *exchange) detached() *exchange {
	d := *q
	d.ctx = nil
	d.release = nil
	return &d
}

// events is the body of a streamed answer.
type events struct {
	exchange *exchange
	answer   *serve.Answer
	reply    chat.Reply
	end      func()
	// rest is the part of buffer that wasn't read yet.
	rest, buffer []byte
	template     chat.Template
	done         bool
	failed       bool
}

var _ io.ReadCloser = (*events)(nil)

// Read returns the next events. A failure is sent as an event and then breaks
// the stream.
func (e *events) Read(b []byte) (int, error) {
	if len(e.rest) == 0 {
		switch {
		case e.failed:
			return 0, errCut
		case e.done:
			return 0, io.EOF
		}
		e.fill()
	}
	n := copy(b, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// maxEvents bounds the events that are sent together.
const maxEvents = 4 << 10

// fill takes the next token and those that are there already.
func (e *events) fill() {
	e.buffer = e.buffer[:0]
	e.take()
	for !e.done && !e.failed && len(e.buffer) < maxEvents && e.answer.Ready() {
		e.take()
	}
	e.rest = e.buffer
}

func (e *events) take() {
	t, err := e.answer.Next()
	if err != nil {
		f := serve.AsFailure(err)
		e.failed = true
		e.buffer = append(e.buffer, chat.ErrorEvent(e.exchange.errorBody(f))...)
		e.exchange.ended(f.Outcome, f.Code, f.Message)
		return
	}
	e.buffer = e.template.Append(e.buffer, t.Text)
	if t.Index == 0 {
		e.template = e.reply.Template(false)
	}
	if t.Last {
		e.done = true
		e.buffer = append(e.buffer, e.reply.End(e.reply.Usage(e.answer.Generated(), e.answer.Cached()))...)
		e.exchange.ended(ident.Answered, "", "")
	}
}

// Close ends the answer, also if the caller went away.
func (e *events) Close() error {
	if !e.done && !e.failed {
		e.exchange.ended(ident.Unknown, "caller-gone", "the caller closed the connection")
	}
	e.answer.Close()
	e.end()
	return nil
}
