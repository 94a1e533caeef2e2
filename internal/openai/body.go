package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// ChatBody is a chat completion request whose fields can be read and replaced without losing the
// ones that the router does not know. Names match exactly, and a repeated name counts once, so that
// an engine reads the same values as the router.
type ChatBody struct {
	fields map[string]json.RawMessage
	// Read is the part that the router understands.
	Read ChatRequest
	// AskedUsage says that the caller wants usage at the end of a stream.
	AskedUsage bool
}

// StreamOptions is the stream_options field.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ParseChat reads a chat completion request.
func ParseChat(data []byte) (*ChatBody, error) {
	body := &ChatBody{}
	if err := json.Unmarshal(data, &body.fields); err != nil {
		return nil, err
	}
	if body.fields == nil {
		return nil, errors.New("not an object")
	}
	var options StreamOptions
	read := []struct {
		name string
		into any
	}{
		{"model", &body.Read.Model},
		{"stream", &body.Read.Stream},
		{"max_tokens", &body.Read.MaxTokens},
		{"max_completion_tokens", &body.Read.MaxCompletionTokens},
		{"n", &body.Read.N},
		{"stream_options", &options},
	}
	for _, field := range read {
		raw, ok := body.fields[field.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, field.into); err != nil {
			return nil, fmt.Errorf("field %s: %w", field.name, err)
		}
	}
	if body.Read.MaxTokens < 0 || body.Read.MaxCompletionTokens < 0 || body.Read.N < 0 {
		return nil, errors.New("field max_tokens, max_completion_tokens or n: negative")
	}
	body.AskedUsage = options.IncludeUsage
	return body, nil
}

// Bound sets the most output tokens of a request that does not bound them itself.
func (b *ChatBody) Bound(tokens int) {
	if b.Read.MaxTokens > 0 || b.Read.MaxCompletionTokens > 0 {
		return
	}
	b.Read.MaxTokens = tokens
	b.fields["max_tokens"] = strconv.AppendInt(nil, int64(tokens), 10)
}

// For returns the body that goes to an engine: with the engine's model name, and with usage at the
// end of a stream. The other fields stay as they came; they are not encoded again.
func (b *ChatBody) For(model string) ([]byte, error) {
	size := 2
	for name, raw := range b.fields {
		size += len(name) + len(raw) + fieldOverhead
	}
	body := make([]byte, 0, size+len(model)+usageOverhead)
	body = append(body, '{')
	body = appendField(body, "model", appendString(nil, model))
	if b.Read.Stream {
		options, err := b.streamOptions()
		if err != nil {
			return nil, err
		}
		body = appendField(body, "stream_options", options)
	}
	for name, raw := range b.fields {
		if name == "model" || name == "stream_options" && b.Read.Stream {
			continue
		}
		body = appendField(body, name, raw)
	}
	return append(body, '}'), nil
}

const (
	fieldOverhead = 8  // bytes of quotes, colon and comma, with room for escapes
	usageOverhead = 64 // bytes of the added stream options
)

func appendField(body []byte, name string, raw []byte) []byte {
	if len(body) > 1 {
		body = append(body, ',')
	}
	body = appendString(body, name)
	body = append(body, ':')
	return append(body, raw...)
}

func appendString(body []byte, text string) []byte {
	quoted, err := json.Marshal(text)
	if err != nil {
		return append(body, '"', '"')
	}
	return append(body, quoted...)
}

func (b *ChatBody) streamOptions() ([]byte, error) {
	options := map[string]json.RawMessage{}
	if raw, ok := b.fields["stream_options"]; ok {
		if err := json.Unmarshal(raw, &options); err != nil {
			return nil, err
		}
	}
	if options == nil {
		options = map[string]json.RawMessage{}
	}
	options["include_usage"] = json.RawMessage("true")
	return json.Marshal(options)
}

// Prompt returns the text of the messages, for raters.
func (b *ChatBody) Prompt() string {
	var text bytes.Buffer
	var messages []Message
	_ = json.Unmarshal(b.fields["messages"], &messages) // else the engine refuses them
	for _, message := range messages {
		var content string
		if json.Unmarshal(message.Content, &content) != nil {
			content = string(message.Content)
		}
		text.WriteString(content)
		text.WriteByte('\n')
	}
	return text.String()
}
