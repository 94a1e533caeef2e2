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
	// durationMetric is the histogram of request durations, in seconds.
	durationMetric = "plumbarrow_request_seconds"
)

// exchange is the state of one HTTP request that the middleware and the handlers share. It is not
// safe for concurrent use.
type exchange struct {
	record Record
	// bodyRead reports that the request body was read to its end.
	bodyRead bool
	// aborted reports that the answer failed after its header was sent. The connection must be cut,
	// since nothing else tells the caller that the answer is incomplete.
	aborted bool
}

func exchangeOf(c echo.Context) *exchange {
	if x, ok := c.Get(exchangeKey).(*exchange); ok {
		return x
	}
	return &exchange{}
}

func requestID(c echo.Context) string { return exchangeOf(c).record.RequestID }

func (x *exchange) setRefusal(refusal *verdict.Refusal) {
	x.record.Verdict = refusal.Verdict
	x.record.Reason = refusal.Reason
	x.record.Detail = refusal.Detail
}

// observe is the middleware that assigns the request id, counts the request as in progress, turns an
// error into a refusal, and logs and records the request when it ends.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.inFlight.Start() {
			// A stopping instance still serves requests, but closes their connections.
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		defer s.inFlight.End()
		ctx, detach := s.inFlight.Attach(c.Request().Context())
		defer detach()
		c.SetRequest(c.Request().WithContext(ctx))
		x := s.newExchange(c)
		defer s.finish(c, x)
		defer s.recoverPanic(c)
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
	if forwarded := forwardedRequestOf(request.Context()); forwarded != nil {
		x.record.RequestID = forwarded.requestID
		x.record.Hops = forwarded.hops
	}
	c.Set(exchangeKey, x)
	c.Response().Header().Set(link.HeaderRequestID, x.record.RequestID)
	return x
}

// recoverPanic turns a panic into a refusal, so that one request does not end the process. It passes
// on http.ErrAbortHandler, which cuts the connection.
func (s *Server) recoverPanic(c echo.Context) {
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

// finish completes the request's record and writes it to the metrics, the log and the explain ring.
func (s *Server) finish(c echo.Context, x *exchange) {
	if forwarded := forwardedRequestOf(c.Request().Context()); forwarded != nil {
		forwarded.verdict = x.record.Verdict
	}
	duration := time.Since(x.record.Received)
	x.record.DurationMS = float64(duration.Microseconds()) / 1000
	s.explain.add(x.record)
	s.Counters.Observe(durationMetric, duration.Seconds())
	if len(x.record.Attempts) > 0 {
		s.durations.Record(x.record.Route, duration)
	}
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
