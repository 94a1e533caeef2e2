package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	eventStream = "text/event-stream"
	// flushBytes is the buffer size at which events are sent even without a request to flush.
	flushBytes = 16 << 10
	// deadlineInterval is the shortest time between two extensions of a stream's write deadline.
	deadlineInterval = time.Second
)

// sink receives the events of an answer.
type sink interface {
	// begin is called before each event, with the attempt that answers; calls after the first
	// do nothing.
	begin(a *attempt)
	// event accepts the data of one event; flush asks to send it at once. Errors are refusals.
	event(data []byte, flush bool) error
	// delivered reports whether a part of the answer may have reached the caller.
	delivered() bool
}

// liveSink sends events to the caller as they arrive.
type liveSink struct {
	context     echo.Context
	control     *http.ResponseController
	timeout     time.Duration
	setHeader   func(a *attempt) // sets the header of the caller's answer
	begun       bool
	buffer      []byte
	deadlineSet time.Time // when the write deadline was last extended
}

var _ sink = (*liveSink)(nil)

func newLiveSink(c echo.Context, timeout time.Duration, setHeader func(a *attempt)) *liveSink {
	return &liveSink{context: c, control: http.NewResponseController(c.Response().Writer), timeout: timeout, setHeader: setHeader}
}

func (s *liveSink) begin(a *attempt) {
	if s.begun {
		return
	}
	s.begun = true
	s.setHeader(a)
	header := s.context.Response().Header()
	header.Set(echo.HeaderContentType, eventStream)
	header.Set(echo.HeaderCacheControl, "no-cache")
	s.context.Response().WriteHeader(http.StatusOK)
}

func (s *liveSink) delivered() bool { return s.begun }

func (s *liveSink) event(data []byte, flush bool) error {
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, '\n', '\n')
	if !flush && len(s.buffer) < flushBytes {
		return nil
	}
	return s.flush()
}

func (s *liveSink) flush() error {
	if now := time.Now(); now.Sub(s.deadlineSet) > deadlineInterval {
		_ = s.control.SetWriteDeadline(now.Add(s.timeout))
		s.deadlineSet = now
	}
	_, err := s.context.Response().Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err == nil {
		err = s.control.Flush()
	}
	if err != nil {
		return writeRefusal(err)
	}
	return nil
}

func writeRefusal(err error) *verdict.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return verdict.Uncertain(verdict.CallerTooSlow, "the caller did not read its answer in time")
	}
	return verdict.Uncertain(verdict.CallerGone, "the caller left")
}

// done sends the terminator of a complete stream and clears the write deadline.
func (s *liveSink) done() error {
	if err := s.event([]byte(openai.Done), true); err != nil {
		return err
	}
	_ = s.control.SetWriteDeadline(time.Time{})
	return nil
}

// fail ends an incomplete stream with an error event, or marks the connection to be cut.
func (s *liveSink) fail(err error) {
	data, encodeErr := json.Marshal(ErrorBody(asRefusal(err), requestID(s.context)))
	if encodeErr != nil || s.event(data, true) != nil {
		exchangeOf(s.context).aborted = true
	}
}

// bufferSink keeps up to limit bytes of events until the answer is rated.
type bufferSink struct {
	events [][]byte
	size   int64
	limit  int64
	// account is charged for the events.
	account *intake.Account
}

var _ sink = (*bufferSink)(nil)

func (s *bufferSink) begin(*attempt)  {}
func (s *bufferSink) delivered() bool { return false }

func (s *bufferSink) event(data []byte, _ bool) error {
	s.size += int64(len(data))
	if s.size > s.limit {
		return verdict.Uncertain(verdict.UpstreamError, "the answer is longer than %d bytes", s.limit)
	}
	if err := s.account.Grow(int64(len(data))); err != nil {
		return verdict.Uncertain(verdict.UpstreamError, "the answer can't be kept: %v", err)
	}
	s.events = append(s.events, append([]byte(nil), data...))
	return nil
}

// text returns the generated text of the first choice, which the quality judge rates.
func (s *bufferSink) text() string {
	var text strings.Builder
	for _, data := range s.events {
		var chunk openai.ChatAnswer
		if json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String()
}
