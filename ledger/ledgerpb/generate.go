// Package ledgerpb is generated from ledger.proto: the ledger's stored documents and its calls
// between entry instances.
package ledgerpb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. ledger.proto
