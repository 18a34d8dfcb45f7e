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
	// leaseLength is how long the lease lasts without renewal. Only the node that
	// holds it may send orders.
	leaseLength = 6 * time.Second
	// orderInterval is the time between two checks for an order to send.
	orderInterval = 500 * time.Millisecond
	// orderTimeout limits the call that sends an order. An order is sent only if
	// more than this is left of the lease.
	orderTimeout = time.Second
	// modelLoadInterval is the minimum time between two loads of models in the
	// fleet.
	modelLoadInterval = 2 * time.Second
)

// sendOrders sends the engines orders to load and drop models until they serve
// those of the configuration. It does so only while this node holds the lease.
func (n *Node) sendOrders(ctx context.Context) {
	p := order.Planner{Interval: modelLoadInterval}
	delay.Every(ctx, orderInterval, func(time.Time) {
		fencingNumber, left, held := n.elector.Held()
		if !held || left <= orderTimeout {
			p = order.Planner{Interval: modelLoadInterval}
			return
		}
		if o, ok := p.Next(n.engines(), time.Now()); ok {
			n.sendOrder(ctx, o, fencingNumber)
		}
	})
}

// engines returns the engines that are up, with the models that the configuration
// wants and those that they reported.
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

// sendOrder sends an order with the fencing number of the lease, and records it
// as an event.
func (n *Node) sendOrder(ctx context.Context, o order.Order, fencingNumber ident.Offset) {
	e, ok := n.core.Table().Endpoints[o.Engine]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := n.engineClient.Order(ctx, e.Config().Address, messg.Order{Number: fencingNumber, Load: o.Load, Drop: o.Drop})
	text := fmt.Sprintf("order %d to %s: load %q, drop %q", fencingNumber, o.Engine, o.Load, o.Drop)
	if err != nil {
		text += ", failed: " + err.Error()
	}
	n.ring.Add(trace.Ordered, "", text)
	n.Logger.Info().Msg("orders: " + text)
}
