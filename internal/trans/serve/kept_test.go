package serve

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/twice"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// TestPlainRequestIsNotAnsweredByAnEarlierOne guards against a caller who gets the answer
// of another caller, because a service wrote it once more on a kept connection.
func TestPlainRequestIsNotAnsweredByAnEarlierOne(t *testing.T) {
	const body = "answer to another caller"
	for _, copiesIDs := range []bool{true, false} {
		for _, status := range []int{200, 302, 404, 429, 500, 503} {
			s := &twice.Server{CopiesIDs: copiesIDs, Answers: []twice.Answer{{Status: status, Body: body}, {Status: 200, Body: "answer"}}}
			must.NoError(t, s.Listen())
			defer s.Close()
			const name ident.EndpointName = "s"
			d := &confg.Document{
				Limits:    confg.Limits{BodyBytes: 1 << 10},
				Endpoints: map[ident.EndpointName]confg.Endpoint{name: {Address: s.Address}},
			}
			tb := table.New(1, d, nil)
			core := &Core{Pools: &conns.Pools{}}
			try := func() (*PlainResponse, error) {
				q := fasthttp.AcquireRequest()
				q.Header.SetHost("h")
				q.SetRequestURI("/")
				r := &Request{Table: tb, Deadline: time.Now().Add(time.Minute)}
				p := &plainRequest{core: core, ctx: context.Background(), req: r, outgoing: q, idempotent: true, attempts: 1}
				return p.try(tb.Endpoints[name])
			}
			first, err := try()
			must.NoError(t, err)
			must.Eq(t, body, string(first.Body))
			second, err := try()
			if err != nil {
				test.ErrorIs(t, err, conns.ErrNoResponse)
				test.False(t, errors.Is(err, messg.ErrRefused))
				continue
			}
			test.Eq(t, "answer", string(second.Body), test.Sprintf("status %d, copies IDs: %v", status, copiesIDs))
		}
	}
}
