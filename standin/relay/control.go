package relay

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// Handler takes orders: PUT /mode/MODE, and PUT /silence-open.
func (r *Relay) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.PUT("/mode/:mode", func(c echo.Context) error {
		if err := r.Set(Mode(c.Param("mode"))); err != nil {
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
