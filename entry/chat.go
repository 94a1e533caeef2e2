package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// bytesPerToken estimates prompt tokens before an engine has counted them.
const bytesPerToken = 4

func (s *Server) chat(c echo.Context) error {
	snapshot, customer, err := s.customer(c)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, s.MaxBodyBytes))
	if err != nil {
		return bodyError(err)
	}
	var chat openai.ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return verdict.Refuse(verdict.BadRequest, "the body is not a chat request: %v", err)
	}
	route, known := snapshot.ModelRoute(chat.Model, customer.Name)
	if !known {
		return verdict.Refuse(verdict.UnknownModel, "model %q is not known", chat.Model)
	}
	if route == nil {
		return verdict.Refuse(verdict.ModelNotAllowed, "customer %s may not use model %s", customer.Name, chat.Model)
	}
	now := time.Now()
	request := &decide.Request{
		ID:              requestID(c),
		Customer:        customer,
		Route:           route,
		Method:          http.MethodPost,
		Idempotent:      true,
		PromptTokens:    len(body) / bytesPerToken,
		MaxOutputTokens: max(chat.MaxTokens, chat.MaxCompletionTokens),
		Arrived:         now,
		Deadline:        now.Add(route.Deadline()),
	}
	return s.serveChat(c, snapshot, request, body, chat.Stream)
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verdict.Refuse(verdict.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return verdict.Refuse(verdict.CallerGone, "the body did not arrive whole")
}

// serveChat sends the request to one endpoint and streams the answer to the caller.
func (s *Server) serveChat(c echo.Context, snapshot *contract.Snapshot, request *decide.Request, body []byte, stream bool) error {
	settle, err := s.Bills.Admit(c.Request().Context(), request.Customer, 0)
	if err != nil {
		return err
	}
	defer settle()
	choice, err := s.choose(snapshot, request)
	if err != nil {
		return err
	}
	release, ok := s.Table.Acquire(choice.Endpoint)
	if !ok {
		return verdict.Refuse(verdict.NoEndpoint, "the endpoint's permits are taken")
	}
	defer release()
	if refusal := decide.Dispatchable(s.Source.Current(), request, &choice); refusal != nil {
		return refusal
	}
	attempt := &link.Attempt{
		ID:         uuid.NewString(),
		RequestID:  request.ID,
		Endpoint:   choice.Endpoint,
		Method:     request.Method,
		Path:       c.Request().URL.RequestURI(),
		Header:     http.Header{echo.HeaderContentType: {echo.MIMEApplicationJSON}},
		Body:       body,
		Idempotent: request.Idempotent,
		FirstByte:  request.Route.Deadline(),
		Progress:   request.Route.Progress(),
	}
	answer, err := s.Dispatcher.Do(c.Request().Context(), attempt)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if stream {
		return s.relayStream(c, request, &choice, answer)
	}
	return s.relayWhole(c, request, &choice, answer)
}

func (s *Server) choose(snapshot *contract.Snapshot, request *decide.Request) (decide.Choice, error) {
	random := s.random()
	pool := snapshot.Pools[request.Route.Pools[0]]
	version, refusal := decide.Version(snapshot, request, pool, random)
	if refusal != nil {
		return decide.Choice{}, refusal
	}
	seen := &decide.Observation{
		Now:  request.Arrived,
		Zone: s.Self.Zone,
		Pool: func(name string) decide.Candidates { return s.Table.Pool(name) },
	}
	choice, refusal := s.Picker.Pick(snapshot, request, pool.Name, version, seen, nil, random)
	if refusal != nil {
		return decide.Choice{}, refusal
	}
	return choice, nil
}

// bill returns the bill of a whole answer.
func bill(snapshot *contract.Snapshot, request *decide.Request, choice *decide.Choice, usage openai.Usage) ledger.Bill {
	version := snapshot.Versions[choice.Version]
	line := ledger.Line{
		Version:      choice.Version,
		Pool:         choice.Pool,
		PromptTokens: usage.PromptTokens,
		OutputTokens: usage.CompletionTokens,
	}
	if version != nil {
		line.Micros = (usage.PromptTokens*version.PromptPrice + usage.CompletionTokens*version.OutputPrice) / tokensPerPrice
	}
	return ledger.Bill{
		RequestID: request.ID,
		Customer:  request.Customer.Name,
		Route:     request.Route.Name,
		Lines:     []ledger.Line{line},
		At:        request.Arrived,
	}
}

const tokensPerPrice = 1000 // prices are per 1,000 tokens
