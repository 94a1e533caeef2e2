package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// chatAnswer is a whole answer of an engine.
type chatAnswer struct {
	trial *trial
	usage openai.Usage
	body  []byte // of an answer that is not streamed
}

// checkVersion compares the version that answered with the one asked. The engine names it in the
// version header, in the model field as model@version, or in both.
func checkVersion(asked contract.VersionID, header http.Header, model string) *link.Failure {
	named := header.Get(link.HeaderVersion)
	byModel := strings.Contains(model, "@")
	wrong := named != "" && named != asked.Name && named != asked.String() ||
		byModel && model != asked.String() ||
		named == "" && !byModel
	if !wrong {
		return nil
	}
	return &link.Failure{
		Verdict: verdict.Ran,
		Reason:  verdict.RetryWrongVersion,
		Err:     fmt.Errorf("asked %s, answered by %q %q", asked, named, model),
	}
}

// checkStatus returns the failure that an engine's status means. A refusal of the request itself is
// an error of its own: no other engine would take it.
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

const maxMessageBytes = 512

func engineMessage(body io.Reader) string {
	data, _ := io.ReadAll(io.LimitReader(body, 8*maxMessageBytes))
	var parsed struct {
		Error   openai.ErrorDetail `json:"error"`
		Message string             `json:"message"`
	}
	_ = json.Unmarshal(data, &parsed)
	message := parsed.Error.Message
	if message == "" {
		message = parsed.Message
	}
	return message[:min(len(message), maxMessageBytes)]
}

// readWhole reads and checks an answer that is not streamed.
func (w *work) readWhole(t *trial, answer *link.Answer) (*chatAnswer, *link.Failure) {
	limit := w.server.Settings.MaxAnswerBytes
	body, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return nil, asFailure(err)
	}
	if int64(len(body)) > limit || answer.Length >= 0 && answer.Length != int64(len(body)) {
		return nil, truncated(errors.New("the answer's length is wrong"))
	}
	var parsed openai.ChatAnswer
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, truncated(err)
	}
	if parsed.Usage == nil || len(parsed.Choices) == 0 {
		return nil, truncated(errors.New("the answer has no choices or no usage"))
	}
	if failure := checkVersion(t.placed.choice.Version, answer.Header, parsed.Model); failure != nil {
		return nil, failure
	}
	return &chatAnswer{trial: t, usage: *parsed.Usage, body: body}, nil
}

func truncated(err error) *link.Failure {
	return &link.Failure{Verdict: verdict.MayHaveRun, Reason: verdict.RetryTruncated, Err: err}
}

// text returns what the engine generated, for raters.
func (a *chatAnswer) text() string {
	var parsed openai.ChatAnswer
	if json.Unmarshal(a.body, &parsed) != nil || len(parsed.Choices) == 0 || parsed.Choices[0].Message == nil {
		return ""
	}
	return parsed.Choices[0].Message.Content
}
