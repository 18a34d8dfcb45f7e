package engin_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/twice"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/engin"
)

// TestCallIsNotAnsweredByAnEarlierOne guards against memory that counts as reserved, work
// that counts as done and tokens of another prompt, because an engine wrote its answer to
// an earlier call once more. The first call of each case succeeds, the second one is
// refused.
func TestCallIsNotAnsweredByAnEarlierOne(t *testing.T) {
	ctx := context.Background()
	const token = `{"Index":0,"Text":"a","Finish":"stop"}` + "\n"
	calls := []struct {
		name   string
		answer string
		do     func(*engin.Client, string) error
	}{
		{"generate", token, generate},
		{"reserve", "", func(c *engin.Client, addr string) error { return c.Reserve(ctx, addr, "o", 9) }},
		{"release", "", func(c *engin.Client, addr string) error { return c.Release(ctx, addr, "o") }},
		{"prefill", "", func(c *engin.Client, addr string) error { return c.Prefill(ctx, addr, "o", 9) }},
		{"export", "", func(c *engin.Client, addr string) error { return c.Export(ctx, addr, "o", 9) }},
		{"import", "", func(c *engin.Client, addr string) error { return c.Import(ctx, addr, "o", 9) }},
		{"cancel", "", func(c *engin.Client, addr string) error { return c.Cancel(ctx, addr, "r") }},
		{"order", "", func(c *engin.Client, addr string) error { return c.Order(ctx, addr, messg.Order{}) }},
		{"events", "[]", func(c *engin.Client, addr string) error { _, err := c.Events(ctx, addr, 1); return err }},
		{"load", "{}", func(c *engin.Client, addr string) error { _, err := c.Load(ctx, addr, false); return err }},
	}
	for _, first := range calls {
		for _, second := range calls {
			for _, copiesIDs := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s after %s, copies IDs: %v", second.name, first.name, copiesIDs), func(t *testing.T) {
					s := &twice.Server{CopiesIDs: copiesIDs, Answers: []twice.Answer{{Status: 200, Body: first.answer}, {Status: 409, Body: `{"Code":"no-memory"}`}}}
					must.NoError(t, s.Listen())
					defer s.Close()
					c := &engin.Client{Pools: &conns.Pools{}}
					must.NoError(t, first.do(c, s.Address))
					test.Error(t, second.do(c, s.Address))
				})
			}
		}
	}
}

// generate reads the whole answer to a prompt.
func generate(c *engin.Client, addr string) error {
	s, err := c.Generate(context.Background(), addr, messg.GenerateRequest{MaxTokens: 1})
	if err != nil {
		return err
	}
	defer s.Close()
	k, err := s.Next()
	if err == nil && !k.Last {
		return errors.New("answer has no end")
	}
	return err
}

// TestRefusalOfAnEarlierCallIsNotBelieved guards against a prompt that runs twice because
// an engine wrote its refusal of an earlier one once more.
func TestRefusalOfAnEarlierCallIsNotBelieved(t *testing.T) {
	for _, copiesIDs := range []bool{true, false} {
		s := &twice.Server{CopiesIDs: copiesIDs, Answers: []twice.Answer{
			{Status: 503, Body: `{"Code":"refused"}`}, {Status: 200, Body: `{"Index":0,"Text":"a","Finish":"stop"}` + "\n"},
		}}
		must.NoError(t, s.Listen())
		defer s.Close()
		c := &engin.Client{Pools: &conns.Pools{}}
		test.ErrorIs(t, generate(c, s.Address), messg.ErrRefused)
		test.False(t, errors.Is(generate(c, s.Address), messg.ErrRefused))
	}
}
