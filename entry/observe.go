package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	exchangeKey = "exchange"
	// durationMetric is the histogram of whole requests in seconds.
	durationMetric = "plumbarrow_request_seconds"
)

// exchange is one caller's request as the log sees it. One goroutine at a time uses it.
type exchange struct {
	record Record
	// bodyRead says that the caller's body was read to its end.
	bodyRead bool
	// aborted says that the answer broke off after its head, so that the connection has to be
	// cut for the caller to notice.
	aborted bool
}

func exchangeOf(c echo.Context) *exchange {
	if found, ok := c.Get(exchangeKey).(*exchange); ok {
		return found
	}
	return &exchange{}
}

func requestID(c echo.Context) string { return exchangeOf(c).record.RequestID }

func (x *exchange) refused(refusal *verdict.Refusal) {
	x.record.Verdict = refusal.Verdict
	x.record.Reason = refusal.Reason
	x.record.Detail = refusal.Detail
}

// observe gives each request its id, counts it as in progress, turns its error into an answer, and
// logs and records it once it is over.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.flights.Start() {
			// A stopping instance serves what arrives, and takes the connection out of use.
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		defer s.flights.End()
		x := s.newExchange(c)
		defer s.finish(c, x)
		defer s.recovered(c)
		if err := next(c); err != nil {
			s.refuse(err, c)
		}
		if x.aborted {
			panic(http.ErrAbortHandler)
		}
		return nil
	}
}

func (s *Server) newExchange(c echo.Context) *exchange {
	request := c.Request()
	x := &exchange{record: Record{
		RequestID: uuid.NewString(),
		Method:    request.Method,
		Path:      request.URL.Path,
		Received:  time.Now(),
	}}
	if who := identityOf(request.Context()); who != nil {
		x.record.RequestID = who.requestID
		x.record.Hops = who.hops
	}
	c.Set(exchangeKey, x)
	c.Response().Header().Set(link.HeaderRequestID, x.record.RequestID)
	return x
}

// recovered turns a panic into a refusal, so that one faulty request does not stop the instance.
func (s *Server) recovered(c echo.Context) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	s.Log.Error("panic", "request_id", requestID(c), "cause", fmt.Sprint(cause))
	s.refuse(verdict.Uncertain(verdict.Internal, "the request failed within the router"), c)
}

func (s *Server) finish(c echo.Context, x *exchange) {
	if who := identityOf(c.Request().Context()); who != nil {
		who.outcome = x.record.Verdict
	}
	duration := time.Since(x.record.Received)
	x.record.DurationMS = float64(duration.Microseconds()) / 1000
	s.explain.add(x.record)
	s.Counters.Observe(durationMetric, duration.Seconds())
	decision := ""
	if n := len(x.record.Notes); n > 0 {
		decision = x.record.Notes[n-1].Reason
	}
	s.Log.LogAttrs(context.Background(), slog.LevelInfo, "request",
		slog.String("request_id", x.record.RequestID),
		slog.String("customer", x.record.Customer),
		slog.String("route", x.record.Route),
		slog.String("decision", decision),
		slog.Int("attempts", len(x.record.Attempts)),
		slog.String("verdict", x.record.Verdict.String()),
		slog.String("reason", string(x.record.Reason)),
		slog.String("detail", x.record.Detail),
		slog.Duration("duration", duration))
}
