package order_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/coord/order"
	"laburnumstack.org/laburnum/pkg/ident"
)

func models(ms ...ident.ModelName) []ident.ModelName { return ms }

func TestNext(t *testing.T) {
	cases := []struct {
		name    string
		engines []order.Engine
		want    []order.Order
	}{
		{"nothing to do", []order.Engine{{"a", models("x"), models("x"), true}}, nil},
		{"no report yet", []order.Engine{{"a", models("x"), nil, false}}, nil},
		{"load before drop", []order.Engine{{"a", models("x"), models("y"), true}}, []order.Order{{Engine: "a", Load: "x"}}},
		{"drop what is not wanted", []order.Engine{{"a", models("x"), models("x", "y"), true}}, []order.Order{{Engine: "a", Drop: "y"}}},
		{"one load at a time", []order.Engine{{"a", models("x"), models(), true}, {"b", models("x"), models(), true}}, []order.Order{{Engine: "a", Load: "x"}}},
		{"drops don't wait for the load interval", []order.Engine{{"a", models("x"), models(), true}, {"b", nil, models("y"), true}}, []order.Order{{Engine: "a", Load: "x"}, {Engine: "b", Drop: "y"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := order.Planner{Interval: time.Second}
			now := time.Now()
			var got []order.Order
			for range 5 {
				if o, ok := p.Next(c.engines, now); ok {
					got = append(got, o)
				}
			}
			test.Eq(t, c.want, got)
		})
	}
}

func TestOrderIsRepeatedUntilObserved(t *testing.T) {
	p := order.Planner{Interval: time.Second}
	now := time.Now()
	es := []order.Engine{{"a", models("x"), models(), true}}
	count := 0
	for s := range 30 {
		if _, ok := p.Next(es, now.Add(time.Duration(s)*time.Second)); ok {
			count++
		}
	}
	test.Eq(t, 3, count)
	es[0].Observed = models("x")
	_, ok := p.Next(es, now.Add(time.Hour))
	test.False(t, ok)
}
