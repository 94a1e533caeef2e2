// Package zonepb holds the generated messages and drpc service of package zone.
package zonepb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. zone.proto
