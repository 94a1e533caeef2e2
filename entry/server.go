// Package entry is the HTTP API for callers: OpenAI-compatible chat completions for model routes and
// plain HTTP for services. It dispatches the attempts that package decide chooses, checks that
// answers are complete and belong to their attempt, and sends the end of an answer only once its
// bill is recorded.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/internal/inflight"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/limit"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/quality"
	"plumbarrow.example/plumbarrow/rollout"
)

// Dispatcher sends one attempt. Errors are *link.Failure. The caller releases the answer.
type Dispatcher interface {
	Do(ctx context.Context, attempt *link.Attempt) (*link.Answer, error)
}

// Forwarder sends a request to an entry instance of another zone. Errors are *link.Failure. The caller
// closes the answer's body.
type Forwarder interface {
	Forward(ctx context.Context, member machine.Member, forwarded *link.ForwardedRequest) (*link.Answer, error)
}

var (
	_ Dispatcher = (*link.Dispatcher)(nil)
	_ Forwarder  = (*link.ForwardClient)(nil)
)

// Parts are the dependencies and settings of a Server. The fields marked optional may be nil.
type Parts struct {
	Self       machine.Member
	Source     contract.Source
	Table      *machine.Table
	Picker     decide.Picker
	Permits    machine.Permits
	Dispatcher Dispatcher
	Claims     ledger.Claims
	Bills      ledger.Bills
	Counters   *telemetry.Counters
	Log        *slog.Logger
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64

	Settings        Settings                 // zero means DefaultSettings
	Queue           machine.Queue            // optional; without it a request to a full pool is refused
	RetryBudget     *decide.RetryBudget      // optional; without it retries are bounded per request only
	Pins            ledger.Pins              // optional; without it session ids chosen by callers are refused
	Judge           quality.Judge            // optional; without it cascades deliver their first step unrated
	Recorder        rollout.Recorder         // optional
	Forwarder       Forwarder                // optional; without it requests are not forwarded
	Members         machine.Members          // required with Forwarder
	Zones           func() []decide.ZoneLoad // optional; spare capacity of other zones
	RecordForwarded func(zone, pool string)  // optional; called before each attempt to forward a request
	Limits          *limit.RateLimiter       // optional; without it request rates are not limited
	Confirmed       func() bool              // optional; reports whether the configuration in force is confirmed
}

// Server is the HTTP handler for callers. Safe for concurrent use.
type Server struct {
	Parts
	handler  http.Handler
	explain  *explainRing
	inFlight inflight.Tracker
	// durations of requests that were attempted, by route.
	durations inflight.Durations

	sessionKeys atomic.Pointer[sessionKeys]
}

var (
	_ http.Handler        = (*Server)(nil)
	_ link.ForwardHandler = (*Server)(nil)
	_ Explainer           = (*Server)(nil)
)

// New returns a server.
func New(parts Parts) *Server {
	if parts.Settings == (Settings{}) {
		parts.Settings = DefaultSettings()
	}
	s := &Server{Parts: parts, explain: newExplainRing(parts.Settings.ExplainRecords)}
	s.handler = s.routes()
	return s
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler { return s }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.refuse
	e.Use(s.observe)
	e.POST("/v1/chat/completions", s.chat)
	e.GET("/v1/models", s.models)
	e.Any("/*", s.service)
	return e
}

func (s *Server) random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (s *Server) quality() decide.Quality {
	if s.Judge == nil {
		return nil
	}
	return s.Judge
}
