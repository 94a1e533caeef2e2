package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// streamAnswer sends a long answer, or a stream, as it arrives. It holds the last part back until
// outcome and bill are recorded. If the answer fails, it cuts the caller's connection, so that the
// caller can't take the answer for complete. After the caller has disconnected it reads on, so that
// non-idempotent work is recorded.
func (f *serviceFlow) streamAnswer(a *attempt, answer *link.Answer, buffered []byte) error {
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
	length, failure := f.copyParts(answer, buffered, send)
	if failure == nil && answer.Length >= 0 && answer.Length != length {
		failure = truncatedFailure(errors.New("the answer's length differs from its Content-Length"))
	}
	f.finishAttempt(a, failure, failure != nil && f.dispatchContext.Err() != nil)
	if failure != nil {
		exchangeOf(f.context).aborted = true
		err := f.fail(failure)
		f.finishClaim(refusedOutcome(err))
		return err
	}
	return f.endStream(answer, send, &callerErr)
}

// partBytes is the size in bytes of the parts in which a long answer is sent.
const partBytes = 32 << 10

// copyParts sends each part once the next one has arrived; the last one stays in f.heldBack.
func (f *serviceFlow) copyParts(answer *link.Answer, buffered []byte, send func([]byte)) (int64, *link.Failure) {
	f.heldBack = buffered
	length := int64(len(buffered))
	buffer, spare := make([]byte, partBytes), make([]byte, partBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			send(f.heldBack)
			length += int64(n)
			f.heldBack = buffer[:n]
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

// endStream records outcome and bill, then sends the part held back.
func (f *serviceFlow) endStream(answer *link.Answer, send func([]byte), callerErr *error) error {
	if err := f.recordOutcome(answer, nil, true); err != nil {
		exchangeOf(f.context).aborted = true
		return err
	}
	f.record.Verdict = verdict.Ran
	send(f.heldBack)
	return *callerErr
}
