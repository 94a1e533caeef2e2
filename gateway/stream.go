package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// readChunk is how much of a stream is read at once.
	readChunk = 8 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
	// writeTimeout is the longest time that a caller may leave a part of its answer unread.
	writeTimeout = 10 * time.Second
)

var errLongEvent = errors.New("an event is longer than allowed")

// eventStream is what was passed on of a stream of events.
type eventStream struct {
	begun  bool
	whole  bool
	lastID string // of the last event passed on
	events int
	buffer []byte // bytes of an event that is not whole
}

// pass passes an endpoint's events on as they arrive, whole events only. nil means that the caller
// has the whole stream or is gone.
func (f *flow) pass(ctx context.Context, grant *upstream.Grant, answer *link.Incoming) *failedAttempt {
	if f.stream == nil {
		f.stream = &eventStream{}
	}
	stream := f.stream
	stream.buffer = stream.buffer[:0]
	failed := &failedAttempt{endpoint: grant.Endpoint.ID(), status: answer.Status}
	chunk := make([]byte, readChunk)
	first := true
	for {
		n, err := answer.Body.Read(chunk)
		if n > 0 && first {
			first = false
			grant.Began()
		}
		stream.buffer = append(stream.buffer, chunk[:n]...)
		if events := stream.complete(); len(events) > 0 {
			if !f.write(answer, events) {
				return nil
			}
			stream.passed(events)
		}
		switch {
		case errors.Is(err, io.EOF):
			return f.endStream(answer, failed)
		case err != nil:
			failed.reason, failed.err = reasonOf(err), err
			return failed
		case len(stream.buffer) > maxEvent:
			failed.reason, failed.err = verdict.RetryTruncated, errLongEvent
			return failed
		}
	}
}

func reasonOf(err error) verdict.Reason {
	var failure *link.Failure
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return verdict.RetryTruncated
}

// endStream ends an answer whose last byte has come.
func (f *flow) endStream(answer *link.Incoming, failed *failedAttempt) *failedAttempt {
	if len(f.stream.buffer) > 0 {
		failed.reason, failed.err = verdict.RetryTruncated, io.ErrUnexpectedEOF
		return failed
	}
	f.outcome = verdict.Ran
	f.stream.whole = true
	f.begin(answer) // a stream without events
	return nil
}

// complete returns the whole events at the buffer's beginning.
func (s *eventStream) complete() []byte {
	end := bytes.LastIndex(s.buffer, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	return s.buffer[:end+2]
}

// passed notes events that were written, and drops them from the buffer.
func (s *eventStream) passed(events []byte) {
	for event := range bytes.SplitSeq(events, []byte("\n\n")) {
		if len(event) == 0 {
			continue
		}
		s.events++
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				s.lastID = string(bytes.TrimSpace(id))
			}
		}
	}
	s.buffer = append(s.buffer[:0], s.buffer[len(events):]...)
}

// begin sends the header of the first endpoint's answer.
func (f *flow) begin(answer *link.Incoming) {
	if f.stream.begun {
		return
	}
	f.stream.begun = true
	copyHeader(f.writer.Header(), answer.Header)
	f.status = answer.Status
	f.writer.WriteHeader(answer.Status)
}

// write sends whole events to the caller. false means that the caller is gone.
func (f *flow) write(answer *link.Incoming, events []byte) bool {
	f.begin(answer)
	control := http.NewResponseController(f.writer)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := f.writer.Write(events)
	if err == nil {
		err = control.Flush()
	}
	if err != nil {
		f.refusal = verdict.Uncertain(verdict.CallerGone, "the caller left: %v", err)
		f.server.Counters.Refused(verdict.CallerGone)
		f.gone = true
		return false
	}
	return true
}
