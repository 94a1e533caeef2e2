package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	eventStream = "text/event-stream"
	// flushBytes is how much of a stream is collected at most before it is sent.
	flushBytes = 16 << 10
	// deadlineStep is how often a stream's write deadline is moved on.
	deadlineStep = time.Second
)

// sink receives the events of an answer.
type sink interface {
	// begin is called once, before the first event, with the attempt that answers.
	begin(t *trial)
	// event takes one event; flush asks for it to be sent at once. Errors are refusals.
	event(data []byte, flush bool) error
	// delivered says whether a part of the answer may have reached the caller.
	delivered() bool
}

// liveSink sends events to the caller as they arrive.
type liveSink struct {
	context  echo.Context
	control  *http.ResponseController
	timeout  time.Duration
	head     func(t *trial) // sets the answer's header
	begun    bool
	buffer   []byte
	extended time.Time
}

var _ sink = (*liveSink)(nil)

func newLiveSink(c echo.Context, timeout time.Duration, head func(t *trial)) *liveSink {
	return &liveSink{context: c, control: http.NewResponseController(c.Response().Writer), timeout: timeout, head: head}
}

func (s *liveSink) begin(t *trial) {
	if s.begun {
		return
	}
	s.begun = true
	s.head(t)
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
	if now := time.Now(); now.Sub(s.extended) > deadlineStep {
		_ = s.control.SetWriteDeadline(now.Add(s.timeout))
		s.extended = now
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

// done ends a whole stream.
func (s *liveSink) done() error {
	if err := s.event([]byte(openai.Done), true); err != nil {
		return err
	}
	_ = s.control.SetWriteDeadline(time.Time{})
	return nil
}

// fail ends a stream that is not whole with an event that says so.
func (s *liveSink) fail(err error) {
	data, encodeErr := json.Marshal(ErrorBody(asRefusal(err), requestID(s.context)))
	if encodeErr != nil || s.event(data, true) != nil {
		exchangeOf(s.context).aborted = true
	}
}

// heldSink keeps events until the answer is judged.
type heldSink struct {
	events [][]byte
	size   int64
	limit  int64
}

var _ sink = (*heldSink)(nil)

func (s *heldSink) begin(*trial)    {}
func (s *heldSink) delivered() bool { return false }

func (s *heldSink) event(data []byte, _ bool) error {
	s.size += int64(len(data))
	if s.size > s.limit {
		return verdict.Uncertain(verdict.UpstreamError, "the answer is longer than %d bytes", s.limit)
	}
	s.events = append(s.events, append([]byte(nil), data...))
	return nil
}

// text returns what the engine generated, for raters.
func (s *heldSink) text() string {
	var text strings.Builder
	for _, data := range s.events {
		var chunk openai.ChatAnswer
		if json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String()
}
