// Package service is a stand-in for a plain service, such as bookings, that counts the executions per
// idempotency key and per request id.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/link"
)

// Faults are the faults to inject. A count n applies the fault to the next n requests.
type Faults struct {
	ResetsAfterRun int           `json:"resets_after_run"` // runs, then closes the connection
	SilencesAfter  int           `json:"silences_after"`   // runs, then never answers
	Refusals       int           `json:"refusals"`         // 503, not run
	Failures       int           `json:"failures"`         // 500 after the run
	Delay          time.Duration `json:"delay_ns"`         // before each run
}

// Service is one instance of a service; instances of the same service share a RunCounter. Safe for
// concurrent use.
type Service struct {
	runs *RunCounter

	mu     sync.Mutex
	faults Faults
}

// RunCounter counts executions over all instances of a service. Safe for concurrent use.
type RunCounter struct {
	mu         sync.Mutex
	byKey      map[string]int
	byRequest  map[string]int
	executions int
}

// Receipt is the answer to an executed request. Execution numbers the executions of the RunCounter from
// 1; Echo is the request's body. Padding makes the receipts of paths that end in "/long" long.
type Receipt struct {
	Execution int    `json:"execution"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Echo      string `json:"echo,omitempty"`
	Padding   string `json:"padding,omitempty"`
}

// longBytes is the length of the padding of long receipts.
const longBytes = 4 << 20

// NewRunCounter returns a counter without executions.
func NewRunCounter() *RunCounter {
	return &RunCounter{byKey: make(map[string]int), byRequest: make(map[string]int)}
}

// New returns an instance that counts its executions in runs.
func New(runs *RunCounter) *Service { return &Service{runs: runs} }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// RunsByKey returns the number of executions per idempotency key.
func (r *RunCounter) RunsByKey() map[string]int { return r.copyCounts(r.byKey) }

// RunsByRequest returns the number of executions per request id.
func (r *RunCounter) RunsByRequest() map[string]int { return r.copyCounts(r.byRequest) }

func (r *RunCounter) copyCounts(counts map[string]int) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(counts))
	for key, n := range counts {
		out[key] = n
	}
	return out
}

func (r *RunCounter) run(request *http.Request) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if key := request.Header.Get(link.HeaderIdempotencyKey); key != "" {
		r.byKey[key]++
	}
	r.byRequest[request.Header.Get(link.HeaderRequestID)]++
	r.executions++
	return r.executions
}

// Handler executes requests on every path except PUT /faults, which injects faults, and GET /runs,
// which returns RunsByKey.
func (s *Service) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.PUT("/faults", s.setFaults)
	e.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, s.runs.RunsByKey()) })
	e.Any("/*", s.serve)
	return e
}

func (s *Service) setFaults(c echo.Context) error {
	var faults Faults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.SetFaults(faults)
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
	refuse := consume(&s.faults.Refusals)
	s.mu.Unlock()
	if refuse {
		c.Response().Header().Set(link.HeaderVerdict, "not_run")
		return c.String(http.StatusServiceUnavailable, "busy")
	}
	time.Sleep(delay)
	execution := s.runs.run(request)
	s.mu.Lock()
	reset := consume(&s.faults.ResetsAfterRun)
	silent := consume(&s.faults.SilencesAfter)
	fail := consume(&s.faults.Failures)
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
	if strings.HasSuffix(request.URL.Path, "/long") {
		receipt.Padding = strings.Repeat("x", longBytes)
	}
	if request.Method == http.MethodPost {
		c.Response().Header().Set(echo.HeaderLocation, fmt.Sprintf("%s/%d", request.URL.Path, execution))
		return c.JSON(http.StatusCreated, receipt)
	}
	return c.JSON(http.StatusOK, receipt)
}

// consume decrements a non-zero count and reports whether it was non-zero. A negative count never runs
// out.
func consume(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}
