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

// item is one key of the platform's store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
}

// event is one change, as a watch returns it.
type event struct {
	item
	deleted bool
}

// MarshalJSON implements json.Marshaler.
func (e event) MarshalJSON() ([]byte, error) {
	if e.deleted {
		return json.Marshal(map[string]any{"key": e.Key, "revision": e.Revision, "deleted": true})
	}
	return json.Marshal(e.item)
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	server *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []event
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
	down     bool
	conns    map[net.Conn]struct{}
}

// storeDelay is the store's time to answer.
const storeDelay = 4 * time.Millisecond

func newStore(address string) (*store, error) {
	s := &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	releasePort(address)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s, ConnState: func(conn net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case state == http.StateClosed:
			delete(s.conns, conn)
		case state == http.StateNew && s.down:
			reset(conn)
		case state == http.StateNew:
			s.conns[conn] = struct{}{}
		}
	}}
	go func() { _ = s.server.Serve(listener) }()
	go s.expire()
	return s, nil
}

// setDown makes the store reset all connections, until it is set back. Leases run out meanwhile.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		for conn := range s.conns {
			reset(conn)
		}
		clear(s.conns)
	}
}

func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// put writes a key. The caller holds the lock.
func (s *store) put(key string, value []byte, leaseID uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if before, ok := s.items[key]; ok {
		it.Created = before.Created
	}
	s.items[key] = it
	s.record(event{item: it})
}

// remove deletes a key. The caller holds the lock.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(event{item: item{Key: key, Revision: s.revision}, deleted: true})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key for the operator or an engine; it fails while the store is down.
func (s *store) Put(key string, value any) bool {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.put(key, data, 0)
	return true
}

// Drop removes a key, also while the store is down.
func (s *store) Drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	body, _ := io.ReadAll(r.Body)
	status, reply := s.serve(r, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if reply != nil {
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func (s *store) serve(r *http.Request, body []byte) (int, any) {
	query, path := r.URL.Query(), r.URL.Path
	if path == "/kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 503, nil
	}
	switch {
	case path == "/kv-key":
		it, ok := s.items[query.Get("key")]
		if !ok {
			return 404, nil
		}
		return 200, it
	case path == "/kv-range":
		items, more := s.page(query.Get("path_prefix"), query.Get("after"))
		return 200, map[string]any{"items": items, "has_more": more, "store_revision": s.revision}
	case path == "/kv-txn":
		return s.txn(body)
	case path == "/kv-lease":
		var call struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &call) != nil || call.TTL < 1000 {
			return 400, nil
		}
		s.nextID++
		ttl := time.Duration(call.TTL) * time.Millisecond
		s.leases[s.nextID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
		return 200, map[string]any{"lease": s.nextID, "ttl_ms": call.TTL}
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, nil
		}
		if strings.HasPrefix(path, "/kv-keep/") {
			l.end = time.Now().Add(l.ttl)
		} else {
			s.endLease(id)
		}
		return 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
	default:
		return 400, nil
	}
}

func (s *store) page(prefix, after string) (items []item, more bool) {
	items = []item{}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for i, key := range keys {
		if i == 500 {
			return items, true
		}
		items = append(items, s.items[key])
	}
	return items, false
}

func (s *store) txn(body []byte) (int, any) {
	var call struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &call) != nil {
		return 400, nil
	}
	now, failed := []item{}, false
	for _, e := range call.Expected {
		it := s.items[e.Key]
		failed = failed || it.Revision != e.Revision
		now = append(now, item{Key: e.Key, Value: it.Value, Revision: it.Revision, Created: it.Created, Lease: it.Lease})
	}
	if failed {
		return 412, map[string]any{"items": now}
	}
	for _, set := range call.Set {
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			return 403, nil
		}
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			return 404, nil
		}
	}
	for _, set := range call.Set {
		s.put(set.Key, set.Value, set.Lease)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	return 200, map[string]any{"revision": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	prefix := r.URL.Query().Get("path_prefix")
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		events, revision, changed, down := []event{}, s.revision, s.changed, s.down
		start := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[start:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if down {
			return 503, nil
		}
		if len(events) > 0 || last {
			return 200, map[string]any{"events": events, "store_revision": revision}
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return 503, nil
		}
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
