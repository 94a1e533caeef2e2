package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// chatAnswer is a complete answer of an engine to a chat request.
type chatAnswer struct {
	attempt *attempt
	usage   openai.Usage
	body    []byte // nil for a streamed answer
}

// checkVersion returns a failure unless the answer comes from the requested version. The engine
// names its version in the version header, in the model field as model@version, or in both; an
// answer that names none fails too.
func checkVersion(requested contract.VersionID, header http.Header, model string) *link.Failure {
	headerVersion := header.Get(link.HeaderVersion)
	modelNamesVersion := strings.Contains(model, "@")
	mismatch := headerVersion != "" && headerVersion != requested.Name && headerVersion != requested.String() ||
		modelNamesVersion && model != requested.String() ||
		headerVersion == "" && !modelNamesVersion
	if !mismatch {
		return nil
	}
	return &link.Failure{
		Verdict: verdict.Ran,
		Reason:  verdict.RetryWrongVersion,
		Err:     fmt.Errorf("requested version %s, answer names %q in its header and model %q", requested, headerVersion, model),
	}
}

// checkStatus maps an engine's HTTP status to a failure that may be retried, or to an error for a
// status that says the request itself is at fault: no other engine would accept it either.
func checkStatus(answer *link.Answer) (*link.Failure, error) {
	switch {
	case answer.Status == http.StatusOK:
		return nil, nil
	case answer.Status == http.StatusTooManyRequests:
		return statusFailure(verdict.RetryOverloaded, answer.Status), nil
	case answer.Status >= http.StatusInternalServerError:
		return statusFailure(verdict.RetryServerError, answer.Status), nil
	case answer.Status == http.StatusBadRequest, answer.Status == http.StatusUnprocessableEntity:
		return nil, verdict.Uncertain(verdict.BadRequest, "the engine refused the request: %s", engineMessage(answer.Body))
	default:
		return nil, verdict.Uncertain(verdict.UpstreamRefused, "the engine answered %d", answer.Status)
	}
}

func statusFailure(reason verdict.Reason, status int) *link.Failure {
	return &link.Failure{Verdict: verdict.MayHaveRun, Reason: reason, Err: fmt.Errorf("status %d", status)}
}

const maxEngineMessageBytes = 512

func engineMessage(body io.Reader) string {
	data, _ := io.ReadAll(io.LimitReader(body, 8*maxEngineMessageBytes))
	var parsed struct {
		Error   openai.ErrorDetail `json:"error"`
		Message string             `json:"message"`
	}
	_ = json.Unmarshal(data, &parsed)
	message := parsed.Error.Message
	if message == "" {
		message = parsed.Message
	}
	return message[:min(len(message), maxEngineMessageBytes)]
}

// readUnstreamed reads an answer that is not streamed, for which the account is charged, and checks its length, version, choices and
// usage. err is a refusal for lack of memory, which the engine is not to blame for.
func (r *requestState) readUnstreamed(account *intake.Account, a *attempt, answer *link.Answer) (*chatAnswer, *link.Failure, error) {
	limit := r.server.Settings.MaxAnswerBytes
	body, err := intake.ReadAll(account, answer.Body, answer.Length, limit)
	switch {
	case errors.Is(err, intake.ErrFull):
		return nil, nil, verdict.Uncertain(verdict.UpstreamError, "the answer can't be kept: %v", err)
	case errors.Is(err, intake.ErrTooLong):
		return nil, truncatedFailure(err), nil
	case err != nil:
		return nil, asFailure(err), nil
	}
	if answer.Length >= 0 && answer.Length != int64(len(body)) {
		return nil, truncatedFailure(fmt.Errorf("the answer has %d bytes, its Content-Length is %d", len(body), answer.Length)), nil
	}
	var parsed openai.ChatAnswer
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, truncatedFailure(err), nil
	}
	if parsed.Usage == nil || len(parsed.Choices) == 0 {
		return nil, truncatedFailure(errors.New("the answer has no choices or no usage")), nil
	}
	if failure := checkVersion(a.placed.choice.Version, answer.Header, parsed.Model); failure != nil {
		return nil, failure, nil
	}
	return &chatAnswer{attempt: a, usage: *parsed.Usage, body: body}, nil, nil
}

func truncatedFailure(err error) *link.Failure {
	return &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryTruncated, Err: err}
}

// text returns the generated text of the first choice, which the quality judge rates.
func (a *chatAnswer) text() string {
	var parsed openai.ChatAnswer
	if json.Unmarshal(a.body, &parsed) != nil || len(parsed.Choices) == 0 || parsed.Choices[0].Message == nil {
		return ""
	}
	return parsed.Choices[0].Message.Content
}
