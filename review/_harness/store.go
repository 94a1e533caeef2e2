package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or a deletion in its history.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a sound stand-in for the platform's key-value store. It keeps its whole history.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{}
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func startStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	fatalIf(err)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	fatalIf(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]item{{Key: key, Value: data}})
}

// commit applies changes at one revision. The caller holds the lock.
func (s *store) commit(changes []item) {
	s.revision++
	for _, change := range changes {
		change.Revision = s.revision
		if change.Deleted {
			if _, ok := s.items[change.Key]; !ok {
				continue
			}
			delete(s.items, change.Key)
		} else {
			change.Created = s.revision
			if old, ok := s.items[change.Key]; ok {
				change.Created = old.Created
			}
			s.items[change.Key] = change
		}
		s.history = append(s.history, change)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *store) endLease(id uint64) {
	found := s.leases[id]
	if found == nil {
		return
	}
	found.timer.Stop()
	delete(s.leases, id)
	var gone []item
	for key, entry := range s.items {
		if entry.Lease == id {
			gone = append(gone, item{Key: key, Deleted: true})
		}
	}
	if len(gone) > 0 {
		s.commit(gone)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	status, reply := s.answer(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

type object map[string]any

func (s *store) answer(r *http.Request, body []byte) (int, any) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		found, ok := s.items[query.Get("key")]
		if !ok {
			return http.StatusNotFound, object{"store_revision": s.revision}
		}
		return http.StatusOK, found
	case path == "/kv-range":
		return s.page(query.Get("path_prefix"), query.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		return s.watch(r, query.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		return s.transact(body)
	case path == "/kv-lease":
		return s.grant(body)
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		found := s.leases[id]
		if found == nil {
			return http.StatusNotFound, object{}
		}
		if strings.HasPrefix(path, "/kv-lease-end/") {
			s.endLease(id)
			return http.StatusOK, object{}
		}
		found.timer.Reset(found.ttl)
		return http.StatusOK, object{"ttl_ms": found.ttl.Milliseconds()}
	}
	return http.StatusNotFound, object{}
}

func (s *store) grant(body []byte) (int, any) {
	var message struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &message) != nil {
		return http.StatusBadRequest, object{}
	}
	ttl := time.Duration(min(max(message.TTLMS, 1000), 600000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	return http.StatusOK, object{"lease": id, "ttl_ms": ttl.Milliseconds()}
}

func (s *store) page(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == 500 {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	return http.StatusOK, object{"items": items, "has_more": more, "store_revision": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []item{}
		for _, entry := range s.history {
			if entry.Revision > after && strings.HasPrefix(entry.Key, prefix) {
				events = append(events, entry)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, object{"events": events, "store_revision": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, object{"events": events, "store_revision": revision}
		case <-r.Context().Done():
			return http.StatusOK, object{"events": events, "store_revision": revision}
		}
	}
}

func (s *store) transact(body []byte) (int, any) {
	var message struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Sets []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &message) != nil {
		return http.StatusBadRequest, object{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []item{}, false
	for _, entry := range message.Expected {
		found, ok := s.items[entry.Key]
		if ok {
			current = append(current, found)
		}
		failed = failed || found.Revision != entry.Revision
	}
	if failed {
		return http.StatusPreconditionFailed, object{"items": current}
	}
	var changes []item
	for _, entry := range message.Sets {
		if strings.HasPrefix(entry.Key, "op/") || strings.HasPrefix(entry.Key, "servers/") {
			return http.StatusForbidden, object{}
		}
		if entry.Lease != 0 && s.leases[entry.Lease] == nil {
			return http.StatusNotFound, object{}
		}
		changes = append(changes, item{Key: entry.Key, Value: entry.Value, Lease: entry.Lease})
	}
	for _, key := range message.Remove {
		changes = append(changes, item{Key: key, Deleted: true})
	}
	s.commit(changes)
	return http.StatusOK, object{"revision": s.revision}
}
