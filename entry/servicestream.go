package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// streamRest sends a long answer, or a stream, as it comes. Its last part is held back until outcome and bill are
// recorded. An answer that breaks off cuts the caller's connection, so that it can't be taken for
// whole; a caller that leaves does not keep non-idempotent work from being recorded.
func (f *serviceFlow) streamRest(t *trial, answer *link.Answer, held []byte) error {
	f.copyHeader(answer)
	response := f.context.Response()
	response.WriteHeader(answer.Status)
	control := http.NewResponseController(response.Writer)
	var callerErr error
	send := func(part []byte) {
		if callerErr != nil {
			return
		}
		_ = control.SetWriteDeadline(time.Now().Add(f.server.Settings.writeTimeout()))
		_, err := response.Write(part)
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			callerErr = writeRefusal(err)
		}
	}
	length, failure := f.copyParts(answer, held, send)
	if failure == nil && answer.Length >= 0 && answer.Length != length {
		failure = truncated(errors.New("the answer's length is wrong"))
	}
	f.settle(t, failure, failure != nil && f.dispatching.Err() != nil)
	if failure != nil {
		exchangeOf(f.context).aborted = true
		err := f.fail(failure)
		f.finish(outcomeOf(err))
		return err
	}
	return f.endStream(answer, send, &callerErr)
}

// copyParts sends each part once the next one is there; the last one stays in f.last.
func (f *serviceFlow) copyParts(answer *link.Answer, held []byte, send func([]byte)) (int64, *link.Failure) {
	f.last = held
	length := int64(len(held))
	buffer, spare := make([]byte, heldBytes), make([]byte, heldBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			send(f.last)
			length += int64(n)
			f.last = buffer[:n]
			buffer, spare = spare, buffer
		}
		if errors.Is(err, io.EOF) {
			return length, nil
		}
		if err != nil {
			return length, asFailure(err)
		}
	}
}

func (f *serviceFlow) endStream(answer *link.Answer, send func([]byte), callerErr *error) error {
	if err := f.settleLedger(answer, nil, true); err != nil {
		exchangeOf(f.context).aborted = true
		return err
	}
	f.record.Verdict = verdict.Ran
	send(f.last)
	return *callerErr
}
