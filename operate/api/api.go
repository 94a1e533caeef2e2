// Package api defines the messages of the operators' HTTP API, shared by server and client.
package api

import (
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/replica"
)

// Apply requests that a document be put into force: POST /v1/config.
type Apply struct {
	// ChangeID identifies the change; a repeat with the same id is safe.
	ChangeID string `json:"change_id"`
	// Base is the revision from which the document was edited; 0 for the first document.
	Base     contract.Revision `json:"base"`
	Author   string            `json:"author"`
	Document string            `json:"document"` // TOML
	// Recover is for a store that has lost the newest revision: the document gets the revision after
	// the one in force at the responding instance and replaces the store's without a merge.
	Recover bool `json:"recover,omitempty"`
	// WaitMS is how long to wait for the revision to be in force at all instances, in milliseconds;
	// 0 means no wait. The server waits at most one minute.
	WaitMS int `json:"wait_ms"`
}

// Applied is the response to Apply.
type Applied struct {
	replica.Result
	// Spread is the state of each zone: the lowest revision in force and the lagging instances.
	Spread []replica.ZoneSpread `json:"spread,omitempty"`
	// Unconfirmed names zones and instances that have not reported the revision as in force.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

// Config is the configuration in force at one instance: GET /v1/config.
type Config struct {
	Record   replica.Record `json:"record"`
	Document string         `json:"document"` // TOML
}

// Diff lists the entries that differ between two revisions: GET /v1/config/diff.
type Diff struct {
	From    contract.Revision `json:"from"`
	To      contract.Revision `json:"to"`
	Changes []contract.Change `json:"changes"`
}

// Order requests that a zone be taken out of service or returned to service, or that a version be
// withdrawn.
type Order struct {
	// ChangeID identifies the order; a repeat with the same id is safe.
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
}

// OrderState is the state of an order.
type OrderState string

// States of an order.
const (
	// Accepted: an accepted configuration contains the order.
	Accepted OrderState = "accepted"
	// Restricted: the order is in effect at every reachable instance, but the store has not accepted
	// it yet; instances keep proposing it.
	Restricted OrderState = "restricted_not_accepted_yet"
	// Refused: the order has no effect.
	Refused OrderState = "refused"
	// Unknown: the store may have accepted the order; repeat it with the same change id.
	Unknown OrderState = "unknown"
)

// Ordered is the response to Order.
type Ordered struct {
	OrderState OrderState        `json:"standing"`
	OrderID    string            `json:"order_id,omitempty"` // empty for the return of a zone and for a refusal
	Revision   contract.Revision `json:"revision,omitempty"` // that contains the order; 0 unless accepted
	Detail     string            `json:"detail,omitempty"`   // why it is refused or not accepted yet
}

// ActiveOrder is an order that is in effect on top of the configuration and not accepted yet.
type ActiveOrder struct {
	ID      string `json:"id"`
	Zone    string `json:"zone,omitempty"`
	Version string `json:"version,omitempty"`
	// Detail is the outcome of this instance's last proposal of the order.
	Detail string `json:"detail,omitempty"`
}

// Status is the state of one instance: GET /v1/status.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	NotReady string `json:"not_ready,omitempty"` // the reason
	// Revision in force; 0 for none.
	Revision  contract.Revision `json:"revision"`
	ChangedAt time.Time         `json:"changed_at,omitzero"` // when that revision was proposed
	// Confirmed is set if the store was recently found to hold no newer revision.
	Confirmed bool `json:"confirmed"`
	// ZonesOut names the zones that the configuration in force takes out of service; Orders may add
	// others.
	ZonesOut []string             `json:"zones_out,omitempty"`
	Orders   []ActiveOrder        `json:"orders,omitempty"`
	Spread   []replica.ZoneSpread `json:"spread"`
}

// Bill is the total of a customer's bills of one month over all zones.
type Bill struct {
	Customer     string `json:"customer"`
	Month        uint32 `json:"month"` // year times 100 plus month, UTC
	Bills        int64  `json:"bills"`
	Micros       int64  `json:"micros"` // micro-units of currency
	PromptTokens int64  `json:"prompt_tokens"`
	OutputTokens int64  `json:"output_tokens"`
}

// Error is the body of error responses, except for refused changes and orders, whose reason is in
// Applied or Ordered.
type Error struct {
	Message string `json:"message"`
}
