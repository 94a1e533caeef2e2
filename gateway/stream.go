package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/canary"
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	// readChunk is the buffer size in bytes for reading a stream.
	readChunk = 8 << 10
	// maxEventBytes is the largest size of one event in bytes.
	maxEventBytes = 256 << 10
	// writeTimeout bounds one write to the caller, in case the caller stops reading.
	writeTimeout = 10 * time.Second
)

var errLongEvent = fmt.Errorf("an event is longer than %d bytes", maxEventBytes)

// eventStream is the state of an event stream to the caller. It outlasts the attempts that feed the stream.
type eventStream struct {
	headerSent bool         // the header has been sent
	complete   bool         // the stream has been forwarded to its end
	framing    link.Framing // of the last answer
	lastID     string       // id of the last event forwarded
	order      eventOrder
	events     int    // number of events forwarded
	buffer     []byte // bytes that do not form a complete event yet
	held       int    // bytes of buffer that the caller's account holds; a buffer up to readChunk counts as none
}

// streamObserver receives a stream's progress.
type streamObserver interface {
	endpoint() machine.EndpointID
	recordFirstEvent()
	recordEvents(n int)
}

// attemptObserver records the progress of an attempt's stream with its endpoint and version.
type attemptObserver struct {
	grant *upstream.Grant
	trial *canary.Trial
}

var _ streamObserver = attemptObserver{}

func (o attemptObserver) endpoint() machine.EndpointID { return o.grant.Endpoint.ID() }
func (o attemptObserver) recordFirstEvent()            { o.grant.RecordFirstEvent() }
func (o attemptObserver) recordEvents(n int)           { o.trial.RecordEvents(n) }

// unobserved is the observer of a stream that a peer serves, which records the progress itself.
type unobserved struct{}

var _ streamObserver = unobserved{}

func (unobserved) endpoint() machine.EndpointID { return "" }
func (unobserved) recordFirstEvent()            {}
func (unobserved) recordEvents(int)             {}

// forwardStream forwards an endpoint's events as they arrive, complete events only. Bytes that are no event of the stream break it
// off. It returns nil once the caller has the whole stream or has left, else the failed attempt, after which another one may resume
// the stream.
func (f *requestState) forwardStream(observer streamObserver, answer *link.EndpointAnswer) *failedAttempt {
	if f.stream == nil {
		f.stream = &eventStream{order: orderAfter(f.call.LastEvent)}
	}
	stream := f.stream
	stream.framing = answer.Origin.Framing
	stream.buffer = stream.buffer[:0]
	failed := &failedAttempt{endpoint: observer.endpoint(), status: answer.Status}
	eventsBefore := stream.events
	defer func() { failed.events = stream.events - eventsBefore }()
	chunk := make([]byte, readChunk)
	first := true
	for {
		n, err := answer.Body.Read(chunk)
		if n > 0 && first {
			first = false
			observer.recordFirstEvent()
		}
		if !f.holdEvents(len(stream.buffer) + n) {
			failed.reason, failed.err = verdict.RetryTruncated, intake.ErrFull
			return failed
		}
		stream.buffer = append(stream.buffer, chunk[:n]...)
		events, invalid := stream.completeEvents()
		if len(events) > 0 {
			if !f.writeEvents(answer, events) {
				return nil
			}
			before := stream.events
			if stream.advance(events) > 0 {
				answer.RecordProgress()
			}
			observer.recordEvents(stream.events - before)
		}
		switch {
		case invalid != nil:
			failed.reason, failed.err = verdict.RetryTruncated, invalid
			return failed
		case errors.Is(err, io.EOF):
			return f.endStream(answer, failed, stream.events-eventsBefore)
		case err != nil:
			failed.reason, failed.err = reasonOf(err), err
			return failed
		case len(stream.buffer) > maxEventBytes:
			failed.reason, failed.err = verdict.RetryTruncated, errLongEvent
			return failed
		}
	}
}

// holdEvents makes room for n bytes that form no complete event yet. It returns false if the instance has no memory for them.
func (f *requestState) holdEvents(n int) bool {
	more := n - max(f.stream.held, readChunk)
	if more <= 0 {
		return true
	}
	if f.account.Grow(int64(more)) != nil {
		return false
	}
	f.stream.held = n
	return true
}

// reasonOf returns the retry reason of an error from reading an answer's body.
func reasonOf(err error) verdict.Reason {
	var failure *link.Failure
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return verdict.RetryTruncated
}

// endStream handles the end of the body of an answer that delivered a number of events. An incomplete event at the end counts as
// truncation, as does an unframed body without any event: it ends like that if the endpoint's process ends.
func (f *requestState) endStream(answer *link.EndpointAnswer, failed *failedAttempt, delivered int) *failedAttempt {
	if len(f.stream.buffer) > 0 || answer.Unframed && delivered == 0 {
		failed.reason, failed.err = verdict.RetryTruncated, io.ErrUnexpectedEOF
		return failed
	}
	f.verdict = verdict.Ran
	f.stream.complete = true
	f.sendStreamHeader(answer) // a stream without events
	return nil
}

// completeEvents returns the complete events at the start of the buffer, up to the first one that is no event of the stream. The
// error says what that one is; nil if there is none.
func (s *eventStream) completeEvents() (events []byte, err error) {
	end := 0
	for {
		n := bytes.Index(s.buffer[end:], eventEnd)
		if n < 0 {
			return s.buffer[:end], nil
		}
		if err := s.order.accept(s.buffer[end : end+n]); err != nil {
			return s.buffer[:end], err
		}
		end += n + len(eventEnd)
	}
}

// advance records the count and last id of events that were written, and removes them from the buffer. It returns
// the number of lines with data or an id; events without any, such as comments, are no progress of the answer.
func (s *eventStream) advance(events []byte) (progress int) {
	for event := range bytes.SplitSeq(events, eventEnd) {
		if len(event) == 0 {
			continue
		}
		s.events++
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				s.lastID = string(bytes.TrimSpace(id))
				progress++
			}
			if bytes.HasPrefix(line, []byte("data:")) {
				progress++
			}
		}
	}
	s.buffer = append(s.buffer[:0], s.buffer[len(events):]...)
	return progress
}

// sendStreamHeader sends the header of the first answer to the caller, once per stream.
func (f *requestState) sendStreamHeader(answer *link.EndpointAnswer) {
	if f.stream.headerSent {
		return
	}
	f.stream.headerSent = true
	f.detachFromStop()
	copyHeader(f.writer.Header(), answer.Header)
	f.status = answer.Status
	f.writer.WriteHeader(answer.Status)
}

// writeEvents sends complete events to the caller. It returns false if the caller has left.
func (f *requestState) writeEvents(answer *link.EndpointAnswer, events []byte) bool {
	f.sendStreamHeader(answer)
	control := http.NewResponseController(f.writer)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := f.writer.Write(events)
	if err == nil {
		err = control.Flush()
	}
	if err != nil {
		f.refusal = verdict.Uncertain(verdict.CallerGone, "the caller left: %v", err)
		f.server.Counters.Refused(verdict.CallerGone)
		f.callerGone = true
		return false
	}
	return true
}
