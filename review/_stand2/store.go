package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a sound stand-in of the platform's key-value store as PROTOCOL.md describes it: linearizable, with leases and a full history.
// It has one port for each machine, so that a machine can be cut off from it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	changed  chan struct{}
	answer   time.Duration // time for each answer
	busy     bool          // every call is answered 503
	cut      chan struct{} // closed and replaced to cut the watches that are waiting
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), answer: 4 * time.Millisecond, cut: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// listen serves the store on a new loopback address and returns it.
func (s *store) listen() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(listener, s) }()
	return listener.Addr().String()
}

// setBusy turns the store down or up: while it is down, it answers every call with 503, and leases pause.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	for _, l := range s.leases {
		l.end = time.Now().Add(l.ttl)
	}
}

// cutWatches closes the connections of the watches that are waiting.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if !s.busy && time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for _, it := range s.items {
		if it.Lease == id {
			s.commit(item{Key: it.Key, Deleted: true})
		}
	}
}

// put writes a key as the operator or an engine does and returns its revision.
func (s *store) put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit(item{Key: key, Value: data})
}

func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit(item{Key: key, Deleted: true})
}

func (s *store) commit(it item) uint64 {
	s.revision++
	it.Revision = s.revision
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		it.Created = s.items[it.Key].Created
		if it.Created == 0 {
			it.Created = s.revision
		}
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

type object map[string]any

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	code, reply := s.reply(r, body)
	if code == 0 {
		panic(http.ErrAbortHandler) // the watch is cut
	}
	s.mu.Lock()
	pause := s.answer
	s.mu.Unlock()
	time.Sleep(pause)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *store) reply(r *http.Request, body []byte) (int, any) {
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-range":
		return s.page(query.Get("path_prefix"), query.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		return s.watch(r, query.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/kv-txn":
		return s.transact(body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/kv-lease" {
		var ask struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &ask) != nil {
			return http.StatusBadRequest, object{}
		}
		s.revision++
		ttl := max(time.Duration(ask.TTL)*time.Millisecond, time.Second)
		s.leases[s.revision] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
		return http.StatusOK, object{"lease": s.revision, "ttl_ms": ttl.Milliseconds()}
	}
	kind, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	number, _ := strconv.ParseUint(id, 10, 64)
	l := s.leases[number]
	if l == nil {
		return http.StatusNotFound, object{}
	}
	switch kind {
	case "kv-lease-end":
		s.endLease(number)
	case "kv-keep":
		l.end = time.Now().Add(l.ttl)
	}
	return http.StatusOK, object{"ttl_ms": l.ttl.Milliseconds()}
}

func (s *store) page(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]string, 0, len(s.items))
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		if len(items) == 500 || size > 1<<20 {
			return http.StatusOK, object{"items": items, "has_more": true, "store_revision": s.revision}
		}
		items = append(items, s.items[key])
		size += len(s.items[key].Value)
	}
	return http.StatusOK, object{"items": items, "has_more": false, "store_revision": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision, changed, cut, busy := s.revision, s.changed, s.cut, s.busy
		s.mu.Unlock()
		if busy {
			return http.StatusServiceUnavailable, object{}
		}
		if len(events) > 0 {
			return http.StatusOK, object{"events": events, "store_revision": revision}
		}
		select {
		case <-changed:
		case <-cut:
			return 0, nil
		case <-timeout:
			return http.StatusOK, object{"events": events, "store_revision": revision}
		case <-r.Context().Done():
			return http.StatusOK, object{}
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
	for _, e := range message.Expected {
		if s.items[e.Key].Revision != e.Revision {
			current := []item{}
			for _, e := range message.Expected {
				if it, ok := s.items[e.Key]; ok {
					current = append(current, it)
				}
			}
			return http.StatusPreconditionFailed, object{"items": current}
		}
	}
	for _, e := range message.Sets {
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			return http.StatusNotFound, object{}
		}
	}
	for _, e := range message.Sets {
		s.commit(item{Key: e.Key, Value: e.Value, Lease: e.Lease})
	}
	for _, key := range message.Remove {
		s.commit(item{Key: key, Deleted: true})
	}
	return http.StatusOK, object{"revision": s.revision}
}
