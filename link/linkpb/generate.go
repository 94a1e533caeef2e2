// Package linkpb holds the drpc messages and services of package link.
package linkpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative link.proto
