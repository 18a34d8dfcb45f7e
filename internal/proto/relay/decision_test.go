package relay

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/bysize"
	"laburnumstack.org/laburnum/pkg/ident"
)

// olderDecision and olderAged are AgedDecision as builds without the virtual queue know it.
type (
	olderDecision struct {
		Route    ident.RouteName
		Request  bysize.RequestKey
		Prompt   ident.Tokens
		Admitted bool
		At       time.Time
	}
	olderAged struct {
		Decision olderDecision
		Age      time.Duration
	}
)

// Guards against an upgrade in which nodes do not understand each other's decisions: an older
// build ignores the fields of the virtual queue, and a newer one finds them empty.
func TestDecisionsOfOlderAndNewerBuilds(t *testing.T) {
	d := bysize.Decision{Route: "r", Request: 7, Prompt: 190_000, Service: "s", Workspace: "w", Retry: time.Second}
	var older olderAged
	transcode(t, AgedDecision{Decision: d, Age: time.Minute}, &older)
	test.Eq(t, olderAged{olderDecision{Route: "r", Request: 7, Prompt: 190_000}, time.Minute}, older)
	var newer AgedDecision
	transcode(t, older, &newer)
	test.Eq(t, AgedDecision{bysize.Decision{Route: "r", Request: 7, Prompt: 190_000}, time.Minute}, newer)
}

func transcode(t *testing.T, from, to any) {
	var b bytes.Buffer
	must.NoError(t, gob.NewEncoder(&b).Encode(from))
	must.NoError(t, gob.NewDecoder(&b).Decode(to))
}

// Guards against messages that grow: the fields of the virtual queue take at most 32 bytes.
func TestSizeOfADecision(t *testing.T) {
	size := func(d bysize.Decision) int {
		var b bytes.Buffer
		e := gob.NewEncoder(&b)
		must.NoError(t, e.Encode(AgedDecision{}))
		b.Reset()
		must.NoError(t, e.Encode(AgedDecision{Decision: d, Age: time.Second}))
		return b.Len()
	}
	d := bysize.Decision{Route: "r-vpuw3zm", Request: 1 << 63, Prompt: 190_000}
	before := size(d)
	d.Service, d.Workspace, d.Retry = "s-vpuw3zm", "ws-vpuw3z", 3*time.Second
	test.LessEq(t, before+32, size(d))
}
