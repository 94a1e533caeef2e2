// Package weights is a stand-in for the platform's rate-limited weight store.
package weights

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"
)

const retryAfterSeconds = 1

// Store serves model weights at a limited request rate.
type Store struct {
	limiter *rate.Limiter
	size    int // bytes of each weight file
}

// New returns a store with a token bucket of loadsPerSecond and burst, and weight files of size bytes.
func New(loadsPerSecond float64, burst, size int) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(loadsPerSecond), burst), size: size}
}

// Handler serves GET /weights/MODEL/VERSION; over the rate it answers 429 with Retry-After.
func (s *Store) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/weights/:model/:version", s.get)
	return e
}

func (s *Store) get(c echo.Context) error {
	if !s.limiter.Allow() {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
		return c.String(http.StatusTooManyRequests, "rate limited")
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, make([]byte, s.size))
}
