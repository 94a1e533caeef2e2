// Package canarypb holds the generated messages of package canary.
package canarypb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. canary.proto
