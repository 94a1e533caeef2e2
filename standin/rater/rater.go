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

// marker is where the stand-in engine writes its quality.
var marker = regexp.MustCompile(`\[quality=([0-9.]+)\]`)

// Rater reads the quality that the stand-in engine wrote into its answer.
type Rater struct {
	mu    sync.Mutex
	down  bool
	delay time.Duration
	rated int
}

// New returns a rater that is up.
func New() *Rater { return &Rater{} }

// Set changes whether the rater is down and how slow it is.
func (r *Rater) Set(down bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.delay = delay
}

// Rated returns how many answers were rated.
func (r *Rater) Rated() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rated
}

type question struct {
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
	var asked question
	if err := json.NewDecoder(c.Request().Body).Decode(&asked); err != nil {
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
	rating := infra.Rating{RequestID: asked.RequestID, Score: score(asked.Answer)}
	return c.JSON(http.StatusOK, rating)
}

func score(answer string) float64 {
	found := marker.FindStringSubmatch(answer)
	if found == nil {
		return 0
	}
	value, err := strconv.ParseFloat(found[1], 64)
	if err != nil {
		return 0
	}
	return value
}
