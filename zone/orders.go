package zone

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
	"plumbarrow.example/plumbarrow/zone/zonepb"
)

// maxOrders bounds the orders held at once.
const maxOrders = 512

// Orders is the set of restrictive orders in force beside the accepted configuration. It merges
// as a union, so among concurrent orders the most restrictive wins; only an accepted document
// that lists an order takes it out. Safe for concurrent use.
type Orders struct {
	source   contract.Source
	nudge    func()
	counters *telemetry.Counters
	log      *slog.Logger

	mu      sync.Mutex
	added   []func()
	active  []Order       // replaced, never edited in place
	changes atomic.Uint64 // counts the changes of active
}

var _ link.Topic = (*Orders)(nil)

// NewOrders returns an empty set. source gives the accepted configuration; nudge is called after
// each new order, so that it spreads at once.
func NewOrders(source contract.Source, nudge func(), counters *telemetry.Counters, log *slog.Logger) *Orders {
	return &Orders{source: source, nudge: nudge, counters: counters, log: log}
}

// OnChange registers a function that is called after new orders are in force.
func (o *Orders) OnChange(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.added = append(o.added, f)
}

// announce spreads new orders and tells the registered functions.
func (o *Orders) announce() {
	o.nudge()
	o.mu.Lock()
	added := o.added[:len(o.added):len(o.added)]
	o.mu.Unlock()
	for _, f := range added {
		f()
	}
}

// TakeOut takes a zone out of service at every reachable instance. It needs no store.
func (o *Orders) TakeOut(zone string) (Order, error) {
	snapshot := o.source.Current()
	if snapshot == nil || snapshot.Zones[zone] == nil {
		return Order{}, verdict.Refuse(verdict.BadRequest, "zone %s is not configured", zone)
	}
	return o.give(Order{ID: newOrderID(snapshot.Revision), Zone: zone})
}

// Withdraw withdraws a version at every reachable instance. It needs no store.
func (o *Orders) Withdraw(version contract.VersionID) (Order, error) {
	snapshot := o.source.Current()
	if snapshot == nil || snapshot.Versions[version] == nil {
		return Order{}, verdict.Refuse(verdict.BadRequest, "version %s is not configured", version)
	}
	return o.give(Order{ID: newOrderID(snapshot.Revision), Version: version})
}

// give adds an order unless one with the same target is in force, and returns the one in force.
func (o *Orders) give(order Order) (Order, error) {
	o.mu.Lock()
	o.drop()
	at := slices.IndexFunc(o.active, order.sameTarget)
	if at >= 0 {
		order = o.active[at]
	}
	added := at < 0 && o.add(order)
	o.mu.Unlock()
	if at < 0 && !added {
		return Order{}, verdict.Refuse(verdict.ShedOverload, "%d orders are in force, no more are taken", maxOrders)
	}
	o.announce()
	return order, nil
}

// Active returns the orders in force, ordered by id: those that a document has yet to settle.
func (o *Orders) Active() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drop()
	return slices.Clone(o.active)
}

// against returns the orders that hold beside the snapshot, with the count of changes they rest on.
func (o *Orders) against(snapshot *contract.Snapshot) ([]Order, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drop()
	orders := slices.DeleteFunc(slices.Clone(o.active), func(order Order) bool {
		return cleared(&snapshot.Document.Orders, order.ID)
	})
	return orders, o.changes.Load()
}

// Restrictions returns what the orders in force take away.
func (o *Orders) Restrictions() contract.Restrictions {
	return restrictions(o.Active())
}

func restrictions(orders []Order) contract.Restrictions {
	all := contract.Restrictions{ZonesOut: make(map[string]bool), VersionsWithdrawn: make(map[contract.VersionID]bool)}
	for _, order := range orders {
		if order.Zone != "" {
			all.ZonesOut[order.Zone] = true
			continue
		}
		all.VersionsWithdrawn[order.Version] = true
	}
	return all
}

// Name implements link.Topic.
func (o *Orders) Name() string { return "orders" }

// Message implements link.Topic.
func (o *Orders) Message(machine.Member) []byte {
	active := o.Active()
	if len(active) == 0 {
		return nil
	}
	message := &zonepb.Orders{}
	for _, order := range active {
		message.Orders = append(message.Orders, &zonepb.Order{
			Id:      string(order.ID),
			Zone:    order.Zone,
			Model:   order.Version.Model,
			Version: order.Version.Name,
		})
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		o.log.Error("orders not encoded", "error", err)
	}
	return payload
}

// Receive implements link.Topic.
func (o *Orders) Receive(from machine.Member, payload []byte) {
	message := &zonepb.Orders{}
	if err := proto.Unmarshal(payload, message); err != nil {
		o.log.Warn("orders not decoded", "peer", from.ID, "error", err)
		return
	}
	if o.merge(message) {
		o.announce()
	}
}

// merge adds the orders that are new and not cleared, and says whether there were any.
func (o *Orders) merge(message *zonepb.Orders) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drop()
	changed := false
	for _, one := range message.GetOrders() {
		order := Order{
			ID:      OrderID(one.GetId()),
			Zone:    one.GetZone(),
			Version: contract.VersionID{Model: one.GetModel(), Name: one.GetVersion()},
		}
		if o.isCleared(order.ID) || slices.Contains(o.active, order) {
			continue
		}
		changed = o.add(order) || changed
	}
	return changed
}

// add inserts an order in the order of ids; false if the set is full.
func (o *Orders) add(order Order) bool {
	if len(o.active) >= maxOrders {
		o.counters.Inc("plumbarrow_orders_dropped_total")
		o.log.Error("order dropped: too many are in force", "order", order.ID)
		return false
	}
	at, _ := slices.BinarySearchFunc(o.active, order, func(a, b Order) int { return strings.Compare(string(a.ID), string(b.ID)) })
	o.active = slices.Insert(slices.Clone(o.active), at, order)
	o.changes.Add(1)
	o.counters.Inc("plumbarrow_orders_total")
	o.log.Warn("order in force", "order", order.ID, "zone", order.Zone, "version", order.Version.String())
	return true
}

// drop forgets the orders that the accepted document has settled.
func (o *Orders) drop() {
	kept := slices.DeleteFunc(slices.Clone(o.active), func(order Order) bool { return o.isCleared(order.ID) })
	if len(kept) != len(o.active) {
		o.active = kept
		o.changes.Add(1)
	}
}

func (o *Orders) isCleared(id OrderID) bool {
	snapshot := o.source.Current()
	return snapshot != nil && cleared(&snapshot.Document.Orders, id)
}
