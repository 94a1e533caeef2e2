// Package service is a stand-in for a plain service, such as bookings, that counts how often each
// idempotency key and request id ran.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/link"
)

// Faults scripts how the service misbehaves. Counts apply to that many of the next requests.
type Faults struct {
	ResetsAfterRun int           `json:"resets_after_run"` // runs, then closes the connection
	SilencesAfter  int           `json:"silences_after"`   // runs, then never answers
	Refusals       int           `json:"refusals"`         // 503, not run
	Failures       int           `json:"failures"`         // 500 after the run
	Delay          time.Duration `json:"delay_ns"`         // before each run
}

// Service is one stand-in service; several instances may share a Ledger.
type Service struct {
	ledger *Ledger

	mu     sync.Mutex
	faults Faults
}

// Ledger counts runs over all instances of a service.
type Ledger struct {
	mu         sync.Mutex
	byKey      map[string]int
	byRequest  map[string]int
	executions int
}

// Receipt is the answer of a run.
type Receipt struct {
	Execution int    `json:"execution"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Echo      string `json:"echo,omitempty"`
}

// NewLedger returns empty counts.
func NewLedger() *Ledger {
	return &Ledger{byKey: make(map[string]int), byRequest: make(map[string]int)}
}

// New returns an instance that counts in ledger.
func New(ledger *Ledger) *Service { return &Service{ledger: ledger} }

// Fail replaces the faults in force.
func (s *Service) Fail(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// RunsByKey returns how often each idempotency key ran.
func (l *Ledger) RunsByKey() map[string]int { return l.copyOf(l.byKey) }

// RunsByRequest returns how often each request id ran.
func (l *Ledger) RunsByRequest() map[string]int { return l.copyOf(l.byRequest) }

func (l *Ledger) copyOf(counts map[string]int) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(counts))
	for key, n := range counts {
		out[key] = n
	}
	return out
}

func (l *Ledger) run(request *http.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key := request.Header.Get(link.HeaderIdempotencyKey); key != "" {
		l.byKey[key]++
	}
	l.byRequest[request.Header.Get(link.HeaderRequestID)]++
	l.executions++
	return l.executions
}

// Handler serves every path, and PUT /faults and GET /runs for scripts.
func (s *Service) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.PUT("/faults", s.setFaults)
	e.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, s.ledger.RunsByKey()) })
	e.Any("/*", s.serve)
	return e
}

func (s *Service) setFaults(c echo.Context) error {
	var faults Faults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.Fail(faults)
	return c.NoContent(http.StatusNoContent)
}

func (s *Service) serve(c echo.Context) error {
	request := c.Request()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	c.Response().Header().Set(link.HeaderAttemptID, request.Header.Get(link.HeaderAttemptID))
	s.mu.Lock()
	delay := s.faults.Delay
	refuse := take(&s.faults.Refusals)
	s.mu.Unlock()
	if refuse {
		c.Response().Header().Set(link.HeaderVerdict, "not_run")
		return c.String(http.StatusServiceUnavailable, "busy")
	}
	time.Sleep(delay)
	execution := s.ledger.run(request)
	s.mu.Lock()
	reset := take(&s.faults.ResetsAfterRun)
	silent := take(&s.faults.SilencesAfter)
	fail := take(&s.faults.Failures)
	s.mu.Unlock()
	switch {
	case reset:
		panic(http.ErrAbortHandler)
	case silent:
		<-request.Context().Done()
		return nil
	case fail:
		return c.String(http.StatusInternalServerError, "failed after the run")
	}
	receipt := Receipt{Execution: execution, Method: request.Method, Path: request.URL.Path, Echo: string(body)}
	if request.Method == http.MethodPost {
		c.Response().Header().Set(echo.HeaderLocation, fmt.Sprintf("%s/%d", request.URL.Path, execution))
		return c.JSON(http.StatusCreated, receipt)
	}
	return c.JSON(http.StatusOK, receipt)
}

func take(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}
