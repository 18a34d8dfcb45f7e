package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/engin"
	"laburnumstack.org/laburnum/pkg/admin"
	"laburnumstack.org/laburnum/pkg/ident"
)

func TestRacingPatches(t *testing.T) {
	f := startFleet(t)
	results := make(chan admin.Verdict, len(f.Nodes))
	for i := range f.Nodes {
		go func() {
			v, err := f.Client(i).Patch(admin.PatchRequest{ID: ident.PatchID(ident.NewID()), Base: 1, Author: "t", Merge: json.RawMessage(`{}`)})
			test.NoError(t, err)
			results <- v
		}()
	}
	accepted := 0
	for range f.Nodes {
		if v := <-results; v.Result == admin.Accepted {
			accepted++
		} else {
			test.Eq(t, admin.Stale, v.Result)
		}
	}
	test.Eq(t, 1, accepted)
	must.NoError(t, f.AwaitVersion(2))
}

func TestOrdersFollowTheConfiguration(t *testing.T) {
	f := startFleet(t)
	const extra = "assistente-mapas"
	merge := fmt.Sprintf(`{"Endpoints":{%q:{"Models":[%q,%q]},%q:{"Models":[%q]}},"Routes":{"maps":{"PathPrefix":"/v1/","Class":"Prompt","Models":[%q]}}}`,
		f.Plan.EngineName(0), f.Plan.Model, extra, f.Plan.EngineName(1), extra, extra)
	v, err := f.Patch(json.RawMessage(merge), 1)
	must.NoError(t, err)
	must.Eq(t, admin.Accepted, v.Result, must.Sprint(v.Problems))
	waitFor(t, "models are loaded and dropped", func() bool {
		return f.Engines[0].HasModel(extra) && f.Engines[1].HasModel(extra) && !f.Engines[1].HasModel(f.Plan.Model)
	})
	body := fmt.Sprintf(`{"model":%q,"prompt":"hi","max_tokens":2}`, extra)
	waitFor(t, "prompt is served", func() bool {
		return call(f, 0, "POST", "/v1/completions", body).status == http.StatusOK
	})
	test.Eq(t, 1, f.Engines[0].OrderCount())
	test.Eq(t, 2, f.Engines[1].OrderCount())
	test.Eq(t, 0, f.Engines[2].OrderCount())
	eng := &engin.Client{Pools: &conns.Pools{}}
	old := messg.Order{Number: -1, Drop: extra}
	test.ErrorIs(t, eng.Order(context.Background(), f.Engines[0].Address, old), messg.ErrOldFencingNumber)
	must.True(t, f.Engines[0].HasModel(extra))
	must.NoError(t, eng.Order(context.Background(), f.Engines[1].Address, old))
	waitFor(t, "the effect of the late order is undone", func() bool { return f.Engines[1].HasModel(extra) })
}
