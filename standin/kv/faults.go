package kv

import (
	"context"
	"time"

	"plumbarrow.example/plumbarrow/infra"
)

// Op is a kind of call to the store.
type Op string

// Kinds of calls.
const (
	OpGet     Op = "get"
	OpList    Op = "list"
	OpSwap    Op = "swap"
	OpDelete  Op = "delete"
	OpWatch   Op = "watch"
	OpAcquire Op = "acquire"
	OpRelease Op = "release"
)

// Faults are the faults to inject. The zero value is a healthy store. A write takes the first that has a
// count left: FailedWrites, DroppedWrites, LostAnswers.
type Faults struct {
	// Down fails every call without effect.
	Down bool `json:"down"`
	// LostAnswers is how many of the next writes take effect but return infra.ErrOutcomeUnknown. Release
	// counts as a write, but returns nil.
	LostAnswers int `json:"lost_answers"`
	// FailedWrites is how many of the next writes have no effect and return infra.ErrUnavailable.
	FailedWrites int `json:"failed_writes"`
	// DroppedWrites is how many of the next writes have no effect and return
	// infra.ErrOutcomeUnknown.
	DroppedWrites int `json:"dropped_writes"`
	// Delay slows every call.
	Delay time.Duration `json:"delay_ns"`
	// SilentWatches keeps watches blocked until their context ends, past changes and timeouts.
	SilentWatches bool `json:"silent_watches"`
	// Hook, if set, runs before each call and may block. If it returns an error, the call returns
	// that error without effect.
	Hook func(op Op, key string) error `json:"-"`
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

type replyFault struct{ lost bool }

// startCall counts a call and applies its faults, except for a lost reply, which the caller applies
// after the write. An error means that the call had no effect.
func (s *Store) startCall(ctx context.Context, op Op, key string) (replyFault, error) {
	s.mu.Lock()
	s.calls[op]++
	faults := s.faults
	s.mu.Unlock()
	if err := sleep(ctx, faults.Delay); err != nil {
		return replyFault{}, interruptedError(op, err)
	}
	if faults.Hook != nil {
		if err := faults.Hook(op, key); err != nil {
			return replyFault{}, err
		}
	}
	if faults.Down {
		return replyFault{}, infra.ErrUnavailable
	}
	if op == OpGet || op == OpList || op == OpWatch {
		return replyFault{}, nil
	}
	return s.takeWriteFault()
}

func (s *Store) takeWriteFault() (replyFault, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.FailedWrites > 0:
		s.faults.FailedWrites--
		return replyFault{}, infra.ErrUnavailable
	case s.faults.DroppedWrites > 0:
		s.faults.DroppedWrites--
		return replyFault{}, infra.ErrOutcomeUnknown
	case s.faults.LostAnswers > 0:
		s.faults.LostAnswers--
		return replyFault{lost: true}, nil
	}
	return replyFault{}, nil
}

// interruptedError returns the error of a call whose context ended during the injected delay: err for a
// read, infra.ErrUnavailable for a write, since it had no effect.
func interruptedError(op Op, err error) error {
	if op == OpGet || op == OpList || op == OpWatch {
		return err
	}
	return infra.ErrUnavailable
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
