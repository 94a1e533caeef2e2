package zone

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"plumbarrow.example/plumbarrow/contract"
)

// OrderID identifies an order. It consists of the configuration revision in force at the instance
// that issued the order, a dot and a UUID.
type OrderID string

// Order restricts a zone or a version until an accepted document settles it.
type Order struct {
	ID      OrderID
	Zone    string             // set for an order that takes a zone out of service
	Version contract.VersionID // set for an order that withdraws a version
}

func newOrderID(base contract.Revision) OrderID {
	return OrderID(fmt.Sprintf("%d.%s", base, uuid.NewString()))
}

// Base returns the configuration revision in force where the order was issued; 0 for a malformed id.
func (id OrderID) Base() contract.Revision {
	text, _, _ := strings.Cut(string(id), ".")
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return contract.Revision(base)
}

// sameTarget reports whether both orders restrict the same zone or version.
func (o Order) sameTarget(other Order) bool {
	return o.Zone == other.Zone && o.Version == other.Version
}

// settled reports whether a document with these orders has settled the order: it lists the id, or the
// order was issued where an earlier revision than ClearedBefore was in force.
func settled(orders *contract.Orders, id OrderID) bool {
	return id.Base() < orders.ClearedBefore || slices.Contains(orders.Cleared, string(id))
}

// maxSettled bounds the settled ids listed in a document. Beyond it the oldest ids are removed and
// ClearedBefore is raised, so that all orders of their revisions or earlier count as settled.
const maxSettled = 64

// Settle edits a document so that its zones and versions have the state that the orders demand, and
// lists the orders as settled. The caller proposes the document as the next revision.
func Settle(document *contract.Document, orders []Order) {
	for _, order := range orders {
		setZone(document, order.Zone, true)
		withdraw(document, order.Version)
		markSettled(&document.Orders, order.ID)
	}
}

// ReturnZone edits a document so that the zone is in service, and settles those of the given orders
// that take it out of service. An order that another instance issued meanwhile, and that is not
// among them, stays in effect.
func ReturnZone(document *contract.Document, zone string, orders []Order) {
	setZone(document, zone, false)
	for _, order := range orders {
		if order.Zone == zone {
			markSettled(&document.Orders, order.ID)
		}
	}
}

func setZone(document *contract.Document, name string, out bool) {
	for i := range document.Zones {
		if document.Zones[i].Name == name {
			document.Zones[i].OutOfService = out
		}
	}
}

func withdraw(document *contract.Document, id contract.VersionID) {
	for i := range document.Models {
		for j := range document.Models[i].Versions {
			if document.Models[i].Name == id.Model && document.Models[i].Versions[j].Name == id.Name {
				document.Models[i].Versions[j].State = contract.VersionWithdrawn
			}
		}
	}
}

func markSettled(orders *contract.Orders, id OrderID) {
	if settled(orders, id) {
		return
	}
	orders.Cleared = append(slices.Clone(orders.Cleared), string(id))
	for len(orders.Cleared) > maxSettled {
		oldest := slices.MinFunc(orders.Cleared, func(a, b string) int {
			return int(int64(OrderID(a).Base()) - int64(OrderID(b).Base()))
		})
		orders.ClearedBefore = max(orders.ClearedBefore, OrderID(oldest).Base()+1)
		orders.Cleared = slices.DeleteFunc(orders.Cleared, func(clearedID string) bool { return OrderID(clearedID).Base() < orders.ClearedBefore })
	}
}
