package mirror

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// silenceTimeout is how long a call to the store may go without a byte once its answer has begun. Its whole duration depends on
	// the size of the answer and on what else the link carries.
	silenceTimeout = 800 * time.Millisecond
	// transferTimeout bounds a whole call, so that an answer in tiny pieces ends.
	transferTimeout = 8 * time.Second
	// minAnswerLimit is the least limit of a watch's answer in bytes: one value of the largest size that the store takes, in base64.
	minAnswerLimit = 3 << 19
)

// errSilent ends a call to the store that receives nothing for too long.
var errSilent = errors.New("no byte received in time")

// ErrLargeAnswer means that an answer exceeds the limit of its call.
var ErrLargeAnswer = errors.New("answer too large")

// Progress is told about the answer to a call while it arrives: the bytes received so far, and the size that the answer states, -1 if it
// states none. If it returns an error, the call must end with that error. It must not be called after the call has returned.
type Progress func(received, total int64) error

// transfer is one call to the store. Its context ends when the answer does not begin in time, or when no byte arrives for silenceTimeout.
type transfer struct {
	ctx     context.Context
	mirror  *Mirror
	cancel  context.CancelCauseFunc
	release context.CancelFunc
	silence *time.Timer
	limit   int64 // of the answer in bytes; 0 for none

	received int64
	began    time.Time // when the first bytes arrived; zero before
}

// beginTransfer returns a transfer whose answer must begin within first. The caller must end it.
func (m *Mirror) beginTransfer(parent context.Context, first time.Duration, limit int64) *transfer {
	t := &transfer{mirror: m, limit: limit}
	t.ctx, t.cancel = context.WithCancelCause(parent)
	t.ctx, t.release = context.WithTimeout(t.ctx, transferTimeout)
	t.silence = time.AfterFunc(first, func() { t.cancel(errSilent) })
	return t
}

// progress is the Progress of the call.
func (t *transfer) progress(received, total int64) error {
	t.mirror.received.Add(received - t.received)
	t.mirror.underWay.Add(received - t.received)
	t.received = received
	if t.began.IsZero() {
		t.began = time.Now()
	}
	if size := max(received, total); t.limit > 0 && size > t.limit {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrLargeAnswer, size, t.limit)
	}
	t.silence.Reset(silenceTimeout)
	return nil
}

// end releases the transfer.
func (t *transfer) end() {
	t.mirror.underWay.Add(-t.received)
	t.silence.Stop()
	t.release()
	t.cancel(nil)
}

// answerLimit returns the size in bytes from which the answer to a watch costs more than reading the documents: a watch returns each
// version of a document that was written, and values in base64.
func (m *Mirror) answerLimit() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := 0
	for key, document := range m.documents {
		if !document.Deleted {
			size += len(key) + len(document.Value)
		}
	}
	return max(minAnswerLimit, int64(size)*3/2)
}
