package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/verdict"
)

// TestBadInput sends invalid requests. Each must get a refusal with a reason and the verdict not_run,
// or a 4xx or 5xx status where net/http refuses it first. None may reach an endpoint.
func TestBadInput(t *testing.T) {
	c := qt.New(t)
	f := newTestInstance(c, "a", func(parts *entry.Parts) {
		parts.MaxBodyBytes = 1000
		parts.Settings.BodyTimeoutMS = 50
	})
	reached := func(_ http.ResponseWriter, r *http.Request) { c.Errorf("reached: %s %s", r.Method, r.URL) }
	f.add("small-engines", "small@v1", reached)
	f.add("booking", "", reached)
	const auth = "Authorization: Bearer sk-acme\r\n"
	chat := func(header, body string) string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n" + header + "\r\n" + body
	}
	chunked := "Transfer-Encoding: chunked\r\n"
	for _, test := range []struct {
		name   string
		raw    string
		reason verdict.Reason // "" when net/http answers
	}{
		{"no key", chat("", ""), verdict.MissingKey},
		{"not a bearer key", chat("Authorization: Basic eA==\r\n", ""), verdict.MissingKey},
		{"unknown key", chat("Authorization: Bearer sk-none\r\n", ""), verdict.UnknownKey},
		{"two keys", chat(auth+"Authorization: Bearer sk-beta\r\n", ""), verdict.BadRequest},
		{"no body", chat(auth+"Content-Length: 0\r\n", ""), verdict.BadRequest},
		{"not JSON", chat(auth+"Content-Length: 3\r\n", "{x}"), verdict.BadRequest},
		{"JSON null", chat(auth+"Content-Length: 4\r\n", "null"), verdict.BadRequest},
		{"wrong type", chat(auth+"Content-Length: 11\r\n", `{"model":1}`), verdict.BadRequest},
		{"negative limit", chat(auth+"Content-Length: 37\r\n", `{"model":"assistant","max_tokens":-1}`), verdict.BadRequest},
		{"other case of a field", chat(auth+"Content-Length: 21\r\n", `{"Model":"assistant"}`), verdict.UnknownModel},
		{"unknown model", chat(auth+"Content-Length: 13\r\n", `{"model":"x"}`), verdict.UnknownModel},
		{"model of another customer", chat("Authorization: Bearer sk-beta\r\nContent-Length: 21\r\n", `{"model":"assistant"}`), verdict.ModelNotAllowed},
		{"bare session", chat(auth+"Plumbarrow-Session: mine\r\nContent-Length: 21\r\n", `{"model":"assistant"}`), verdict.SessionInvalid},
		{"forged session", chat(auth+"Plumbarrow-Session: pbs1.e30.AAAA\r\nContent-Length: 21\r\n", `{"model":"assistant"}`), verdict.SessionInvalid},
		{"declared too large", chat(auth+"Content-Length: 1001\r\n", ""), verdict.BodyTooLarge},
		{"chunks too large", chat(auth+chunked, "400\r\n"+strings.Repeat("x", 1024)+"\r\n0\r\n\r\n"), verdict.BodyTooLarge},
		{"malformed chunk", chat(auth+chunked, "zz\r\n"), verdict.BadRequest},
		{"slow writer", chat(auth+"Content-Length: 21\r\n", `{"model"`), verdict.CallerTooSlow},
		{"no route", "GET /elsewhere HTTP/1.1\r\nHost: h\r\n" + auth + "\r\n", verdict.UnknownRoute},
		{"dot segments", "GET /bookings/../admin HTTP/1.1\r\nHost: h\r\n" + auth + "\r\n", verdict.BadRequest},
		{"encoded dot segments", "GET /bookings/%2e%2e/admin HTTP/1.1\r\nHost: h\r\n" + auth + "\r\n", verdict.BadRequest},
		{"encoded line break", "GET /bookings/%0d%0aX:y HTTP/1.1\r\nHost: h\r\n" + auth + "\r\n", verdict.BadRequest},
		{"service of another customer", "GET /bookings HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer sk-beta\r\n\r\n", verdict.ModelNotAllowed},
		{"two idempotency keys", "POST /bookings HTTP/1.1\r\nHost: h\r\n" + auth + "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", verdict.BadRequest},
		{"long idempotency key", "POST /bookings HTTP/1.1\r\nHost: h\r\n" + auth + "Idempotency-Key: " + strings.Repeat("k", 256) + "\r\nContent-Length: 0\r\n\r\n", verdict.BadRequest},
		{"two lengths", chat(auth+"Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), ""},
		{"unknown transfer encoding", chat(auth+"Transfer-Encoding: gzip\r\n", ""), ""},
		{"line break in a name", chat(auth+"X\rY: 1\r\n", ""), ""},
		{"space before the colon", chat(auth+"Content-Length : 3\r\n", "abc"), ""},
	} {
		c.Run(test.name, func(c *qt.C) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, test.raw)
			c.Assert(err, qt.IsNil)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			if test.reason == "" {
				c.Assert(response.StatusCode >= 400, qt.IsTrue)
				return
			}
			assertRefused(c, reply{status: response.StatusCode, body: string(body)}, test.reason, verdict.NotRun)
			c.Assert(f.counters.Value("plumbarrow_refusals_total", "reason", string(test.reason)) > 0, qt.IsTrue)
		})
	}
	c.Assert(f.ledger.Bills(), qt.HasLen, 0)
}

// TestCallerLeavesWithinBody checks that a caller that disconnects within its request body is counted
// as a refusal with the reason caller_gone.
func TestCallerLeavesWithinBody(t *testing.T) {
	c := qt.New(t)
	f := newTestInstance(c, "a", nil)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "POST /bookings HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer sk-acme\r\nContent-Length: 9\r\n\r\nab")
	c.Assert(err, qt.IsNil)
	conn.Close()
	for f.counters.Value("plumbarrow_refusals_total", "reason", "caller_gone") == 0 {
		f.ask("unheard", false)
	}
}
