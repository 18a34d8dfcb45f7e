package engsrv

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/engsim"
)

// Guards against an engine that panics: a request replaced one with its ID and was refused,
// and the ID was cancelled then.
func TestCancelAfterARefusedReplacement(t *testing.T) {
	s := &Server{EngineSettings: engsim.Settings{Memory: 1000, BlockSize: 16}}
	s.reset()
	newStream := func() *stream {
		return &stream{seq: &engsim.Sequence{ID: "r1", Prompt: 10, Output: 1}, tokens: make(chan engsim.Token, 2), aborted: make(chan struct{})}
	}
	first := newStream()
	must.NoError(t, s.submit(first))
	s.engine.Leaving = true
	test.ErrorIs(t, s.submit(newStream()), engsim.ErrLeaving)
	<-first.aborted
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("/cancel?request=r1")
	s.handleCancel(&ctx)
	test.Eq(t, fasthttp.StatusNoContent, ctx.Response.StatusCode())
}
