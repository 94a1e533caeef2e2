// Package openai defines the messages of the OpenAI HTTP API that the router reads or writes, with the
// fields that it uses. It makes no HTTP calls.
package openai

import "encoding/json"

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// ChatRequest is the part of a chat completion request that the router reads; it forwards the rest
// unchanged.
type ChatRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	N                   int       `json:"n"` // number of requested choices; 0 means 1
}

// Message is one message of a chat. Content is a string or an array of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Usage counts the tokens of one request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// ChatAnswer is a complete chat completion response, not a chunk of a stream.
type ChatAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a response or of a stream's chunk.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Content `json:"message,omitempty"`
	Delta        *Content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content is generated text.
type Content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Model is one entry of the model list.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// ErrorBody is the body of an error response. plumbarrow adds verdict, reason, retry_after_ms and
// request_id to the usual fields.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a refusal.
type ErrorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	Verdict      string `json:"verdict"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
}
