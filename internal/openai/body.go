package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
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
		{"messages", &body.Read.Messages},
		{"stream", &body.Read.Stream},
		{"max_tokens", &body.Read.MaxTokens},
		{"max_completion_tokens", &body.Read.MaxCompletionTokens},
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
	if body.Read.MaxTokens < 0 || body.Read.MaxCompletionTokens < 0 {
		return nil, errors.New("field max_tokens: negative")
	}
	body.AskedUsage = options.IncludeUsage
	return body, nil
}

// For returns the body that goes to an engine: with the engine's model name, and with usage at the
// end of a stream.
func (b *ChatBody) For(model string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(b.fields)+1)
	for name, raw := range b.fields {
		fields[name] = raw
	}
	quoted, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	fields["model"] = quoted
	if b.Read.Stream {
		options := map[string]json.RawMessage{}
		if raw, ok := fields["stream_options"]; ok {
			_ = json.Unmarshal(raw, &options)
		}
		if options == nil {
			options = map[string]json.RawMessage{}
		}
		options["include_usage"] = json.RawMessage("true")
		if fields["stream_options"], err = json.Marshal(options); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

// Prompt returns the text of the messages, for raters.
func (b *ChatBody) Prompt() string {
	var text bytes.Buffer
	for _, message := range b.Read.Messages {
		var content string
		if json.Unmarshal(message.Content, &content) != nil {
			content = string(message.Content)
		}
		text.WriteString(content)
		text.WriteByte('\n')
	}
	return text.String()
}
