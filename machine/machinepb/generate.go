// Package machinepb holds the generated messages and drpc service of package machine.
package machinepb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. machine.proto
