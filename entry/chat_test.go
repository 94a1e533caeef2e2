package entry_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	client "github.com/sashabaranov/go-openai"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// TestOpenAIClient checks compatibility with an unmodified OpenAI client library.
func TestOpenAIClient(t *testing.T) {
	c := qt.New(t)
	f := newTestInstance(c, "a", nil)
	f.add("small-engines", "small@v1", engine("v1"))
	config := client.DefaultConfig("sk-acme")
	config.BaseURL = f.url + "/v1"
	api := client.NewClientWithConfig(config)
	models, err := api.ListModels(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(models.Models, qt.HasLen, 2)
	request := client.ChatCompletionRequest{Model: "assistant", Messages: []client.ChatCompletionMessage{{Role: "user", Content: "hi"}}}
	answer, err := api.CreateChatCompletion(t.Context(), request)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Choices[0].Message.Content, qt.Equals, "one two three")
	stream, err := api.CreateChatCompletionStream(t.Context(), request)
	c.Assert(err, qt.IsNil)
	defer stream.Close()
	var text strings.Builder
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		c.Assert(err, qt.IsNil)
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	c.Assert(text.String(), qt.Equals, "one two three")
	request.Model = "unheard"
	_, err = api.CreateChatCompletion(t.Context(), request)
	var refused *client.APIError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
	c.Assert(refused.Code, qt.Equals, "unknown_model")
	c.Assert(f.ledger.Bills(), qt.HasLen, 2)
}

// TestTruncation cuts the engine's answer at every byte. The caller must get a refusal with a verdict,
// or a stream that ends in one, never a partial answer that looks complete; partial answers are not
// billed.
func TestTruncation(t *testing.T) {
	c := qt.New(t)
	streamBody := strings.Join(streamEvents, "")
	visible := strings.Join(streamEvents[:3], "")
	for stream, length := range map[bool]int{true: len(streamBody), false: len(unstreamedAnswer)} {
		for n := range length {
			f := newTestInstance(c, "a", nil)
			f.add("small-engines", "small@v1", truncatingEngine("v1", n))
			r := f.ask("assistant", stream)
			c.Assert(r.err, qt.IsNil)
			begun := stream && n >= len(streamEvents[0])
			if !begun {
				assertRefused(c, r, verdict.UpstreamTruncated, verdict.MayHaveRun)
				continue
			}
			part, failed, found := strings.Cut(r.body, `data: {"error"`)
			c.Assert(found, qt.IsTrue, qt.Commentf("at %d: %s", n, r.body))
			c.Assert(strings.HasPrefix(visible, part), qt.IsTrue, qt.Commentf("at %d: %s", n, part))
			c.Assert(failed, qt.Contains, `"verdict":"may_have_run"`)
			c.Assert(r.body, qt.Not(qt.Contains), "[DONE]")
			c.Assert(f.ledger.Bills(), qt.HasLen, 0)
		}
	}
}

// TestRetriedTruncation checks that an answer cut before anything is delivered is retried and billed once.
func TestRetriedTruncation(t *testing.T) {
	c := qt.New(t)
	for _, stream := range []bool{true, false} {
		f := newTestInstance(c, "a", nil)
		var calls atomic.Int64
		first := func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				truncatingEngine("v1", 20)(w, r)
			}
			engine("v1")(w, r)
		}
		f.add("small-engines", "small@v1", first)
		f.add("small-engines", "small@v1", first)
		r := f.ask("assistant", stream)
		c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		c.Assert(f.explain(r).Attempts, qt.HasLen, 2)
		c.Assert(f.counters.Value("plumbarrow_retries_total", "reason", "truncated_answer"), qt.Equals, uint64(1))
		c.Assert(f.ledger.Bills(), qt.HasLen, 1)
	}
}

// TestAnswersOfOtherAttempts checks that an answer that carries another attempt's id or another
// version is neither delivered nor billed, and that later requests are served.
func TestAnswersOfOtherAttempts(t *testing.T) {
	for _, test := range []struct {
		name    string
		header  string
		value   string
		reason  verdict.Reason
		outcome verdict.Verdict
	}{
		{"crossed", link.HeaderAttemptID, "another", verdict.AttemptMismatch, verdict.MayHaveRun},
		{"no attempt", link.HeaderAttemptID, "", verdict.AttemptMismatch, verdict.MayHaveRun},
		{"wrong version", link.HeaderVersion, "v2", verdict.VersionMismatch, verdict.Ran},
		{"no version", link.HeaderVersion, "", verdict.VersionMismatch, verdict.Ran},
	} {
		for _, stream := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				c := qt.New(t)
				f := newTestInstance(c, "a", nil)
				f.add("small-engines", "small@v1", func(w http.ResponseWriter, r *http.Request) {
					body := chatBody(w, r, "v1")
					w.Header().Set(test.header, test.value)
					_, _ = io.WriteString(w, body)
				})
				r := f.ask("assistant", stream)
				assertRefused(c, r, test.reason, test.outcome)
				c.Assert(r.body, qt.Not(qt.Contains), "three")
				c.Assert(f.ledger.Bills(), qt.HasLen, 0)
				f.add("small-engines", "small@v1", engine("v1"))
				served := 0
				for range 8 {
					if f.ask("assistant", stream).status == http.StatusOK {
						served++
					}
				}
				c.Assert(served, qt.Equals, 8)
				c.Assert(f.ledger.Bills(), qt.HasLen, 8)
			})
		}
	}
}

// TestResume cuts a stream from an engine that declares that it can resume. The stream continues if
// the engine confirms the position, and ends in a refusal if it does not: the caller could otherwise
// receive repeated or missing events.
func TestResume(t *testing.T) {
	for _, honest := range []bool{true, false} {
		c := qt.New(t)
		f := newTestInstance(c, "a", nil)
		var resumedFrom []string
		handler := func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(link.HeaderResume, "1")
			from := r.Header.Get(link.HeaderResumeFrom)
			resumedFrom = append(resumedFrom, from)
			if from == "" {
				truncatingEngine("v1", len(streamEvents[0])+len(streamEvents[1])+5)(w, r)
			}
			if honest {
				w.Header().Set(link.HeaderResumeFrom, from)
			}
			_ = chatBody(w, r, "v1")
			_, _ = io.WriteString(w, strings.Join(streamEvents[2:], ""))
		}
		f.add("small-engines", "small@v1", handler)
		r := f.ask("assistant", true)
		c.Assert(resumedFrom[:2], qt.DeepEquals, []string{"", "2"})
		if honest {
			c.Assert(r.body, qt.Equals, strings.Join(streamEvents[:3], "")+streamEvents[4])
			c.Assert(f.ledger.Bills(), qt.HasLen, 1)
			continue
		}
		c.Assert(r.body, qt.Contains, `"verdict":"may_have_run"`)
		c.Assert(r.body, qt.Not(qt.Contains), "[DONE]")
	}
}

// TestCallerLeaves checks that when the caller disconnects within a stream, the engine's request is
// cancelled and the events sent so far are billed.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	f := newTestInstance(c, "a", nil)
	cancelled := make(chan struct{})
	f.add("small-engines", "small@v1", func(w http.ResponseWriter, r *http.Request) {
		_ = chatBody(w, r, "v1")
		_, _ = io.WriteString(w, streamEvents[0])
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/chat/completions", strings.NewReader(`{"model":"assistant","stream":true}`))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer sk-acme")
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	part := make([]byte, len(streamEvents[0]))
	_, err = io.ReadFull(response.Body, part)
	c.Assert(err, qt.IsNil)
	cancel()
	response.Body.Close()
	<-cancelled
	record := f.explain(reply{header: response.Header})
	c.Assert(record.Reason, qt.Equals, verdict.CallerGone)
	c.Assert(record.Bill.Lines[0].OutputTokens, qt.Equals, int64(1))
}
