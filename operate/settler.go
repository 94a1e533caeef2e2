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
	retryInterval = 2 * time.Second
	// adoptAfter is the age at which the elected instance also proposes orders of other instances.
	adoptAfter = 10 * time.Second
)

// settler proposes active orders, which apply without the store, until an accepted configuration
// contains them. The instance that received an order proposes it. If the order is still active after
// adoptAfter, one elected instance (rendezvous hashing over the live members) proposes it too, as the
// first one may be gone.
type settler struct {
	server *Server

	mu          sync.Mutex
	authors     map[zone.OrderID]string    // author of each order received by this instance's API
	firstSeen   map[zone.OrderID]time.Time // when this instance first saw the active order
	lastOutcome map[zone.OrderID]string    // outcome and detail of the last proposal from here
}

func (t *settler) init(server *Server) {
	t.server = server
	t.authors = make(map[zone.OrderID]string)
	t.firstSeen = make(map[zone.OrderID]time.Time)
	t.lastOutcome = make(map[zone.OrderID]string)
}

func (t *settler) add(order zone.Order, author string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.authors[order.ID] = author
}

func (t *settler) run(ctx context.Context) error {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, order := range t.due() {
			t.propose(ctx, order)
		}
	}
}

// due returns the active orders that this instance should propose now. It also prunes the state of
// orders that are no longer active.
func (t *settler) due() []zone.Order {
	active := t.server.Orders.Active()
	elected := t.elected()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []zone.Order
	for _, order := range active {
		if t.firstSeen[order.ID].IsZero() {
			t.firstSeen[order.ID] = now
		}
		_, local := t.authors[order.ID]
		if local || elected && now.Sub(t.firstSeen[order.ID]) >= adoptAfter {
			due = append(due, order)
		}
	}
	t.prune(active)
	return due
}

// prune deletes the state of orders that are no longer active. t.mu must be held.
func (t *settler) prune(active []zone.Order) {
	for id := range t.firstSeen {
		if !slices.ContainsFunc(active, func(order zone.Order) bool { return order.ID == id }) {
			delete(t.firstSeen, id)
			delete(t.authors, id)
			delete(t.lastOutcome, id)
		}
	}
}

// elected reports whether this instance is the one that proposes other instances' orders.
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

// propose proposes an order with the order's id as change id, so that the store accepts it only once
// even if several instances propose it. An order that the document lists as settled is not applied
// again, as the zone may have returned to service since.
func (t *settler) propose(ctx context.Context, order zone.Order) replica.Result {
	t.mu.Lock()
	author := t.authors[order.ID]
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
	t.lastOutcome[order.ID] = result.Outcome.String() + ": " + result.Detail
	return result
}

func settled(orders *contract.Orders, id zone.OrderID) bool {
	return id.Base() < orders.ClearedBefore || slices.Contains(orders.Cleared, string(id))
}

// active returns the orders that are in effect but not accepted yet.
func (t *settler) active() []api.ActiveOrder {
	var orders []api.ActiveOrder
	active := t.server.Orders.Active()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, order := range active {
		activeOrder := api.ActiveOrder{ID: string(order.ID), Zone: order.Zone, Detail: t.lastOutcome[order.ID]}
		if order.Zone == "" {
			activeOrder.Version = order.Version.String()
		}
		orders = append(orders, activeOrder)
	}
	return orders
}
