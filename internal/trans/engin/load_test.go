package engin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

// Guards against load reports that make an engine look the best for all requests: a
// negative queue or a sum that overflows gives a negative time to the first token.
func TestOddLoadReportsAreRejected(t *testing.T) {
	var report string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, report) }))
	defer srv.Close()
	c := &Client{Pools: &conns.Pools{}}
	load := func(text string) error {
		report = text
		_, err := c.Load(context.Background(), strings.TrimPrefix(srv.URL, "http://"), false)
		return err
	}
	const good = `{"Running":3,"Waiting":1,"ShortQueue":500,"LongQueue":0,"Held":1000,"Memory":90000,"PrefillRate":50000,"StepMicros":900,"Models":["m"]}`
	must.NoError(t, load(good))
	must.NoError(t, load(`{}`))
	for _, odd := range [][2]string{
		{`"Running":3`, `"Running":-1`}, {`"Waiting":1`, `"Waiting":9223372036854775807`}, {`"ShortQueue":500`, `"ShortQueue":-500`},
		{`"ShortQueue":500`, `"ShortQueue":9223372036854775807`}, {`"LongQueue":0`, `"LongQueue":-9223372036854775808`}, {`"Held":1000`, `"Held":-1`},
		{`"Memory":90000`, `"Memory":9223372036854775807`}, {`"PrefillRate":50000`, `"PrefillRate":-1`},
		{`"StepMicros":900`, `"StepMicros":9223372036854775807`}, {`"Memory":90000`, `"Memory":1e30`}, {`"Memory":90000`, `"Memory":"90000"`},
	} {
		test.ErrorIs(t, load(strings.Replace(good, odd[0], odd[1], 1)), messg.ErrBadAnswer, test.Sprint(odd[1]))
	}
}
