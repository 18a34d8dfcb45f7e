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
	k.SetPeer("a", map[ident.WorkspaceName]tally.Use{"w": {Requests: 2, Tokens: 20}})
	k.SetPeer("b", map[ident.WorkspaceName]tally.Use{"w": {Requests: 3, Tokens: 30}})
	test.Eq(t, tally.Use{Requests: 6, Tokens: 60}, k.Of("w"))
	test.Eq(t, k.Of("w"), k.Fleet()["w"])
	end()
	end()
	k.SetPeer("b", nil)
	test.Eq(t, tally.Use{Requests: 2, Tokens: 20}, k.Of("w"))
	test.MapLen(t, 1, k.Own())
}
