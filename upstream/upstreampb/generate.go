// Package upstreampb holds the generated messages of package upstream.
package upstreampb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. upstream.proto
