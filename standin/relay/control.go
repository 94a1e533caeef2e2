package relay

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// Handler serves the control API: PUT /mode/MODE calls SetMode, PUT /silence-open calls SilenceOpen.
func (r *Relay) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.PUT("/mode/:mode", func(c echo.Context) error {
		if err := r.SetMode(Mode(c.Param("mode"))); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return c.NoContent(http.StatusNoContent)
	})
	e.PUT("/silence-open", func(c echo.Context) error {
		r.SilenceOpen()
		return c.NoContent(http.StatusNoContent)
	})
	return e
}
