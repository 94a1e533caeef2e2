// Package engine is a stand-in for a model engine with the OpenAI HTTP API.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
)

// Settings of an engine.
type Settings struct {
	Model   string
	Version string
	Tokens  int           // per answer
	PerStep time.Duration // between tokens
}

// Engine is one stand-in engine.
type Engine struct {
	settings Settings
}

// New returns an engine.
func New(settings Settings) *Engine { return &Engine{settings: settings} }

// Handler serves the engine.
func (g *Engine) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/v1/chat/completions", g.chat)
	return e
}

func (g *Engine) chat(c echo.Context) error {
	var request openai.ChatRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	header := c.Response().Header()
	header.Set(link.HeaderAttemptID, c.Request().Header.Get(link.HeaderAttemptID))
	header.Set(link.HeaderVersion, g.settings.Version)
	if request.Stream {
		return g.stream(c)
	}
	stop := "stop"
	text := strings.Repeat("word ", g.settings.Tokens)
	return c.JSON(http.StatusOK, openai.ChatAnswer{
		ID:      c.Request().Header.Get(link.HeaderAttemptID),
		Object:  "chat.completion",
		Model:   g.settings.Model,
		Choices: []openai.Choice{{Message: &openai.Content{Role: "assistant", Content: text}, FinishReason: &stop}},
		Usage:   g.usage(),
	})
}

func (g *Engine) stream(c echo.Context) error {
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	for range g.settings.Tokens {
		time.Sleep(g.settings.PerStep)
		chunk := openai.ChatAnswer{Object: "chat.completion.chunk", Model: g.settings.Model,
			Choices: []openai.Choice{{Delta: &openai.Content{Content: "word "}}}}
		if err := event(response, chunk); err != nil {
			return err
		}
	}
	last := openai.ChatAnswer{Object: "chat.completion.chunk", Model: g.settings.Model, Choices: []openai.Choice{}, Usage: g.usage()}
	if err := event(response, last); err != nil {
		return err
	}
	_, err := fmt.Fprintf(response, "data: %s\n\n", openai.Done)
	return err
}

func event(response *echo.Response, chunk openai.ChatAnswer) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(response, "data: %s\n\n", data); err != nil {
		return err
	}
	response.Flush()
	return nil
}

func (g *Engine) usage() *openai.Usage {
	tokens := int64(g.settings.Tokens)
	return &openai.Usage{PromptTokens: tokens, CompletionTokens: tokens, TotalTokens: 2 * tokens}
}
