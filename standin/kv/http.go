package kv

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/infra"
)

const (
	defaultWatchWait = 5 * time.Minute // Consul's default
	sessionMinTTL    = 10 * time.Second
)

type pairJSON struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	CreateIndex uint64
	LockIndex   uint64
	Session     string `json:",omitempty"`
}

type txnOp struct {
	KV struct {
		Verb  string
		Key   string
		Value []byte
		Index uint64
	}
}

type server struct {
	store    *Store
	sessions sessions
}

// Handler serves the store under /v1. PUT /faults replaces the injected faults, GET /calls returns Calls.
// Each handler has its own sessions.
func (s *Store) Handler() http.Handler {
	srv := &server{store: s, sessions: newSessions()}
	e := echo.New()
	e.HideBanner = true
	e.GET("/v1/kv/*", srv.get)
	e.DELETE("/v1/kv/*", srv.delete)
	e.PUT("/v1/kv/*", srv.lock)
	e.PUT("/v1/txn", srv.txn)
	e.PUT("/v1/session/create", srv.createSession)
	e.PUT("/v1/session/renew/:id", srv.renewSession)
	e.PUT("/v1/session/destroy/:id", srv.destroySession)
	e.PUT("/faults", srv.setFaults)
	e.GET("/calls", srv.getCalls)
	return e
}

func (s *server) getCalls(c echo.Context) error { return c.JSON(http.StatusOK, s.store.Calls()) }

func (s *server) setFaults(c echo.Context) error {
	var faults Faults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	s.store.SetFaults(faults)
	return c.NoContent(http.StatusNoContent)
}

func (s *server) get(c echo.Context) error {
	key := c.Param("*")
	if c.QueryParams().Has("recurse") {
		entries, err := s.store.List(c.Request().Context(), key)
		return s.writePairs(c, entries, err)
	}
	if c.QueryParam("index") == "" {
		entry, err := s.store.Get(c.Request().Context(), key)
		return s.writePairs(c, []infra.Entry{entry}, err)
	}
	after, err := strconv.ParseUint(c.QueryParam("index"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "bad index")
	}
	wait, err := time.ParseDuration(c.QueryParam("wait"))
	if err != nil {
		wait = defaultWatchWait
	}
	entry, err := s.store.Watch(c.Request().Context(), key, infra.StoreVersion(after), wait)
	return s.writePairs(c, []infra.Entry{entry}, err)
}

// writePairs writes the response to a read: the entries, 404 if there are none, or the error.
func (s *server) writePairs(c echo.Context, entries []infra.Entry, err error) error {
	if errors.Is(err, infra.ErrNotFound) || (err == nil && len(entries) == 0) {
		return c.NoContent(http.StatusNotFound)
	}
	if err != nil {
		return writeError(c, err)
	}
	pairs := make([]pairJSON, 0, len(entries))
	var index uint64
	for _, entry := range entries {
		pair := pairJSON{Key: entry.Key, Value: entry.Value, ModifyIndex: uint64(entry.Version)}
		pair.Session, pair.LockIndex = s.store.lockOf(entry.Key)
		pairs = append(pairs, pair)
		index = max(index, pair.ModifyIndex)
	}
	c.Response().Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	return c.JSON(http.StatusOK, pairs)
}

func (s *server) txn(c echo.Context) error {
	var ops []txnOp
	if err := json.NewDecoder(c.Request().Body).Decode(&ops); err != nil || len(ops) != 1 || ops[0].KV.Verb != "cas" {
		return echo.NewHTTPError(http.StatusBadRequest, "want one cas operation")
	}
	op := ops[0].KV
	version, err := s.store.CompareAndSwap(c.Request().Context(), op.Key, infra.StoreVersion(op.Index), op.Value)
	if err != nil {
		return writeError(c, err)
	}
	pair := pairJSON{Key: op.Key, ModifyIndex: uint64(version)}
	return c.JSON(http.StatusOK, map[string]any{"Results": []map[string]pairJSON{{"KV": pair}}})
}

func (s *server) delete(c echo.Context) error {
	expect, err := strconv.ParseUint(c.QueryParam("cas"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "want cas")
	}
	err = s.store.Delete(c.Request().Context(), c.Param("*"), infra.StoreVersion(expect))
	return writeBoolean(c, err)
}

// lock serves PUT with ?acquire=SESSION or ?release=SESSION. A plain write, without either, is not
// supported.
func (s *server) lock(c echo.Context) error {
	key := c.Param("*")
	ctx := c.Request().Context()
	if id := c.QueryParam("release"); id != "" {
		_, fence := s.store.lockOf(key)
		return writeBoolean(c, s.store.Release(ctx, infra.Lease{Key: key, Session: id, Fence: fence}))
	}
	id := c.QueryParam("acquire")
	ttl, ok := s.sessions.remainingTTL(id)
	if !ok {
		return echo.NewHTTPError(http.StatusInternalServerError, "invalid session")
	}
	_, err := s.store.Acquire(ctx, key, id, ttl)
	if err == nil {
		s.sessions.addKey(id, key)
	}
	return writeBoolean(c, err)
}

func writeBoolean(c echo.Context, err error) error {
	if errors.Is(err, infra.ErrConflict) || errors.Is(err, infra.ErrLeaseLost) {
		return c.JSON(http.StatusOK, false)
	}
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(http.StatusOK, true)
}

// writeError answers a failed call. An unknown outcome aborts the connection without an answer.
func writeError(c echo.Context, err error) error {
	switch {
	case errors.Is(err, infra.ErrConflict):
		return c.String(http.StatusConflict, "index mismatch")
	case errors.Is(err, infra.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	default:
		return c.String(http.StatusServiceUnavailable, err.Error())
	}
}

// lockOf returns the session that holds the key, empty if none, and the key's fencing token.
func (s *Store) lockOf(key string) (session string, fence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[strings.TrimPrefix(key, "/")]
	if rec == nil {
		return "", 0
	}
	if time.Now().Before(rec.expires) {
		session = rec.owner
	}
	return session, rec.fence
}
