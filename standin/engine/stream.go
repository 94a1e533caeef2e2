package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
)

// stream sends the answer token by token and reports whether it sent all of it. A request with
// HeaderResumeFrom skips that many tokens.
func (g *Engine) stream(c echo.Context, tokens int, quality float64, usage *openai.Usage, fault fault) bool {
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	from, err := strconv.Atoi(c.Request().Header.Get(link.HeaderResumeFrom))
	if err == nil {
		response.Header().Set(link.HeaderResumeFrom, strconv.Itoa(from))
	}
	response.WriteHeader(http.StatusOK)
	chunk := openai.ChatAnswer{
		ID:     c.Request().Header.Get(link.HeaderRequestID),
		Object: "chat.completion.chunk",
		Model:  g.settings.Model,
	}
	for i := from; i < tokens; i++ {
		if fault.breakAfter > 0 && i-from == fault.breakAfter {
			panic(http.ErrAbortHandler)
		}
		if fault.silentAfter > 0 && i-from == fault.silentAfter {
			<-c.Request().Context().Done()
			return false
		}
		g.step()
		chunk.Choices = []openai.Choice{{Delta: &openai.Content{Content: tokenText(i, quality)}}}
		if writeEvent(response, chunk) != nil {
			return false
		}
	}
	if fault.truncate {
		return false
	}
	stop := "stop"
	chunk.Choices = []openai.Choice{{Delta: &openai.Content{}, FinishReason: &stop}}
	chunk.Usage = usage
	if writeEvent(response, chunk) != nil {
		return false
	}
	_, err = fmt.Fprintf(response, "data: %s\n\n", openai.Done)
	return err == nil
}

func writeEvent(response *echo.Response, chunk openai.ChatAnswer) error {
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

// truncate sends less than the announced Content-Length and aborts the connection.
func truncate(c echo.Context) bool {
	header := c.Response().Header()
	header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	header.Set(echo.HeaderContentLength, "1000")
	c.Response().WriteHeader(http.StatusOK)
	_, _ = c.Response().Write([]byte(`{"id":"cut`))
	c.Response().Flush()
	panic(http.ErrAbortHandler)
}
