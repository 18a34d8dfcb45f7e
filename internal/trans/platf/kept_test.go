package platf_test

import (
	"context"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/twice"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/platf"
)

// TestCallIsNotAnsweredByAnEarlierOne guards against an append that counts as made, and
// against records and VMs of an earlier call, because the platform wrote its answer to
// that call once more. The first call of each case succeeds, the second one is rejected.
func TestCallIsNotAnsweredByAnEarlierOne(t *testing.T) {
	ctx := context.Background()
	type call = func(addr string, ps *conns.Pools) error
	calls := []struct {
		name, answer string
		do           call
	}{
		{"append", `{"Offset":4}`, func(addr string, ps *conns.Pools) error {
			_, err := (&platf.Log{Address: addr, Pools: ps}).Append(ctx, "s", []byte("{}"))
			return err
		}},
		{"read", `{"Next":1,"Records":[{"Offset":0,"Data":"e30="}]}`, func(addr string, ps *conns.Pools) error {
			_, err := (&platf.Log{Address: addr, Pools: ps}).Read(ctx, "s", 1, 0)
			return err
		}},
		{"list", `[]`, func(addr string, ps *conns.Pools) error {
			_, err := (&platf.VMs{Address: addr, Pools: ps}).List(ctx)
			return err
		}},
	}
	for _, first := range calls {
		for _, second := range calls {
			for _, copiesIDs := range []bool{true, false} {
				t.Run(second.name+" after "+first.name, func(t *testing.T) {
					s := &twice.Server{CopiesIDs: copiesIDs, Answers: []twice.Answer{{Status: 200, Body: first.answer}, {Status: 503}}}
					must.NoError(t, s.Listen())
					defer s.Close()
					ps := &conns.Pools{}
					must.NoError(t, first.do(s.Address, ps))
					test.ErrorIs(t, second.do(s.Address, ps), platf.ErrUnavailable)
				})
			}
		}
	}
}
