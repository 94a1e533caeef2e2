// Package mirrorpb holds the generated messages of package mirror.
package mirrorpb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. mirror.proto
