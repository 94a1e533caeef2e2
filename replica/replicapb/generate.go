// Package replicapb holds the generated messages by which entry instances exchange the configuration.
package replicapb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. replica.proto
