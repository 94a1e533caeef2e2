// Package boundedlog writes log lines without ever blocking those who log: lines beyond a bound are
// dropped and counted.
package boundedlog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// queued is the number of lines that wait for a slow reader: a few seconds of a busy instance.
	queued = 4096
	// reportEvery is how often dropped lines are told of.
	reportEvery = time.Second
)

// Writer queues lines for another writer. Safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer whose lines Run writes.
func New() *Writer { return &Writer{lines: make(chan []byte, queued)} }

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines to out until ctx ends, then those that are left.
func (w *Writer) Run(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var told uint64
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				return fmt.Errorf("log line not written: %w", err)
			}
		case <-ticker.C:
			if dropped := w.dropped.Load(); dropped > told {
				slog.New(slog.NewJSONHandler(out, nil)).Warn("log lines dropped", "dropped", dropped-told, "in_all", dropped)
				told = dropped
			}
		case <-ctx.Done():
			return w.flush(out)
		}
	}
}

func (w *Writer) flush(out io.Writer) error {
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				return fmt.Errorf("log line not written: %w", err)
			}
		default:
			return nil
		}
	}
}
