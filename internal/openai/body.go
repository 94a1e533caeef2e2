package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

// ChatBody is a chat completion request that keeps all fields, also those unknown to the router. Field
// names match exactly (not case-insensitively), and of a repeated name only the last value is kept and
// forwarded, so that an engine can't read other values than the router did.
type ChatBody struct {
	fields map[string]json.RawMessage
	// Parsed holds the fields that the router interprets; Messages stays empty.
	Parsed ChatRequest
	// UsageRequested is set if the caller requested usage at the end of a stream (include_usage).
	UsageRequested bool
}

// StreamOptions is the stream_options field.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ParseChat decodes the JSON of a chat completion request. It returns an error if that is not an object
// or if a field that the router interprets has the wrong type or is a negative number.
func ParseChat(data []byte) (*ChatBody, error) {
	body := &ChatBody{}
	if err := json.Unmarshal(data, &body.fields); err != nil {
		return nil, err
	}
	if body.fields == nil {
		return nil, errors.New("not an object")
	}
	var options StreamOptions
	knownFields := []struct {
		name string
		into any
	}{
		{"model", &body.Parsed.Model},
		{"stream", &body.Parsed.Stream},
		{"max_tokens", &body.Parsed.MaxTokens},
		{"max_completion_tokens", &body.Parsed.MaxCompletionTokens},
		{"n", &body.Parsed.N},
		{"stream_options", &options},
	}
	for _, field := range knownFields {
		raw, ok := body.fields[field.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, field.into); err != nil {
			return nil, fmt.Errorf("field %s: %w", field.name, err)
		}
	}
	if body.Parsed.MaxTokens < 0 || body.Parsed.MaxCompletionTokens < 0 || body.Parsed.N < 0 {
		return nil, errors.New("field max_tokens, max_completion_tokens or n: negative")
	}
	body.UsageRequested = options.IncludeUsage
	return body, nil
}

// SetDefaultMaxTokens sets max_tokens if the request has no limit of its output tokens.
func (b *ChatBody) SetDefaultMaxTokens(tokens int) {
	if b.Parsed.MaxTokens > 0 || b.Parsed.MaxCompletionTokens > 0 {
		return
	}
	b.Parsed.MaxTokens = tokens
	b.fields["max_tokens"] = strconv.AppendInt(nil, int64(tokens), 10)
}

// EncodeForModel returns the body to send to an engine: with the engine's model name, and with
// include_usage set if the request is a stream. All other fields are copied byte for byte, not encoded
// again.
func (b *ChatBody) EncodeForModel(model string) ([]byte, error) {
	size := 2
	for name, raw := range b.fields {
		size += len(name) + len(raw) + fieldOverhead
	}
	body := make([]byte, 0, size+len(model)+usageOverhead)
	body = append(body, '{')
	body = appendField(body, "model", appendString(nil, model))
	if b.Parsed.Stream {
		options, err := b.streamOptions()
		if err != nil {
			return nil, err
		}
		body = appendField(body, "stream_options", options)
	}
	for name, raw := range b.fields {
		if name == "model" || name == "stream_options" && b.Parsed.Stream {
			continue
		}
		body = appendField(body, name, raw)
	}
	return append(body, '}'), nil
}

const (
	fieldOverhead = 8  // bytes for quotes, colon, comma and a few escapes
	usageOverhead = 64 // bytes for the added stream options
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

// Prompt returns the text of the messages, one per line, for raters. Content that is not a string is
// returned as JSON.
func (b *ChatBody) Prompt() string {
	var text bytes.Buffer
	var messages []Message
	_ = json.Unmarshal(b.fields["messages"], &messages) // the engine refuses malformed messages
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
