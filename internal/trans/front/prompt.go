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

// errAborted is returned by eventStream.Read after a failure. fasthttp then
// closes the connection without ending the body, so that the caller notices that
// the stream is incomplete.
var errAborted = errors.New("stream aborted")

// servePrompt serves a call of the completion API.
func (q *exchange) servePrompt(rs []*table.Route) *serve.Failure {
	rest := strings.Trim(strings.TrimPrefix(string(q.ctx.Path()), rs[0].PathPrefix), "/")
	switch {
	case rest == "models" && q.ctx.IsGet():
		q.serveModels(rs)
		return nil
	case rest == "chat/completions" && q.ctx.IsPost():
		return q.serveCompletion(rs, chat.Chat)
	case rest == "completions" && q.ctx.IsPost():
		return q.serveCompletion(rs, chat.Text)
	}
	return q.notRunFailure(fasthttp.StatusNotFound, "unknown-route", "no such call of the completion interface")
}

func (q *exchange) serveModels(rs []*table.Route) {
	var ms []ident.ModelName
	for _, r := range rs {
		ms = append(ms, r.Models...)
	}
	q.ctx.Response.Header.Set(OutcomeHeader, string(ident.Answered))
	q.ctx.SetContentType("application/json")
	q.ctx.SetBody(chat.Models(ms))
	q.recordEnd(ident.Answered, "", "")
}

func (q *exchange) serveCompletion(rs []*table.Route, form chat.Form) *serve.Failure {
	if f := q.setDeadline(); f != nil {
		return f
	}
	body, f := q.receiveBody()
	if f != nil {
		return f
	}
	p, err := chat.Parse(form, body)
	if err != nil {
		return q.notRunFailure(fasthttp.StatusBadRequest, "bad-body", err.Error())
	}
	r := routeForModel(rs, p.Model)
	if r == nil {
		return q.notRunFailure(fasthttp.StatusNotFound, "unknown-model", "no route offers model "+string(p.Model))
	}
	q.req.Route = r
	q.route = r.Name
	// This route may have another time limit than the first one.
	if f := q.setDeadline(); f != nil {
		return f
	}
	if f := q.checkEnd(); f != nil {
		return f
	}
	return q.answerPrompt(p, body)
}

// answerPrompt gets the answer to a prompt and sends it, either as a whole or as
// a stream.
func (q *exchange) answerPrompt(p *chat.Prompt, body []byte) *serve.Failure {
	ctx, end := q.register()
	a, err := q.server.Core.StartAnswer(ctx, q.req, p, body)
	if err != nil {
		end()
		return serve.AsFailure(err)
	}
	reply := chat.Reply{Prompt: p, ID: q.id, Created: q.arrived}
	if p.Stream {
		q.sendStream(a, reply, end)
		return nil
	}
	defer end()
	defer a.Close()
	return q.sendWhole(a, reply)
}

// sendWhole waits for the complete answer and sends it as one response.
func (q *exchange) sendWhole(a *serve.Answer, reply chat.Reply) *serve.Failure {
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
	q.ctx.SetBody(reply.Body(text.String(), reply.Usage(a.Generated(), a.Cached())))
	q.recordEnd(ident.Answered, "", "")
	return nil
}

// sendStream sends the answer as server-sent events. It returns before the
// stream ends.
func (q *exchange) sendStream(a *serve.Answer, reply chat.Reply, end func()) {
	h := &q.ctx.Response.Header
	h.Set(OutcomeHeader, string(ident.Answered))
	h.Set("Cache-Control", "no-store")
	q.ctx.SetContentType("text/event-stream")
	q.ctx.Response.ImmediateHeaderFlush = true
	q.ctx.SetBodyStream(&eventStream{exchange: q.detached(), answer: a, reply: reply, template: reply.EventTemplate(true), end: end}, -1)
}

// detached returns a copy that remains usable after the handler has returned. It
// doesn't release the body's memory, which the original does.
func (q *exchange) detached() *exchange {
	d := *q
	d.ctx = nil
	d.releaseMemory = nil
	return &d
}

// eventStream is the body of a streamed answer.
type eventStream struct {
	exchange *exchange
	answer   *serve.Answer
	reply    chat.Reply
	end      func()
	// unread is the part of buffer that has not been read yet.
	unread, buffer []byte
	template       chat.Template
	done           bool
	failed         bool
}

var _ io.ReadCloser = (*eventStream)(nil)

// Read returns the next events. A failure is sent as an event, after which Read
// returns errAborted.
func (e *eventStream) Read(b []byte) (int, error) {
	if len(e.unread) == 0 {
		switch {
		case e.failed:
			return 0, errAborted
		case e.done:
			return 0, io.EOF
		}
		e.fill()
	}
	n := copy(b, e.unread)
	e.unread = e.unread[n:]
	return n, nil
}

// flushBytes is the buffer size in bytes at which fill stops adding tokens.
const flushBytes = 4 << 10

// fill writes the events of the next token, and of the following ones that can be
// read without waiting, to the buffer.
func (e *eventStream) fill() {
	e.buffer = e.buffer[:0]
	e.appendNext()
	for !e.done && !e.failed && len(e.buffer) < flushBytes && e.answer.Ready() {
		e.appendNext()
	}
	e.unread = e.buffer
}

// appendNext writes the event of the next token to the buffer, or that of a
// failure.
func (e *eventStream) appendNext() {
	t, err := e.answer.Next()
	if err != nil {
		f := serve.AsFailure(err)
		e.failed = true
		e.buffer = append(e.buffer, chat.ErrorEvent(e.exchange.errorBody(f))...)
		e.exchange.recordEnd(f.Outcome, f.Code, f.Message)
		return
	}
	e.buffer = e.template.Append(e.buffer, t.Text)
	if t.Index == 0 {
		e.template = e.reply.EventTemplate(false)
	}
	if t.Last {
		e.done = true
		e.buffer = append(e.buffer, e.reply.FinalEvents(e.reply.Usage(e.answer.Generated(), e.answer.Cached()))...)
		e.exchange.recordEnd(ident.Answered, "", "")
	}
}

// Close ends the answer, which may be incomplete if the caller closed the
// connection.
func (e *eventStream) Close() error {
	if !e.done && !e.failed {
		e.exchange.recordEnd(ident.Unknown, "caller-gone", "the caller closed the connection")
	}
	e.answer.Close()
	e.end()
	return nil
}
