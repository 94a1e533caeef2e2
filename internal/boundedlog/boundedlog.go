// Package boundedlog writes log lines without blocking the goroutine that logs. Lines that exceed a
// bounded queue are dropped and counted.
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
	// queueCapacity is the largest number of lines that wait for a slow output: a few seconds' worth of
	// a busy instance.
	queueCapacity = 4096
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

// Writer queues lines for another writer. Safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer. Its lines are written by Run.
func New() *Writer { return &Writer{lines: make(chan []byte, queueCapacity)} }

// Write implements io.Writer. It never blocks and never returns an error; if the queue is full, the line
// is dropped.
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

// Run writes queued lines to out until ctx ends, then those still in the queue; it returns an error if that
// fails. Lines that out does not take are dropped. Lines dropped since the last report are logged every reportInterval.
func (w *Writer) Run(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported uint64
	for {
		select {
		case line := <-w.lines:
			if _, err := out.Write(line); err != nil {
				w.dropped.Add(1)
			}
		case <-ticker.C:
			if dropped := w.dropped.Load(); dropped > reported {
				slog.New(slog.NewJSONHandler(out, nil)).Warn("log lines dropped", "dropped", dropped-reported, "in_all", dropped)
				reported = dropped
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
