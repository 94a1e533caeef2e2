package link

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"plumbarrow.example/plumbarrow/internal/answercheck"
)

// giveUpInterval is the time between two calls of shouldGiveUp.
const giveUpInterval = 100 * time.Millisecond

// answerSource reads from a connection to an endpoint. It returns only bytes of valid answers, it can bound the bytes read, and it returns
// bytes that had arrived before a read timed out: while this process was suspended, the deadline passes though the endpoint was not
// silent.
type answerSource struct {
	conn    *stickyConn
	answers answercheck.Checker
	// shouldGiveUp is called when a read has timed out; while it returns false, the read goes on. nil means that the read ends.
	shouldGiveUp func(silent time.Duration) bool
	silentSince  time.Time // see EndpointRequest.ShouldGiveUp
	limited      bool
	left         int64 // bytes that may still be read while limited
}

// limit bounds the bytes read from now on.
func (s *answerSource) limit(bytes int64) { s.limited, s.left = true, bytes }

func (s *answerSource) unlimit() { s.limited = false }

// Read implements io.Reader.
func (s *answerSource) Read(p []byte) (int, error) {
	if err := s.answers.Err(); err != nil {
		return 0, err
	}
	if s.limited {
		if s.left <= 0 {
			return 0, errLongHead
		}
		p = p[:min(int64(len(p)), s.left)]
	}
	n, err := s.conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if available, ended := s.readAvailable(p); available > 0 || ended != nil {
			n, err = available, s.conn.readError(ended)
			break
		}
		if s.shouldGiveUp == nil || s.shouldGiveUp(time.Since(s.silentSince)) {
			break
		}
		_ = s.conn.SetReadDeadline(time.Now().Add(giveUpInterval))
		n, err = s.conn.Read(p)
	}
	s.left -= int64(n)
	return s.answers.Filter(p[:n], err)
}

// readAvailable reads bytes that have already arrived, without blocking. It returns 0 and no error if there are none.
func (s *answerSource) readAvailable(p []byte) (int, error) {
	source, ok := s.conn.Conn.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	rawConn, err := source.SyscallConn()
	if err != nil {
		return 0, err
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	n := 0
	var readErr error
	err = rawConn.Read(func(fd uintptr) bool {
		n, _, readErr = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN), errors.Is(readErr, syscall.EINTR):
		return 0, nil
	case readErr != nil:
		return 0, os.NewSyscallError("recvfrom", readErr)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}
