package e2e_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	qt "github.com/frankban/quicktest"
)

// reply is the response to a caller's request. A status of 0 means that there was no response or that reading
// its body failed; body then holds the error.
type reply struct {
	status  int
	version string // model@version that answered a chat
	body    string
}

// complete reports whether the reply is the complete stream of a chat.
func (r reply) complete() bool { return strings.HasSuffix(r.body, "data: [DONE]\n\n") }

// refused reports whether the reply is a refusal with the verdict.
func (r reply) refused(verdict string) bool {
	return strings.Contains(r.body, `"verdict":"`+verdict+`"`)
}

// chatPath and chatBody request a chat with a streamed answer.
const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"model":"assistant","stream":true,"messages":[]}`
)

// send sends a request as customer acme, without an idempotency key if that is empty. The caller closes the
// response's unread body.
func (e *entry) send(method, path, idempotencyKey, body string) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+e.Callers+path, strings.NewReader(body))
	e.c.Assert(err, qt.IsNil)
	request.GetBody = nil // otherwise net/http may resend a request with an idempotency key by itself
	request.Header.Set("Authorization", "Bearer sk-acme")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return http.DefaultClient.Do(request)
}

func (e *entry) call(method, path, idempotencyKey, body string) reply {
	response, err := e.send(method, path, idempotencyKey, body)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{body: err.Error()}
	}
	return reply{status: response.StatusCode, version: response.Header.Get("Plumbarrow-Version"), body: string(data)}
}

func (e *entry) chat() reply { return e.call(http.MethodPost, chatPath, "", chatBody) }

func (e *entry) book(key string) reply {
	return e.call(http.MethodPost, "/bookings", key, `{"flat":"Kilimani"}`)
}

// runs returns the number of executions by idempotency key at the deployment's service.
func (d *deployment) runs() map[string]int { return d.runsAt(d.service) }

func (d *deployment) runsAt(service string) map[string]int {
	response, err := http.Get("http://" + service + "/runs")
	d.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	runs := make(map[string]int)
	d.c.Assert(json.NewDecoder(response.Body).Decode(&runs), qt.IsNil)
	return runs
}
