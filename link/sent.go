package link

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync"
	"syscall"

	"plumbarrow.example/plumbarrow/verdict"
)

// errSilent is the cause of a connection without progress.
var errSilent = errors.New("connection silent")

// sentBytes tells whether any byte of a request left on a connection.
type sentBytes struct {
	mu     sync.Mutex
	conns  []connMark
	reused bool
}

type connMark struct {
	conn   *countedConn
	before int64
}

// trace marks each connection that the request gets; onReused is called for a reused one.
func (s *sentBytes) trace(onReused func()) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if info.Reused {
			onReused()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reused = s.reused || info.Reused
		if conn, ok := info.Conn.(*countedConn); ok {
			s.conns = append(s.conns, connMark{conn: conn, before: conn.written.Load()})
		}
	}}
}

func (s *sentBytes) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, mark := range s.conns {
		if mark.conn.written.Load() > mark.before {
			return true
		}
	}
	return false
}

// fresh says whether the request used new connections only.
func (s *sentBytes) fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > 0 && !s.reused
}

// failure classifies an error of a request without answer. By then net/http has closed the
// connection, so that a byte not counted yet can no longer leave.
func (s *sentBytes) failure(ctx context.Context, err error) *Failure {
	failure := &Failure{Err: err, FreshConnection: s.fresh(), Refused: errors.Is(err, syscall.ECONNREFUSED)}
	switch {
	case !s.any():
		failure.Verdict = verdict.NotRun
		failure.Reason = verdict.RetryNotSent
	case errors.Is(context.Cause(ctx), errSilent):
		failure.Reason = verdict.RetrySilent
	default:
		failure.Reason = verdict.RetryConnection
	}
	return failure
}
