package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
)

// errStopSignal ends the group of actors after a signal that asks for a planned stop.
var errStopSignal = errors.New("stop signal received")

// signals are the signals that the process handles. They are caught until it exits: the default action would end a process that is
// still finishing requests.
type signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

func catchSignals() *signals {
	// Otherwise a write to standard output or error whose reader has gone ends the process.
	signal.Ignore(syscall.SIGPIPE)
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// awaitStop waits for a signal that asks for a planned stop and returns errStopSignal. It returns nil if ctx ends first.
func (s *signals) awaitStop(ctx context.Context) error {
	select {
	case <-s.stop:
		return errStopSignal
	case <-ctx.Done():
		return nil
	}
}
