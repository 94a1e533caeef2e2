// Package rater is a stand-in for the platform's service that rates answers.
package rater

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/infra"
)

// qualityMarker matches the quality that the stand-in engine writes into its answers.
var qualityMarker = regexp.MustCompile(`\[quality=([0-9.]+)\]`)

// Rater rates an answer with the quality that the stand-in engine wrote into it, or 0 if there is none.
// Safe for concurrent use.
type Rater struct {
	mu    sync.Mutex
	down  bool
	delay time.Duration
	rated int
}

// New returns a rater that is up.
func New() *Rater { return &Rater{} }

// Set replaces the injected faults: the rater answers 503 if down, and otherwise delays each rating.
func (r *Rater) Set(down bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.delay = delay
}

// Rated returns how many requests arrived, those refused while down included.
func (r *Rater) Rated() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rated
}

type rateRequest struct {
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// Handler serves POST /rate.
func (r *Rater) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/rate", r.rate)
	return e
}

func (r *Rater) rate(c echo.Context) error {
	var request rateRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	r.mu.Lock()
	down, delay := r.down, r.delay
	r.rated++
	r.mu.Unlock()
	if down {
		return c.String(http.StatusServiceUnavailable, "down")
	}
	time.Sleep(delay)
	rating := infra.Rating{RequestID: request.RequestID, Score: score(request.Answer)}
	return c.JSON(http.StatusOK, rating)
}

func score(answer string) float64 {
	found := qualityMarker.FindStringSubmatch(answer)
	if found == nil {
		return 0
	}
	value, err := strconv.ParseFloat(found[1], 64)
	if err != nil {
		return 0
	}
	return value
}
