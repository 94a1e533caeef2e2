// Package quarantinepb holds the generated messages of package quarantine.
package quarantinepb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. quarantine.proto
