// Package instances is a stand-in for the platform's lagging list of live and leaving instances.
package instances

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"plumbarrow.example/plumbarrow/infra"
)

// List is the stand-in. Changes become visible after the lag.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	changes []change
	version int // counts the changes that readers see
	now     []infra.Instance
}

type change struct {
	at       time.Time
	instance infra.Instance
	remove   bool
}

var _ infra.InstanceList = (*List)(nil)

// New returns an empty list whose readers see changes after lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Set adds or replaces an instance.
func (l *List) Set(instance infra.Instance) { l.push(change{instance: instance}) }

// Remove drops an instance.
func (l *List) Remove(id string) { l.push(change{instance: infra.Instance{ID: id}, remove: true}) }

// SetDown makes every read fail.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *List) push(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now().Add(l.lag)
	l.changes = append(l.changes, c)
}

// Instances implements infra.InstanceList.
func (l *List) Instances(context.Context) ([]infra.Instance, error) {
	instances, _, err := l.read()
	return instances, err
}

// read returns the list as readers see it now, with its entity tag.
func (l *List) read() (instances []infra.Instance, tag string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, "", errors.New("instance list is down")
	}
	for len(l.changes) > 0 && !time.Now().Before(l.changes[0].at) {
		l.apply(l.changes[0])
		l.changes = l.changes[1:]
	}
	return slices.Clone(l.now), fmt.Sprintf(`"%d"`, l.version), nil
}

func (l *List) apply(c change) {
	l.version++
	i := slices.IndexFunc(l.now, func(one infra.Instance) bool { return one.ID == c.instance.ID })
	switch {
	case c.remove && i >= 0:
		l.now = slices.Delete(l.now, i, i+1)
	case c.remove:
	case i >= 0:
		l.now[i] = c.instance
	default:
		l.now = append(l.now, c.instance)
	}
}

// Handler serves GET /instances and PUT and DELETE /instances/ID.
func (l *List) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Use(middleware.Gzip())
	e.GET("/instances", l.get)
	e.PUT("/instances/:id", l.put)
	e.DELETE("/instances/:id", func(c echo.Context) error {
		l.Remove(c.Param("id"))
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

func (l *List) get(c echo.Context) error {
	instances, tag, err := l.read()
	if err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error())
	}
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(http.StatusOK, instances)
}

func (l *List) put(c echo.Context) error {
	var instance infra.Instance
	if err := json.NewDecoder(c.Request().Body).Decode(&instance); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	instance.ID = c.Param("id")
	l.Set(instance)
	return c.NoContent(http.StatusNoContent)
}
