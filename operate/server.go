// Package operate implements the operators' HTTP API: configuration, zones, versions, roll-outs,
// status, bills and request explanations. It is served on a separate address.
package operate

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/rollout"
	"plumbarrow.example/plumbarrow/zone"
)

// maxBodyBytes limits a request body. A document has up to 1 MiB, and JSON may escape a byte as six
// (\u0000).
const maxBodyBytes = 7 << 20

// Proposer proposes changes of the configuration to the store and reads accepted revisions.
type Proposer interface {
	Propose(ctx context.Context, proposal replica.Proposal) replica.Result
	Edit(ctx context.Context, edit replica.Edit) replica.Result
	History(ctx context.Context, limit int) ([]replica.Record, error)
	Document(ctx context.Context, revision contract.Revision) (*replica.Record, []byte, error)
}

// Configuration is the configuration in force at this instance.
type Configuration interface {
	contract.Source
	ActiveRecord() (replica.Record, bool)
	Document() []byte
	Spread() []replica.ZoneSpread
	Confirmed() bool
}

// Orders takes zones and versions out of service without waiting for the store.
type Orders interface {
	TakeZoneOut(zone string) (zone.Order, error)
	WithdrawVersion(version contract.VersionID) (zone.Order, error)
	Active() []zone.Order
}

// Rollouts manages the roll-outs recorded in the platform's store.
type Rollouts interface {
	List(ctx context.Context) ([]rollout.Record, error)
	Start(ctx context.Context, record rollout.Record) error
	Resume(ctx context.Context, id string) error
	Abort(ctx context.Context, id string) error
}

var (
	_ Proposer      = (*replica.Proposer)(nil)
	_ Configuration = (*replica.Replica)(nil)
	_ Orders        = (*zone.Orders)(nil)
)

// Parts are the dependencies of a server. If Bills, Explain or Rollouts is nil, its routes are not
// registered. If Ready is nil, the instance always counts as ready.
type Parts struct {
	Members       machine.Members
	Proposer      Proposer
	Configuration Configuration
	Orders        Orders
	Rollouts      Rollouts
	// Bills returns the customers' totals.
	Bills func(ctx context.Context) ([]api.Bill, error)
	// Explain returns the record of a request that this instance served recently, to be encoded as
	// JSON.
	Explain func(requestID string) (record any, found bool)
	// Ready returns nil if the instance accepts requests, else the reason why not.
	Ready    func() error
	Counters *telemetry.Counters
	Log      *slog.Logger
	// Token is the operators' bearer token. If it is empty, only status, metrics and health are
	// served.
	Token string
}

// Server serves the operators' HTTP API.
type Server struct {
	Parts
	settler settler
}

// New returns a server. Run must be called for orders to be retried in the background.
func New(parts Parts) *Server {
	s := &Server{Parts: parts}
	s.settler.init(s)
	return s
}

// Run proposes orders that are not accepted yet, repeatedly, until ctx ends.
func (s *Server) Run(ctx context.Context) error { return s.settler.run(ctx) }

// ReadToken reads a bearer token from a file; an empty name gives an empty token.
func ReadToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errors.New(file + ": the token is empty")
	}
	return token, nil
}

// Handler returns the handler of the HTTP API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.readyz)
	e.GET("/metrics", s.metrics)
	e.GET("/v1/status", s.status)
	v1 := e.Group("/v1", s.authorize, limitBody)
	v1.GET("/config", s.config)
	v1.POST("/config", s.apply)
	v1.GET("/config/history", s.history)
	v1.GET("/config/diff", s.diff)
	v1.POST("/zones/:name/out", s.zoneOut)
	v1.POST("/zones/:name/in", s.zoneIn)
	v1.POST("/versions/:version/withdraw", s.withdraw)
	if s.Bills != nil {
		v1.GET("/bills", s.bills)
	}
	if s.Explain != nil {
		v1.GET("/explain/:id", s.explain)
	}
	if s.Rollouts != nil {
		v1.GET("/rollouts", s.listRollouts)
		v1.POST("/rollouts", s.startRollout)
		v1.POST("/rollouts/:id/resume", s.changeRollout(s.Rollouts.Resume))
		v1.POST("/rollouts/:id/abort", s.changeRollout(s.Rollouts.Abort))
	}
	return e
}

// authorize checks the bearer token in constant time. Both tokens are hashed first, so that the
// timing does not reveal the length of the configured one.
func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	want := sha256.Sum256([]byte(s.Token))
	return func(c echo.Context) error {
		if s.Token == "" {
			return echo.NewHTTPError(http.StatusForbidden, "this instance has no operators' token, so it serves status, metrics and health only")
		}
		sent, bearer := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		got := sha256.Sum256([]byte(sent))
		if !bearer || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			s.Counters.Inc("plumbarrow_operators_unauthorized_total")
			return echo.NewHTTPError(http.StatusUnauthorized, "send the operators' token as a bearer token")
		}
		return next(c)
	}
}

func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
		return next(c)
	}
}

func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	message := err.Error()
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
		if text, ok := httpError.Message.(string); ok {
			message = text
		}
	}
	_ = c.JSON(status, api.Error{Message: message})
}

func (s *Server) readyz(c echo.Context) error {
	if err := s.ready(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) ready() error {
	if s.Ready == nil {
		return nil
	}
	return s.Ready()
}

func (s *Server) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlain)
	var out io.Writer = c.Response()
	s.Counters.Write(out)
	return nil
}
