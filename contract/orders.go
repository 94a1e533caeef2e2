package contract

// Orders records which restrictive orders the document has settled. An order holds, beside the
// document, until a document lists it here: a document that makes the order's effect permanent
// and one that lifts it both list it.
type Orders struct {
	// Cleared are the ids of settled orders. Default none.
	Cleared []string `toml:"cleared"`
	// ClearedBefore settles all orders given before this revision was in force. Default 0.
	ClearedBefore Revision `toml:"cleared_before"`
}
