package contract

// Orders records which restrictive orders (taking a zone out, withdrawing a version) the document
// has settled. An order applies on top of the document until an accepted document lists it here. A
// document lists an order both when it adopts the order's effect and when it lifts the order.
type Orders struct {
	// Cleared are the ids of settled orders. Default none.
	Cleared []string `toml:"cleared"`
	// ClearedBefore settles all orders that were issued where an earlier revision than this one was in
	// force. Default 0.
	ClearedBefore Revision `toml:"cleared_before"`
}
