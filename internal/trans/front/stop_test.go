package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/jumps"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/serve"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Guards against requests that are taken and cut at the end of the process since the time of
// day has jumped after the stop began.
func TestStepOfTheTimeOfDayPostponesNoStop(t *testing.T) {
	for _, seconds := range []int{2, -2, 3600} {
		s := &Server{}
		s.Init()
		test.False(t, s.mayEndBefore(time.Now().Add(time.Hour)), test.Sprint("before the stop"))
		end := time.Now().Add(time.Minute)
		ctx, cancel := context.WithDeadline(context.Background(), jumps.Step(end, seconds))
		must.NoError(t, s.Stop(ctx))
		cancel()
		test.False(t, s.mayEndBefore(end.Add(-time.Millisecond)), test.Sprintf("step of %d s", seconds))
		test.True(t, s.mayEndBefore(end.Add(time.Millisecond)), test.Sprintf("step of %d s", seconds))
	}
}

// Guards against requests that have arrived on idle connections when the node stops, and
// are dropped with them.
func TestStopServesRequestsThatHaveArrived(t *testing.T) {
	const callers = 200
	cases := []struct {
		name string
		// before and after are sent before and after the stop begins.
		before, after string
	}{
		{"whole request", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", ""},
		{"part of a header", "G", "ET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			core := &serve.Core{Metrics: serve.NewMetrics(prometheus.NewRegistry()), Ring: trace.NewRing("n", &trace.Clock{}, 100)}
			s := &Server{Core: core, Logger: zerolog.Nop(), HasConfig: func() bool { return true }}
			s.Init()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go s.Run(ctx, l)
			var readers []*bufio.Reader
			var conns []net.Conn
			for range callers {
				conn, err := net.Dial("tcp", l.Addr().String())
				must.NoError(t, err)
				defer conn.Close()
				br := bufio.NewReader(conn)
				io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
				res, err := http.ReadResponse(br, nil)
				must.NoError(t, err)
				io.Copy(io.Discard, res.Body)
				conns, readers = append(conns, conn), append(readers, br)
			}
			s.Drain()
			for _, conn := range conns {
				io.WriteString(conn, c.before)
			}
			stopped := make(chan struct{})
			go func() {
				s.Stop(ctx)
				close(stopped)
			}()
			for i, conn := range conns {
				io.WriteString(conn, c.after)
				res, err := http.ReadResponse(readers[i], nil)
				must.NoError(t, err)
				test.Eq(t, http.StatusOK, res.StatusCode)
				test.True(t, res.Close)
			}
			<-stopped
		})
	}
}

// Guards against requests that arrive on an open connection at the end of a planned stop, may
// take longer than the process lives, and are passed on all the same.
func TestLateRequestsOfAStopAreRejected(t *testing.T) {
	s := &Server{Logger: zerolog.Nop()}
	s.Init()
	cases := []struct {
		name     string
		limit    time.Duration
		stopping bool
		want     bool
	}{
		{"before the stop", time.Hour, false, false},
		{"in time", time.Second, true, false},
		{"longer than the process lives", time.Hour, true, true},
	}
	for _, c := range cases {
		if c.stopping {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			s.Drain()
			must.NoError(t, s.Stop(ctx))
			cancel()
		}
		near, far := net.Pipe()
		defer far.Close()
		var ctx fasthttp.RequestCtx
		ctx.Init2(near, silentLogger{}, false)
		q := &exchange{server: s, ctx: &ctx, arrived: time.Now(), req: &serve.Request{Route: &table.Route{Route: confg.Route{TimeLimit: confg.Duration(c.limit)}}}}
		must.Nil(t, q.setDeadline())
		f := q.checkEnd()
		test.Eq(t, c.want, f != nil, test.Sprint(c.name))
		if f != nil {
			test.Eq(t, ident.NotRun, f.Outcome)
		}
	}
}
