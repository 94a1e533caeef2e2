package operate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/zone"
)

const (
	settleInterval = 2 * time.Second
	// adoptAfter is when an order that its own instance has not had accepted is taken on by the
	// elected instance as well.
	adoptAfter = 10 * time.Second
)

// settler has orders that hold without the store written into the configuration. The instance that
// took an order tries; if that does not succeed, one elected instance tries too, for as long as any
// instance remembers the order.
type settler struct {
	server *Server

	mu     sync.Mutex
	own    map[zone.OrderID]string    // orders given here, to their author
	seen   map[zone.OrderID]time.Time // since when an order is known here
	detail map[zone.OrderID]string    // the last attempt's outcome
}

func (t *settler) init(server *Server) {
	t.server = server
	t.own = make(map[zone.OrderID]string)
	t.seen = make(map[zone.OrderID]time.Time)
	t.detail = make(map[zone.OrderID]string)
}

func (t *settler) add(order zone.Order, author string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[order.ID] = author
}

func (t *settler) run(ctx context.Context) error {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, order := range t.due() {
			t.try(ctx, order)
		}
	}
}

// due returns the orders that this instance should try to have accepted, and forgets settled ones.
func (t *settler) due() []zone.Order {
	active := t.server.Orders.Active()
	elected := t.elected()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []zone.Order
	for _, order := range active {
		if t.seen[order.ID].IsZero() {
			t.seen[order.ID] = now
		}
		_, own := t.own[order.ID]
		if own || elected && now.Sub(t.seen[order.ID]) >= adoptAfter {
			due = append(due, order)
		}
	}
	t.forget(active)
	return due
}

// forget drops what is known of orders that are not active any more; t.mu is held.
func (t *settler) forget(active []zone.Order) {
	for id := range t.seen {
		if !slices.ContainsFunc(active, func(order zone.Order) bool { return order.ID == id }) {
			delete(t.seen, id)
			delete(t.own, id)
			delete(t.detail, id)
		}
	}
}

func (t *settler) elected() bool {
	var ids []string
	for _, member := range t.server.Members.Live() {
		ids = append(ids, string(member.ID))
	}
	if len(ids) == 0 {
		return true
	}
	return rendezvous.New(ids, xxhash.Sum64String).Lookup("orders") == string(t.server.Members.Self().ID)
}

// try proposes an order under its own id, so that it is accepted once however many try. An order
// that the document lists as settled is left alone: the zone may be back in service.
func (t *settler) try(ctx context.Context, order zone.Order) replica.Result {
	t.mu.Lock()
	author := t.own[order.ID]
	t.mu.Unlock()
	if author == "" {
		author = "plumbarrow"
	}
	result := t.server.Proposer.Edit(ctx, replica.Edit{
		ChangeID:    string(order.ID),
		Author:      author,
		Restrictive: true,
		Apply: func(document *contract.Document) error {
			if !settled(&document.Orders, order.ID) {
				zone.Settle(document, []zone.Order{order})
			}
			return nil
		},
	})
	t.server.Counters.Add("plumbarrow_orders_settled_total", "outcome", result.Outcome.String())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detail[order.ID] = result.Outcome.String() + ": " + result.Detail
	return result
}

func settled(orders *contract.Orders, id zone.OrderID) bool {
	return id.Base() < orders.ClearedBefore || slices.Contains(orders.Cleared, string(id))
}

// active lists the orders that are not accepted yet.
func (t *settler) active() []api.ActiveOrder {
	var orders []api.ActiveOrder
	active := t.server.Orders.Active()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, order := range active {
		one := api.ActiveOrder{ID: string(order.ID), Zone: order.Zone, Detail: t.detail[order.ID]}
		if order.Zone == "" {
			one.Version = order.Version.String()
		}
		orders = append(orders, one)
	}
	return orders
}
