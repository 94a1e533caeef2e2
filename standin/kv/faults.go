package kv

import (
	"context"
	"time"

	"plumbarrow.example/plumbarrow/infra"
)

// Op is a kind of call.
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

// Faults scripts how the store misbehaves. The zero value is a healthy store.
type Faults struct {
	// Down fails every call without effect.
	Down bool `json:"down"`
	// LostAnswers is how many of the next writes take effect while their answer is lost.
	LostAnswers int `json:"lost_answers"`
	// FailedWrites is how many of the next writes fail without effect and say so.
	FailedWrites int `json:"failed_writes"`
	// DroppedWrites is how many of the next writes have no effect and an unknown outcome.
	DroppedWrites int `json:"dropped_writes"`
	// Delay slows every call.
	Delay time.Duration `json:"delay_ns"`
	// SilentWatches keeps watches waiting until their caller gives up.
	SilentWatches bool `json:"silent_watches"`
	// Hook, if set, runs before each call and may block or return an error that the call then
	// returns without effect.
	Hook func(op Op, key string) error `json:"-"`
}

// Fail replaces the faults in force.
func (s *Store) Fail(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

type answerFault struct{ lost bool }

// begin counts a call and applies the faults that come before its effect.
func (s *Store) begin(ctx context.Context, op Op, key string) (answerFault, error) {
	s.mu.Lock()
	s.calls[op]++
	faults := s.faults
	s.mu.Unlock()
	if err := sleep(ctx, faults.Delay); err != nil {
		return answerFault{}, unavailable(op, err)
	}
	if faults.Hook != nil {
		if err := faults.Hook(op, key); err != nil {
			return answerFault{}, err
		}
	}
	if faults.Down {
		return answerFault{}, infra.ErrUnavailable
	}
	if op == OpGet || op == OpList || op == OpWatch {
		return answerFault{}, nil
	}
	return s.takeWriteFault()
}

func (s *Store) takeWriteFault() (answerFault, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.FailedWrites > 0:
		s.faults.FailedWrites--
		return answerFault{}, infra.ErrUnavailable
	case s.faults.DroppedWrites > 0:
		s.faults.DroppedWrites--
		return answerFault{}, infra.ErrOutcomeUnknown
	case s.faults.LostAnswers > 0:
		s.faults.LostAnswers--
		return answerFault{lost: true}, nil
	}
	return answerFault{}, nil
}

func unavailable(op Op, err error) error {
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
