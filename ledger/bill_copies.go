package ledger

import (
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
)

// billCopies holds other instances' bills until the store's totals include them. They are a
// short-lived hand-over: nothing is kept that the store has applied.
type billCopies struct {
	limit int

	mu      sync.Mutex
	size    int
	origins map[machine.Incarnation]*billOrigin
}

// billOrigin is one incarnation's bills, without a gap.
type billOrigin struct {
	zone        string
	applied     uint64
	bills       []*ledgerpb.HeldBill
	lastContact time.Time // when it last sent; holders that pass its bills on don't count
}

func newBillCopies(limit int) *billCopies {
	return &billCopies{limit: limit, origins: make(map[machine.Incarnation]*billOrigin)}
}

// add keeps the bills that follow those already held, as far as there is room.
func (c *billCopies) add(request *ledgerpb.HoldBillsRequest) *ledgerpb.HoldBillsResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	incarnation := machine.Incarnation(request.Incarnation)
	origin := c.origins[incarnation]
	if origin == nil {
		origin = &billOrigin{zone: request.Zone, applied: request.Applied}
		c.origins[incarnation] = origin
	}
	if !request.PassedOn {
		origin.lastContact = time.Now()
	}
	c.dropApplied(origin, request.Applied)
	for _, bill := range request.Bills {
		if bill.Number == origin.last()+1 && c.size < c.limit {
			origin.bills = append(origin.bills, bill)
			c.size++
		}
	}
	return &ledgerpb.HoldBillsResponse{Held: origin.last(), Applied: origin.applied}
}

func (o *billOrigin) last() uint64 {
	if len(o.bills) == 0 {
		return o.applied
	}
	return o.bills[len(o.bills)-1].Number
}

// dropApplied forgets the bills that the store has applied; c.mu is held.
func (c *billCopies) dropApplied(origin *billOrigin, applied uint64) {
	origin.applied = max(origin.applied, applied)
	for len(origin.bills) > 0 && origin.bills[0].Number <= origin.applied {
		origin.bills = origin.bills[1:]
		c.size--
	}
}

// markApplied takes note of what the store has applied.
func (c *billCopies) markApplied(incarnation machine.Incarnation, applied uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if origin := c.origins[incarnation]; origin != nil {
		c.dropApplied(origin, applied)
	}
}

// evictSilentOrigins forgets the origins that have no bills left and have not sent for a while.
func (c *billCopies) evictSilentOrigins(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, origin := range c.origins {
		if len(origin.bills) == 0 && time.Since(origin.lastContact) > timeout {
			delete(c.origins, incarnation)
		}
	}
}

// zones returns the zones whose bills are held here.
func (c *billCopies) zones() map[string]struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	zones := make(map[string]struct{})
	for _, origin := range c.origins {
		if len(origin.bills) > 0 {
			zones[origin.zone] = struct{}{}
		}
	}
	return zones
}

// requestsOf returns the bills of a zone as requests to hold them; only those of origins that have been
// silent for at least silence.
func (c *billCopies) requestsOf(zone string, minSilence time.Duration) []*ledgerpb.HoldBillsRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var requests []*ledgerpb.HoldBillsRequest
	for incarnation, origin := range c.origins {
		if origin.zone != zone || len(origin.bills) == 0 || time.Since(origin.lastContact) < minSilence {
			continue
		}
		requests = append(requests, &ledgerpb.HoldBillsRequest{
			Zone:        zone,
			Incarnation: string(incarnation),
			Applied:     origin.applied,
			PassedOn:    true,
			Bills:       append([]*ledgerpb.HeldBill(nil), origin.bills...),
		})
	}
	return requests
}

// len returns how many bills are held.
func (c *billCopies) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}
