package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

var (
	usageField = []byte(`"usage"`)
	errorField = []byte(`"error"`)
	doneData   = []byte(openai.Done)
)

// streamChunk is one event of a stream, with the error that some engines send in one.
type streamChunk struct {
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
	Usage   *openai.Usage     `json:"usage"`
	Error   json.RawMessage   `json:"error"`
}

// streamCopy copies the events of one attempt into a sink.
type streamCopy struct {
	work    *work
	trial   *trial
	answer  *link.Answer
	sink    sink
	asked   bool // the caller wants the usage event
	usage   *openai.Usage
	checked bool
}

// run copies until the stream's terminator, which it does not copy. failure says how the engine
// broke the stream; err is a refusal for other reasons.
func (s *streamCopy) run() (failure *link.Failure, err error) {
	if failure := s.checkResumed(); failure != nil {
		return failure, nil
	}
	events := newEventReader(s.answer.Body)
	for {
		data, err := events.next()
		if err != nil {
			return streamFailure(err), nil
		}
		if bytes.Equal(data, doneData) {
			if !s.checked {
				return truncated(errors.New("the stream has no events")), nil
			}
			return nil, nil
		}
		pass, failure := s.inspect(data)
		if failure != nil {
			return failure, nil
		}
		s.sink.begin(s.trial)
		if !pass {
			continue
		}
		s.trial.events++
		if err := s.sink.event(data, !events.pending()); err != nil {
			return nil, err
		}
	}
}

// checkResumed makes sure that a resumed stream starts where the broken one ended.
func (s *streamCopy) checkResumed() *link.Failure {
	resume := s.work.resume
	if resume == nil || s.answer.Header.Get(link.HeaderResumeFrom) == strconv.Itoa(resume.events) {
		return nil
	}
	return truncated(errors.New("the engine did not resume the stream"))
}

func streamFailure(err error) *link.Failure {
	if errors.Is(err, io.EOF) || errors.Is(err, errEventTooLong) {
		return truncated(err)
	}
	return asFailure(err)
}

// inspect looks at an event and says whether it goes to the caller. Only the first event and those
// that may hold usage or an error are parsed.
func (s *streamCopy) inspect(data []byte) (pass bool, failure *link.Failure) {
	if s.checked && !bytes.Contains(data, usageField) && !bytes.Contains(data, errorField) {
		return true, nil
	}
	var chunk streamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, truncated(err)
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return false, &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryServerError, Err: errors.New("the engine sent an error event")}
	}
	if failure := checkVersion(s.trial.placed.choice.Version, s.answer.Header, chunk.Model); failure != nil {
		return false, failure
	}
	s.checked = true
	if chunk.Usage == nil {
		return true, nil
	}
	s.usage = chunk.Usage
	return s.asked || len(chunk.Choices) > 0, nil
}
