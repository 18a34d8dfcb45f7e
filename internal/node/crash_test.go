package node_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/pkg/ident"
)

func TestCrashingRequest(t *testing.T) {
	f := startFleetOf(t, 11)
	unrelated := make(chan response, 20)
	for i := range cap(unrelated) {
		go func() { unrelated <- complete(f, i%3, fmt.Sprintf("unrelated %d", i), 200) }()
	}
	waitFor(t, "engines are busy", func() bool { return usedMemory(f) > 0 })
	// A crash after the first token truncates the response, so the first responses
	// may be errors and only the last is checked.
	var last response
	for i := range 6 {
		last = complete(f, i%3, poisonText, 50)
	}
	must.NoError(t, last.err)
	test.Eq(t, "crashes-endpoints", last.errorBody(t).Code)
	test.Eq(t, ident.NotRun, last.outcome())
	crashes := 0
	for _, e := range f.Engines {
		crashes += e.CrashCount()
	}
	test.LessEq(t, 3, crashes)
	for range cap(unrelated) {
		r := <-unrelated
		must.NoError(t, r.err)
		test.Eq(t, http.StatusOK, r.status, test.Sprint(string(r.body)))
	}
}

// Guards against prompts that share a message which crashes engines: no two of them are
// alike, so each crashed some engines. Prompts that share only the other messages must be
// answered.
func TestMessageThatCrashesEnginesIsNoLongerSent(t *testing.T) {
	f := startFleetOf(t, 11)
	ask := func(i int, shared string) response {
		text := `[{"role":"system","content":"common"},{"role":"user","content":"` + shared + `"},{"role":"user","content":"question ` + fmt.Sprint(i) + `"}]`
		body := fmt.Sprintf(`{"model":%q,"max_tokens":20,"messages":%s}`, f.Plan.Model, text)
		return call(f, i%3, http.MethodPost, "/v1/chat/completions", body)
	}
	var last response
	for i := range 12 {
		last = ask(i, poisonText)
		ask(i, "sound")
	}
	must.NoError(t, last.err)
	test.Eq(t, "crashes-endpoints", last.errorBody(t).Code)
	crashes := 0
	for _, e := range f.Engines {
		crashes += e.CrashCount()
	}
	test.LessEq(t, 5, crashes)
	for i := range 6 {
		r := ask(i, "sound")
		must.NoError(t, r.err)
		test.Eq(t, http.StatusOK, r.status, test.Sprint(string(r.body)))
	}
}
