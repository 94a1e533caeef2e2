package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

var (
	usageField = []byte(`"usage"`)
	errorField = []byte(`"error"`)
	doneData   = []byte(openai.Done)
)

// streamChunk is one event of a stream. Some engines report an error within an event.
type streamChunk struct {
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
	Usage   *openai.Usage     `json:"usage"`
	Error   json.RawMessage   `json:"error"`
}

// streamCopy copies the events of one attempt to a sink.
type streamCopy struct {
	requestState   *requestState
	attempt        *attempt
	account        *intake.Account // is charged for long events
	answer         *link.Answer
	sink           sink
	usageRequested bool          // the caller asked for the usage event
	usage          *openai.Usage // nil until the engine reports it
	versionChecked bool          // an event has passed checkVersion
}

// run copies events up to the stream's terminator, which it does not copy. failure reports a stream
// that the engine broke off or that is invalid; err is a refusal from the sink.
func (s *streamCopy) run() (failure *link.Failure, err error) {
	if failure := s.checkResumed(); failure != nil {
		return failure, nil
	}
	events := newEventReader(s.account, s.answer.Body)
	defer events.close()
	for {
		data, err := events.next()
		if errors.Is(err, intake.ErrFull) || errors.Is(err, intake.ErrEvicted) {
			return nil, verdict.Uncertain(verdict.UpstreamError, "an event can't be kept: %v", err)
		}
		if err != nil {
			return streamFailure(err), nil
		}
		if bytes.Equal(data, doneData) {
			if !s.versionChecked {
				return truncatedFailure(errors.New("the stream has no events")), nil
			}
			return nil, nil
		}
		pass, failure := s.inspect(data)
		if failure != nil {
			return failure, nil
		}
		s.sink.begin(s.attempt)
		if !pass {
			continue
		}
		s.attempt.events++
		if err := s.sink.event(data, !events.pending()); err != nil {
			return nil, err
		}
	}
}

// checkResumed returns a failure unless a resumed stream starts where the broken one ended.
func (s *streamCopy) checkResumed() *link.Failure {
	resume := s.requestState.resume
	if resume == nil || s.answer.Header.Get(link.HeaderResumeFrom) == strconv.Itoa(resume.events) {
		return nil
	}
	return truncatedFailure(errors.New("the engine did not resume the stream after event " + strconv.Itoa(resume.events)))
}

func streamFailure(err error) *link.Failure {
	if errors.Is(err, io.EOF) || errors.Is(err, errEventTooLong) {
		return truncatedFailure(err)
	}
	return asFailure(err)
}

// inspect checks an event and reports whether to pass it on. To save time it parses only the first
// event and those that may hold usage or an error or are no object.
func (s *streamCopy) inspect(data []byte) (pass bool, failure *link.Failure) {
	object := bytes.HasPrefix(data, []byte("{")) && bytes.HasSuffix(data, []byte("}"))
	if s.versionChecked && object && !bytes.Contains(data, usageField) && !bytes.Contains(data, errorField) {
		return true, nil
	}
	var chunk streamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, truncatedFailure(err)
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return false, &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryServerError, Err: errors.New("the engine sent an error event")}
	}
	if failure := checkVersion(s.attempt.placed.choice.Version, s.answer.Header, chunk.Model); failure != nil {
		return false, failure
	}
	s.versionChecked = true
	if chunk.Usage == nil {
		return true, nil
	}
	s.usage = chunk.Usage
	return s.usageRequested || len(chunk.Choices) > 0, nil
}
