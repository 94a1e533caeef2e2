// Package rolloutpb holds the messages in which entry instances share evidence about versions.
package rolloutpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative rollout.proto
