package engine

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Order tells an engine which version to serve.
type Order struct {
	Version string `json:"version"`
	Fence   uint64 `json:"fence"`
}

// order loads a version. An engine that checks fences refuses a number below the highest one seen.
func (g *Engine) order(c echo.Context) error {
	var order Order
	if err := json.NewDecoder(c.Request().Body).Decode(&order); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.settings.ChecksFence && order.Fence < g.fence {
		return c.JSON(http.StatusConflict, Order{Version: g.version, Fence: g.fence})
	}
	g.fence = max(g.fence, order.Fence)
	g.version = order.Version
	g.restart()
	return c.JSON(http.StatusOK, order)
}

// orderState reports the version served and the highest fencing number seen.
func (g *Engine) orderState(c echo.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.JSON(http.StatusOK, Order{Version: g.version, Fence: g.fence})
}
