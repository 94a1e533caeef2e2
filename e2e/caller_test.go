package e2e_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	qt "github.com/frankban/quicktest"
)

// reply is what a caller got.
type reply struct {
	status  int
	version string // that answered a chat
	body    string
}

// whole says whether the reply is the whole stream of a chat.
func (r reply) whole() bool { return strings.HasSuffix(r.body, "data: [DONE]\n\n") }

// refused says whether the reply is a refusal with the verdict.
func (r reply) refused(with string) bool { return strings.Contains(r.body, `"verdict":"`+with+`"`) }

// chatPath and chatBody make a chat of a streamed answer.
const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"model":"assistant","stream":true,"messages":[]}`
)

// send sends a request of the customer and returns the answer's header, with its body unread.
func (e *entry) send(method, path, key, body string) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+e.Callers+path, strings.NewReader(body))
	e.c.Assert(err, qt.IsNil)
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer sk-acme")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(request)
}

func (e *entry) call(method, path, key, body string) reply {
	response, err := e.send(method, path, key, body)
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

// runs returns how often the deployment's service ran each key.
func (d *deployment) runs() map[string]int { return d.runsAt(d.service) }

func (d *deployment) runsAt(service string) map[string]int {
	response, err := http.Get("http://" + service + "/runs")
	d.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	runs := make(map[string]int)
	d.c.Assert(json.NewDecoder(response.Body).Decode(&runs), qt.IsNil)
	return runs
}
