// Package instances is a stand-in for the platform's list of live and leaving instances, which shows
// changes after a delay.
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

// List is the in-memory instance list. Safe for concurrent use.
type List struct {
	mu       sync.Mutex
	lag      time.Duration
	down     bool
	changes  []change
	revision int // number of changes applied to visible; the entity tag
	visible  []infra.Instance
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
func (l *List) Set(instance infra.Instance) { l.enqueue(change{instance: instance}) }

// Remove removes an instance.
func (l *List) Remove(id string) { l.enqueue(change{instance: infra.Instance{ID: id}, remove: true}) }

// SetDown makes every read fail until it is called with false.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *List) enqueue(c change) {
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

// read applies the changes whose lag has passed and returns the visible list and its entity tag.
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
	return slices.Clone(l.visible), fmt.Sprintf(`"%d"`, l.revision), nil
}

func (l *List) apply(c change) {
	l.revision++
	i := slices.IndexFunc(l.visible, func(listed infra.Instance) bool { return listed.ID == c.instance.ID })
	switch {
	case c.remove && i >= 0:
		l.visible = slices.Delete(l.visible, i, i+1)
	case c.remove:
	case i >= 0:
		l.visible[i] = c.instance
	default:
		l.visible = append(l.visible, c.instance)
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
