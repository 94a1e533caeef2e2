package engine

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Order is a load order: it tells an engine which version to serve.
type Order struct {
	Version string `json:"version"`
	Fence   uint64 `json:"fence"` // fencing token
}

// order serves POST /orders. An engine that checks fencing tokens answers 409 to a token below the
// highest one seen.
func (g *Engine) order(c echo.Context) error {
	var order Order
	if err := json.NewDecoder(c.Request().Body).Decode(&order); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if !g.loadVersion(order) {
		return c.JSON(http.StatusConflict, order)
	}
	if g.settings.OnLoadOrder != nil {
		g.settings.OnLoadOrder(order.Version, g.Incarnation())
	}
	return c.JSON(http.StatusOK, order)
}

func (g *Engine) loadVersion(order Order) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.settings.ChecksFence && order.Fence < g.fence {
		return false
	}
	g.fence = max(g.fence, order.Fence)
	if g.version != order.Version {
		g.version = order.Version
		g.restart()
	}
	return true
}

// orderState reports the version served and the highest fencing token seen.
func (g *Engine) orderState(c echo.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.JSON(http.StatusOK, Order{Version: g.version, Fence: g.fence})
}
