package node_test

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/pkg/admin"
)

func TestGracefulShutdownsFinishAllRequests(t *testing.T) {
	f := startFleet(t)
	const output = 150
	got := make(chan response, 60)
	for i := range cap(got) {
		go func() { got <- complete(f, i%3, fmt.Sprint(i), output) }()
	}
	waitFor(t, "engines are busy", func() bool { return usedMemory(f) > 0 })
	var wg sync.WaitGroup
	for _, m := range f.Nodes {
		wg.Go(func() { test.NoError(t, m.Stop()) })
	}
	for range cap(got) {
		r := <-got
		must.NoError(t, r.err)
		test.Eq(t, http.StatusOK, r.status)
		test.True(t, bytes.HasSuffix(r.body, []byte("data: [DONE]\n\n")))
	}
	wg.Wait()
}

func TestMemberStateAfterStopAndStart(t *testing.T) {
	f := startFleet(t)
	last := f.Nodes[len(f.Nodes)-1]
	member := func() admin.Member {
		ms, err := f.Client(0).Nodes()
		must.NoError(t, err)
		for _, m := range ms {
			if m.Admin == last.AdminAddr() {
				return m
			}
		}
		return admin.Member{}
	}
	waitFor(t, "member is alive", func() bool { return member().State == "alive" })
	boot := member().Boot
	must.NoError(t, last.Stop())
	waitFor(t, "member is gone", func() bool { return member().State == "leaving" || member().State == "dead" })
	must.NoError(t, last.Start())
	waitFor(t, "member is back", func() bool { return member().State == "alive" })
	test.Greater(t, boot, member().Boot)
	waitFor(t, "member has the version", func() bool { return member().Version == 1 })
	wantText(t, complete(f, 2, "hi", 3), "hi", 3)
}
