package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	maxAnswerBytes = 16 << 20
	maxEventBytes  = 1 << 20
)

var dataPrefix = []byte("data: ")

// relayWhole sends a complete JSON answer to the caller.
func (s *Server) relayWhole(c echo.Context, request *decide.Request, choice *decide.Choice, answer *link.Answer) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return verdict.Uncertain(verdict.UpstreamTruncated, "the answer broke off")
	}
	if answer.Status != http.StatusOK {
		return verdict.Uncertain(verdict.UpstreamError, "the engine answered %d", answer.Status)
	}
	var parsed openai.ChatAnswer
	if err := json.Unmarshal(body, &parsed); err != nil || parsed.Usage == nil {
		return verdict.Uncertain(verdict.UpstreamTruncated, "the answer is not whole")
	}
	if err := s.Bills.Record(c.Request().Context(), bill(s.Source.Current(), request, choice, *parsed.Usage)); err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
}

// relayStream copies events as they arrive. The end of the stream is released only once the bill
// is recorded.
func (s *Server) relayStream(c echo.Context, request *decide.Request, choice *decide.Choice, answer *link.Answer) error {
	if answer.Status != http.StatusOK {
		return verdict.Uncertain(verdict.UpstreamError, "the engine answered %d", answer.Status)
	}
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	response.WriteHeader(http.StatusOK)
	scanner := bufio.NewScanner(answer.Body)
	scanner.Buffer(nil, maxEventBytes)
	var usage openai.Usage
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if string(data) == openai.Done {
			return s.endStream(c, request, choice, usage)
		}
		var chunk openai.ChatAnswer
		if json.Unmarshal(data, &chunk) == nil && chunk.Usage != nil {
			usage = *chunk.Usage
		}
		if err := writeEvent(response, data); err != nil {
			return verdict.Uncertain(verdict.CallerGone, "the caller left")
		}
	}
	return s.breakStream(c, verdict.Uncertain(verdict.UpstreamTruncated, "the stream broke off"))
}

func (s *Server) endStream(c echo.Context, request *decide.Request, choice *decide.Choice, usage openai.Usage) error {
	if err := s.Bills.Record(c.Request().Context(), bill(s.Source.Current(), request, choice, usage)); err != nil {
		return s.breakStream(c, verdict.Of(err))
	}
	return writeEvent(c.Response(), []byte(openai.Done))
}

// breakStream ends a started stream with an explicit error event.
func (s *Server) breakStream(c echo.Context, refusal *verdict.Refusal) error {
	data, err := json.Marshal(ErrorBody(refusal, requestID(c)))
	if err != nil {
		return err
	}
	_ = writeEvent(c.Response(), data)
	return refusal
}

func writeEvent(response *echo.Response, data []byte) error {
	event := make([]byte, 0, len(dataPrefix)+len(data)+2)
	event = append(event, dataPrefix...)
	event = append(event, data...)
	event = append(event, '\n', '\n')
	if _, err := response.Write(event); err != nil {
		return err
	}
	response.Flush()
	return nil
}
