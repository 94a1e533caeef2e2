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

// Orders is the set of restrictive orders in effect in addition to the accepted configuration. Sets
// merge as a union, so that among concurrent orders the most restrictive wins. An order is removed
// only when an accepted document settles it. Safe for concurrent use.
type Orders struct {
	source       contract.Source
	triggerRound func()
	counters     *telemetry.Counters
	log          *slog.Logger

	mu          sync.Mutex
	onChange    []func()
	active      []Order       // copied on write
	changeCount atomic.Uint64 // incremented on each change of active
}

var _ link.Topic = (*Orders)(nil)

// NewOrders returns an empty set. source returns the accepted configuration. triggerRound is called
// after each new order; it starts an exchange with the peers, so that the order propagates at once.
func NewOrders(source contract.Source, triggerRound func(), counters *telemetry.Counters, log *slog.Logger) *Orders {
	return &Orders{source: source, triggerRound: triggerRound, counters: counters, log: log}
}

// OnChange registers a function that is called after new orders are in effect.
func (o *Orders) OnChange(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.onChange = append(o.onChange, f)
}

// notify starts an exchange round and calls the registered functions.
func (o *Orders) notify() {
	o.triggerRound()
	o.mu.Lock()
	onChange := o.onChange[:len(o.onChange):len(o.onChange)]
	o.mu.Unlock()
	for _, f := range onChange {
		f()
	}
}

// TakeZoneOut orders a zone out of service at every reachable instance. It works without the store.
// If such an order is in effect already, it returns that one. Errors are refusals (package verdict):
// the zone is not configured, or maxOrders orders are in effect.
func (o *Orders) TakeZoneOut(zone string) (Order, error) {
	snapshot := o.source.Current()
	if snapshot == nil || snapshot.Zones[zone] == nil {
		return Order{}, verdict.Refuse(verdict.BadRequest, "zone %s is not configured", zone)
	}
	return o.issue(Order{ID: newOrderID(snapshot.Revision), Zone: zone})
}

// WithdrawVersion orders a version withdrawn at every reachable instance. It works without the store.
// Its result and errors are like TakeZoneOut's.
func (o *Orders) WithdrawVersion(version contract.VersionID) (Order, error) {
	snapshot := o.source.Current()
	if snapshot == nil || snapshot.Versions[version] == nil {
		return Order{}, verdict.Refuse(verdict.BadRequest, "version %s is not configured", version)
	}
	return o.issue(Order{ID: newOrderID(snapshot.Revision), Version: version})
}

// issue adds an order unless one with the same target is in effect, and returns the one in effect.
func (o *Orders) issue(order Order) (Order, error) {
	o.mu.Lock()
	o.removeSettled()
	index := slices.IndexFunc(o.active, order.sameTarget)
	if index >= 0 {
		order = o.active[index]
	}
	added := index < 0 && o.add(order)
	o.mu.Unlock()
	if index < 0 && !added {
		return Order{}, verdict.Refuse(verdict.ShedOverload, "%d orders are in force, no more are taken", maxOrders)
	}
	o.notify()
	return order, nil
}

// Active returns the orders that the accepted document has not settled, sorted by id.
func (o *Orders) Active() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removeSettled()
	return slices.Clone(o.active)
}

// unsettled returns the orders that the snapshot has not settled, and the changeCount of the set that
// they were read from.
func (o *Orders) unsettled(snapshot *contract.Snapshot) ([]Order, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removeSettled()
	orders := slices.DeleteFunc(slices.Clone(o.active), func(order Order) bool {
		return settled(&snapshot.Document.Orders, order.ID)
	})
	return orders, o.changeCount.Load()
}

// Restrictions returns the zones and versions that the orders in effect restrict.
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
		o.log.Error("encoding orders failed", "error", err)
	}
	return payload
}

// Receive implements link.Topic.
func (o *Orders) Receive(from machine.Member, payload []byte) {
	message := &zonepb.Orders{}
	if err := proto.Unmarshal(payload, message); err != nil {
		o.log.Warn("decoding orders failed", "peer", from.ID, "error", err)
		return
	}
	if o.merge(message) {
		o.notify()
	}
}

// merge adds the orders that are new and not settled, and reports whether it added any.
func (o *Orders) merge(message *zonepb.Orders) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removeSettled()
	changed := false
	for _, encoded := range message.GetOrders() {
		order := Order{
			ID:      OrderID(encoded.GetId()),
			Zone:    encoded.GetZone(),
			Version: contract.VersionID{Model: encoded.GetModel(), Name: encoded.GetVersion()},
		}
		if o.isSettled(order.ID) || slices.Contains(o.active, order) {
			continue
		}
		changed = o.add(order) || changed
	}
	return changed
}

// add inserts an order, keeping the set sorted by id. It returns false if the set is full. The caller
// holds mu.
func (o *Orders) add(order Order) bool {
	if len(o.active) >= maxOrders {
		o.counters.Inc("plumbarrow_orders_dropped_total")
		o.log.Error("order dropped: too many are in force", "order", order.ID, "zone", order.Zone,
			"version", order.Version.String(), "limit", maxOrders)
		return false
	}
	index, _ := slices.BinarySearchFunc(o.active, order, func(a, b Order) int { return strings.Compare(string(a.ID), string(b.ID)) })
	o.active = slices.Insert(slices.Clone(o.active), index, order)
	o.changeCount.Add(1)
	o.counters.Inc("plumbarrow_orders_total")
	o.log.Warn("order in force", "order", order.ID, "zone", order.Zone, "version", order.Version.String())
	return true
}

// removeSettled removes the orders that the accepted document has settled. The caller holds mu.
func (o *Orders) removeSettled() {
	kept := slices.DeleteFunc(slices.Clone(o.active), func(order Order) bool { return o.isSettled(order.ID) })
	if len(kept) != len(o.active) {
		o.active = kept
		o.changeCount.Add(1)
	}
}

func (o *Orders) isSettled(id OrderID) bool {
	snapshot := o.source.Current()
	return snapshot != nil && settled(&snapshot.Document.Orders, id)
}
