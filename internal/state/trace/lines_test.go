package trace

import (
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const logged = `
  12.1 n1 {"level":"info","node":"n1","endpoint":"e1","time":"2026-01-01T00:00:01.5Z","message":"feeds: endpoint removed"}
{"level":"info","node":"n1","request":"r1","endpoint":"e1","helpers":["e2"],"result":"unanswered","time":"2026-01-01T00:00:02Z","message":"gate: sent"}
{"level":"info","node":"n2","version":7,"time":"2026-01-01T00:00:01Z","message":"feeds: configuration in force"}
{"level":"info","node":"n1","version":7,"time":"2026-01-01T00:00:00.9Z","message":"feeds: configuration in force"}
{"level":"info","node":"n1","request":"r1","status":502,"time":"2026-01-01T00:00:03Z","message":"gate: refused"}
{"level":"info","node":"n1","endpoint":"e1","time":"2026-01-01T00:09:00Z","message":"feeds: endpoint added or changed"}
{"level":"info","node":"n1","request":"r2","endpoint":"e1","time":"2026-01-01T00:00:02Z","message":"gate: sent"}
not a line
{"cut":
`

func texts(ls []Line) string {
	var ts []string
	for _, l := range ls {
		ts = append(ts, l.Node+" "+l.Text)
	}
	return strings.Join(ts, "; ")
}

func TestLinesAbout(t *testing.T) {
	ls, err := ReadLines(strings.NewReader(logged))
	must.NoError(t, err)
	must.SliceLen(t, 7, ls)
	cases := []struct {
		subject, want string
	}{
		{"r1", "n1 feeds: endpoint removed; n1 gate: sent; n1 gate: refused"},
		{"7", "n1 feeds: configuration in force; n2 feeds: configuration in force"},
		{"e2", "n1 feeds: endpoint removed; n1 gate: sent"},
		{"nothing", ""},
	}
	for _, c := range cases {
		test.Eq(t, c.want, texts(LinesAbout(ls, c.subject)), test.Sprint(c.subject))
	}
	test.Eq(t, "502", ls[4].Get("status"))
	test.Eq(t, "", ls[4].Get("none"))
}
