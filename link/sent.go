package link

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync"
	"syscall"

	"plumbarrow.example/plumbarrow/verdict"
)

// errSilent is the context's cancellation cause when no bytes arrive within the time allowed.
var errSilent = errors.New("connection silent")

// sendTracker records whether any byte of a request was written to a connection.
type sendTracker struct {
	mu     sync.Mutex
	conns  []trackedConn
	reused bool
}

type trackedConn struct {
	conn          *countedConn
	writtenBefore int64
}

// trace returns a trace of a request with the method, which records each connection the request uses. It calls onReused for each
// reused connection.
func (s *sendTracker) trace(method string, onReused func()) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if info.Reused {
			onReused()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reused = s.reused || info.Reused
		if conn, ok := info.Conn.(*countedConn); ok {
			conn.Answers.Begin(method)
			s.conns = append(s.conns, trackedConn{conn: conn, writtenBefore: conn.written.Load()})
		}
	}}
}

func (s *sendTracker) anyByteSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, mark := range s.conns {
		if mark.conn.written.Load() > mark.writtenBefore {
			return true
		}
	}
	return false
}

// newConnsOnly reports whether the request used new connections only, and at least one.
func (s *sendTracker) newConnsOnly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > 0 && !s.reused
}

// failure classifies the error of a request without an answer. net/http has closed the connection by
// then, so that no byte is sent after the check.
func (s *sendTracker) failure(ctx context.Context, err error) *Failure {
	failure := &Failure{Err: err, OnNewConnection: s.newConnsOnly(), Refused: errors.Is(err, syscall.ECONNREFUSED)}
	switch {
	case !s.anyByteSent():
		failure.Verdict = verdict.NotRun
		failure.Reason = verdict.RetryNotSent
	case errors.Is(context.Cause(ctx), errSilent):
		failure.Reason = verdict.RetrySilent
	default:
		failure.Reason = verdict.RetryConnection
	}
	return failure
}
