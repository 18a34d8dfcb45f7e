package tally_test

import (
	"testing"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/state/tally"
	"laburnumstack.org/laburnum/pkg/ident"
)

func TestTally(t *testing.T) {
	var k tally.Tally
	end := k.Begin("w", 10)
	k.Begin("v", 1)
	k.SetPeer("a", map[ident.WorkspaceName]tally.InFlight{"w": {Requests: 2, Tokens: 20}})
	k.SetPeer("b", map[ident.WorkspaceName]tally.InFlight{"w": {Requests: 3, Tokens: 30}})
	test.Eq(t, tally.InFlight{Requests: 6, Tokens: 60}, k.TotalOf("w"))
	test.Eq(t, k.TotalOf("w"), k.Totals()["w"])
	end()
	end()
	k.SetPeer("b", nil)
	test.Eq(t, tally.InFlight{Requests: 2, Tokens: 20}, k.TotalOf("w"))
	test.MapLen(t, 1, k.Own())
}
