package node

import (
	"context"
	"fmt"
	"time"

	"laburnumstack.org/laburnum/internal/coord/order"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/table"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// leaseLength is how long the lease on orders lasts without renewal.
	leaseLength = 6 * time.Second
	orderEvery  = 500 * time.Millisecond
	// orderTimeout bounds an order; it is given only while the lease lasts
	// for longer.
	orderTimeout = time.Second
	// loadInterval is the least time between two loads in the fleet.
	loadInterval = 2 * time.Second
)

// giveOrders brings the models of the engines to what the configuration says,
// while this node holds the lease.
func (n *Node) giveOrders(ctx context.Context) {
	p := order.Planner{Interval: loadInterval}
	delay.Every(ctx, orderEvery, func(time.Time) {
		number, left, held := n.lease.Held()
		if !held || left <= orderTimeout {
			p = order.Planner{Interval: loadInterval}
			return
		}
		if o, ok := p.Next(n.engines(), time.Now()); ok {
			n.giveOrder(ctx, o, number)
		}
	})
}

// engines compares the configuration with the engines' reports.
func (n *Node) engines() []order.Engine {
	t := n.core.Table()
	if t == nil {
		return nil
	}
	var es []order.Engine
	for _, name := range ident.SortedKeys(t.Endpoints) {
		e := t.Endpoints[name]
		if e.Config().Kind != confg.Engine || e.State() != table.Up {
			continue
		}
		observed := e.Load().Models
		es = append(es, order.Engine{
			Name: name, Wanted: e.Config().Models,
			Observed: observed, Reported: e.HasReport() && observed != nil,
		})
	}
	return es
}

func (n *Node) giveOrder(ctx context.Context, o order.Order, number ident.Offset) {
	e, ok := n.core.Table().Endpoints[o.Engine]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := n.engine.Order(ctx, e.Config().Address, messg.Order{Number: number, Load: o.Load, Drop: o.Drop})
	text := fmt.Sprintf("order %d to %s: load %q, drop %q", number, o.Engine, o.Load, o.Drop)
	if err != nil {
		text += ", failed: " + err.Error()
	}
	n.ring.Add(trace.Ordered, "", text)
	n.Logger.Info().Msg("orders: " + text)
}
