package kv

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/infra"
)

type session struct {
	ttl     time.Duration
	expires time.Time
	keys    []string
}

// sessions holds the sessions that the HTTP API created for leases.
type sessions struct {
	mu   *sync.Mutex
	byID map[string]*session
}

func newSessions() sessions {
	return sessions{mu: new(sync.Mutex), byID: make(map[string]*session)}
}

func (s sessions) remainingTTL(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.byID[id]
	if found == nil || !time.Now().Before(found.expires) {
		return 0, false
	}
	return time.Until(found.expires), true
}

func (s sessions) addKey(id, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found := s.byID[id]; found != nil {
		found.keys = append(found.keys, key)
	}
}

func (s *server) createSession(c echo.Context) error {
	var body struct{ TTL string }
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl < sessionMinTTL {
		return echo.NewHTTPError(http.StatusBadRequest, "TTL below 10s")
	}
	if err := s.store.startSessionCall(); err != nil {
		return writeError(c, err)
	}
	id := uuid.NewString()
	s.sessions.mu.Lock()
	s.sessions.byID[id] = &session{ttl: ttl, expires: time.Now().Add(ttl)}
	s.sessions.mu.Unlock()
	return c.JSON(http.StatusOK, map[string]string{"ID": id})
}

func (s *server) renewSession(c echo.Context) error {
	id := c.Param("id")
	if err := s.store.startSessionCall(); err != nil {
		return writeError(c, err)
	}
	if _, ok := s.sessions.remainingTTL(id); !ok {
		return c.NoContent(http.StatusNotFound)
	}
	s.sessions.mu.Lock()
	found := s.sessions.byID[id]
	found.expires = time.Now().Add(found.ttl)
	keys := append([]string(nil), found.keys...)
	s.sessions.mu.Unlock()
	s.store.extend(id, keys, found.ttl)
	return c.JSON(http.StatusOK, []map[string]string{{"ID": id}})
}

// destroySession ends a session. Its leases last until they are released or expire.
func (s *server) destroySession(c echo.Context) error {
	s.sessions.mu.Lock()
	delete(s.sessions.byID, c.Param("id"))
	s.sessions.mu.Unlock()
	return c.JSON(http.StatusOK, true)
}

// startSessionCall counts a session call as OpAcquire and returns infra.ErrUnavailable while the store is
// down. Other faults don't apply to session calls.
func (s *Store) startSessionCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[OpAcquire]++
	if s.faults.Down {
		return infra.ErrUnavailable
	}
	return nil
}

// extend moves the expiry of the session's leases on keys to ttl from now.
func (s *Store) extend(session string, keys []string, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		rec := s.records[key]
		if rec != nil && rec.owner == session {
			rec.expires = time.Now().Add(ttl)
		}
	}
}
