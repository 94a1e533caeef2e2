package ledger

import (
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/machine"
)

// billCopies holds replicas of other instances' bills until the store's totals include them. Safe
// for concurrent use.
type billCopies struct {
	limit int // upper bound of size

	mu      sync.Mutex
	size    int // bills over all origins
	origins map[machine.Incarnation]*billOrigin
}

// billOrigin holds the bills of one incarnation, with consecutive numbers that start at applied+1.
type billOrigin struct {
	zone        string
	applied     uint64 // the store's totals include all bills up to this number
	bills       []*ledgerpb.HeldBill
	lastContact time.Time // of the origin itself; forwarded copies of its bills don't count
}

func newBillCopies(limit int) *billCopies {
	return &billCopies{limit: limit, origins: make(map[machine.Incarnation]*billOrigin)}
}

// add stores the bills that directly follow those already held, up to the limit, and returns the
// highest numbers held and applied.
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

// last returns the highest bill number that is held or applied.
func (o *billOrigin) last() uint64 {
	if len(o.bills) == 0 {
		return o.applied
	}
	return o.bills[len(o.bills)-1].Number
}

// dropApplied removes the bills up to the applied number. The caller holds c.mu.
func (c *billCopies) dropApplied(origin *billOrigin, applied uint64) {
	origin.applied = max(origin.applied, applied)
	for len(origin.bills) > 0 && origin.bills[0].Number <= origin.applied {
		origin.bills = origin.bills[1:]
		c.size--
	}
}

// markApplied removes the incarnation's bills up to the applied number.
func (c *billCopies) markApplied(incarnation machine.Incarnation, applied uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if origin := c.origins[incarnation]; origin != nil {
		c.dropApplied(origin, applied)
	}
}

// evictSilentOrigins removes the origins that have no bills left and have not sent for longer than
// timeout.
func (c *billCopies) evictSilentOrigins(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, origin := range c.origins {
		if len(origin.bills) == 0 && time.Since(origin.lastContact) > timeout {
			delete(c.origins, incarnation)
		}
	}
}

// zones returns the zones of which this instance holds bills.
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

// requestsOf returns one request per origin of the zone that holds bills and has not sent for at
// least minSilence. The requests are marked as forwarded.
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

// len returns the number of bills held.
func (c *billCopies) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}
