// Package entry is the HTTP surface for callers: OpenAI-compatible chat completions for model
// routes and plain HTTP for services.
package entry

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// Parts are what a server works with.
type Parts struct {
	Self       machine.Member
	Source     contract.Source
	Table      *machine.Table
	Picker     decide.Picker
	Dispatcher *link.Dispatcher
	Claims     ledger.Claims
	Bills      ledger.Bills
	Counters   *telemetry.Counters
	Log        *slog.Logger
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64
}

// Server serves callers.
type Server struct {
	Parts
}

// New returns a server.
func New(parts Parts) *Server { return &Server{Parts: parts} }

// Handler returns the callers' HTTP surface.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.refuse
	e.POST("/v1/chat/completions", s.chat)
	e.GET("/v1/models", s.models)
	return e
}

func (s *Server) random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// refuse answers an error as a typed refusal and counts it.
func (s *Server) refuse(err error, c echo.Context) {
	refusal := asRefusal(err)
	s.Counters.Refused(refusal.Reason)
	s.Log.Info("refused", "request_id", requestID(c), "reason", refusal.Reason, "verdict", refusal.Verdict.String(), "detail", refusal.Detail)
	if c.Response().Committed {
		return
	}
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	_ = c.JSON(refusal.Reason.Status(), ErrorBody(refusal, requestID(c)))
}

// ErrorBody returns the JSON form of a refusal.
func ErrorBody(refusal *verdict.Refusal, requestID string) openai.ErrorBody {
	return openai.ErrorBody{Error: openai.ErrorDetail{
		Message:      refusal.Detail,
		Type:         "plumbarrow_refusal",
		Code:         string(refusal.Reason),
		Verdict:      refusal.Verdict.String(),
		Reason:       string(refusal.Reason),
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}}
}

func asRefusal(err error) *verdict.Refusal {
	var failure *link.Failure
	if errors.As(err, &failure) {
		return &verdict.Refusal{Verdict: failure.Verdict, Reason: verdict.UpstreamError, Detail: "the endpoint failed"}
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		return verdict.Refuse(verdict.UnknownRoute, "%v", httpError.Message)
	}
	return verdict.Of(err)
}

const requestIDKey = "request_id"

func requestID(c echo.Context) string {
	if id, ok := c.Get(requestIDKey).(string); ok {
		return id
	}
	id := uuid.NewString()
	c.Set(requestIDKey, id)
	c.Response().Header().Set(link.HeaderRequestID, id)
	return id
}

// customer finds the caller by its API key.
func (s *Server) customer(c echo.Context) (*contract.Snapshot, *contract.Customer, error) {
	snapshot := s.Source.Current()
	if snapshot == nil {
		return nil, nil, verdict.Refuse(verdict.NoConfiguration, "this entry instance has no configuration yet")
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return nil, nil, verdict.Refuse(verdict.MissingKey, "send the API key as a bearer token")
	}
	customer := snapshot.CustomerByKey(key)
	if customer == nil {
		return nil, nil, verdict.Refuse(verdict.UnknownKey, "the API key is not known")
	}
	return snapshot, customer, nil
}

// models lists the models that the customer may ask for.
func (s *Server) models(c echo.Context) error {
	snapshot, customer, err := s.customer(c)
	if err != nil {
		return err
	}
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for i := range snapshot.Document.Routes {
		route := &snapshot.Document.Routes[i]
		allowed, _ := snapshot.ModelRoute(route.Model, customer.Name)
		if route.Model != "" && allowed == route {
			list.Data = append(list.Data, openai.Model{ID: route.Model, Object: "model", OwnedBy: "plumbarrow"})
		}
	}
	return c.JSON(http.StatusOK, list)
}
