package control

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/engine"
	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	orderPeriod  = 500 * time.Millisecond
	orderTimeout = 2 * time.Second
)

type orderKey struct {
	upstream string
	action   resource.OrderAction
}

// sendOrders reconciles the engines that are assigned to this VM with their orders. At most one
// order is in flight per engine. Engines that do not check fencing tokens are reconciled the same
// way, so an order that a stale sender overwrote is sent again.
func (c *Controller) sendOrders(now time.Time) {
	if !c.Snapshot().Fresh(now) {
		return
	}
	for _, order := range newestOrders(c.view.Orders) {
		upstream, exists := c.view.Upstreams[order.Upstream]
		_, inFlight := c.ordersInFlight[order.Upstream]
		if !exists || inFlight || c.roster.PreferredVM("order/"+order.Upstream, now) != c.self.VM {
			continue
		}
		c.ordersInFlight[order.Upstream] = now
		go c.reconcileOrder(order, upstream)
	}
}

// newestOrders returns the order with the highest fencing token for each engine and action.
func newestOrders(orders []catalog.VersionedOrder) map[orderKey]catalog.VersionedOrder {
	newest := map[orderKey]catalog.VersionedOrder{}
	for _, order := range orders {
		key := orderKey{upstream: order.Upstream, action: order.Action}
		if order.Fence > newest[key].Fence {
			newest[key] = order
		}
	}
	return newest
}

// reconcileOrder reads the report of an engine and sends the order if the reported value differs
// from it.
func (c *Controller) reconcileOrder(order catalog.VersionedOrder, upstream resource.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	defer c.post(func() { delete(c.ordersInFlight, order.Upstream) })
	report, err := c.engines.Report(ctx, upstream.Address, upstream.Name)
	if err != nil || report.Orders[string(order.Action)] == order.Value {
		return
	}
	// While the report was read, the order may have been superseded or the state may have become
	// stale.
	snapshot := c.Snapshot()
	current := newestOrders(snapshot.View.Orders)[orderKey{upstream: order.Upstream, action: order.Action}]
	if current.Fence != order.Fence || !snapshot.Fresh(c.now()) {
		return
	}
	err = c.engines.Order(ctx, upstream.Address, order.Fence, string(order.Action), order.Value)
	var engineErr *engine.Error
	fenced := errors.As(err, &engineErr) && engineErr.Kind == engine.ErrFenced
	c.log.Info("order-sent", zap.String("Upstream", upstream.Name), zap.String("Action", string(order.Action)),
		zap.String("Value", order.Value), zap.Uint64("Fence", order.Fence), zap.Bool("Fenced", fenced), zap.Error(err))
}
