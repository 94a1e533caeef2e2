// Package kv is an in-memory stand-in for the platform's key-value service with compare-and-swap,
// leases and blocking watches. It can inject outages, delays and replies lost after the write. It
// serves the subset of the Consul HTTP API that the infra package uses, and implements infra.Store.
package kv

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/infra"
)

type record struct {
	value   []byte
	version infra.StoreVersion
	owner   string    // holder of the lease, over HTTP its session id; empty if there is none
	fence   uint64    // fencing token of the latest lease
	expires time.Time // end of the lease
}

// Store is the in-memory service; create it with New. Safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	records     map[string]*record
	lastVersion infra.StoreVersion
	changed     chan struct{} // closed and replaced at each write
	faults      Faults
	calls       map[Op]int
}

var _ infra.Store = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		records: make(map[string]*record),
		changed: make(chan struct{}),
		calls:   make(map[Op]int),
	}
}

// Calls returns how many calls of each kind the store has received, failed ones included.
func (s *Store) Calls() map[Op]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[Op]int, len(s.calls))
	for op, n := range s.calls {
		calls[op] = n
	}
	return calls
}

// Get implements infra.Store.
func (s *Store) Get(ctx context.Context, key string) (infra.Entry, error) {
	if _, err := s.startCall(ctx, OpGet, key); err != nil {
		return infra.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry(key)
}

// List implements infra.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]infra.Entry, error) {
	if _, err := s.startCall(ctx, OpList, prefix); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []infra.Entry
	for key := range s.records {
		if strings.HasPrefix(key, prefix) {
			entry, _ := s.entry(key)
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries, nil
}

// CompareAndSwap implements infra.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect infra.StoreVersion, value []byte) (infra.StoreVersion, error) {
	reply, err := s.startCall(ctx, OpSwap, key)
	if err != nil {
		return 0, err
	}
	if len(value) > infra.MaxValueBytes {
		return 0, fmt.Errorf("value of %q has %d bytes, at most %d are allowed", key, len(value), infra.MaxValueBytes)
	}
	s.mu.Lock()
	rec := s.records[key]
	if versionOf(rec) != expect {
		s.mu.Unlock()
		return 0, infra.ErrConflict
	}
	if rec == nil {
		rec = &record{}
		s.records[key] = rec
	}
	rec.value = append([]byte(nil), value...)
	s.bumpVersion(rec)
	version := rec.version
	s.mu.Unlock()
	if reply.lost {
		return 0, infra.ErrOutcomeUnknown
	}
	return version, nil
}

// Delete implements infra.Store.
func (s *Store) Delete(ctx context.Context, key string, expect infra.StoreVersion) error {
	reply, err := s.startCall(ctx, OpDelete, key)
	if err != nil {
		return err
	}
	s.mu.Lock()
	if versionOf(s.records[key]) != expect {
		s.mu.Unlock()
		return infra.ErrConflict
	}
	delete(s.records, key)
	s.lastVersion++
	s.broadcast()
	s.mu.Unlock()
	if reply.lost {
		return infra.ErrOutcomeUnknown
	}
	return nil
}

// Watch implements infra.Store.
func (s *Store) Watch(ctx context.Context, key string, after infra.StoreVersion, wait time.Duration) (infra.Entry, error) {
	if _, err := s.startCall(ctx, OpWatch, key); err != nil {
		return infra.Entry{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		entry, err := s.entry(key)
		changed := s.changed
		silent := s.faults.SilentWatches
		s.mu.Unlock()
		if entry.Version != after && !silent {
			return entry, err
		}
		if silent {
			changed = nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if silent {
				<-ctx.Done()
				return infra.Entry{}, ctx.Err()
			}
			return entry, err
		case <-ctx.Done():
			return infra.Entry{}, ctx.Err()
		}
	}
}

// Acquire implements infra.Store.
func (s *Store) Acquire(ctx context.Context, key, owner string, ttl time.Duration) (infra.Lease, error) {
	requested := time.Now()
	reply, err := s.startCall(ctx, OpAcquire, key)
	if err != nil {
		return infra.Lease{}, err
	}
	s.mu.Lock()
	rec := s.records[key]
	if rec == nil {
		rec = &record{}
		s.records[key] = rec
	}
	now := time.Now()
	if rec.owner != "" && rec.owner != owner && now.Before(rec.expires) {
		s.mu.Unlock()
		return infra.Lease{}, infra.ErrLeaseLost
	}
	if rec.owner != owner || !now.Before(rec.expires) {
		rec.fence++
	}
	rec.owner = owner
	rec.expires = now.Add(ttl)
	s.bumpVersion(rec)
	fence := rec.fence
	s.mu.Unlock()
	if reply.lost {
		return infra.Lease{}, infra.ErrOutcomeUnknown
	}
	return infra.Lease{Key: key, Session: owner, Fence: fence, Expires: requested.Add(ttl)}, nil
}

// Release implements infra.Store.
func (s *Store) Release(ctx context.Context, lease infra.Lease) error {
	if _, err := s.startCall(ctx, OpRelease, lease.Key); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[lease.Key]
	if rec != nil && rec.owner == lease.Session && rec.fence == lease.Fence {
		rec.owner = ""
		s.bumpVersion(rec)
	}
	return nil
}

// Put writes a key unconditionally and without faults, for test setup.
func (s *Store) Put(key string, value []byte) infra.StoreVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[key]
	if rec == nil {
		rec = &record{}
		s.records[key] = rec
	}
	rec.value = append([]byte(nil), value...)
	s.bumpVersion(rec)
	return rec.version
}

// entry reads a key; s.mu is held.
func (s *Store) entry(key string) (infra.Entry, error) {
	rec := s.records[key]
	if rec == nil {
		return infra.Entry{Key: key}, infra.ErrNotFound
	}
	value := append([]byte(nil), rec.value...)
	return infra.Entry{Key: key, Value: value, Version: rec.version}, nil
}

// bumpVersion gives the record the next version and wakes the watches; s.mu is held.
func (s *Store) bumpVersion(rec *record) {
	s.lastVersion++
	rec.version = s.lastVersion
	s.broadcast()
}

func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func versionOf(rec *record) infra.StoreVersion {
	if rec == nil {
		return 0
	}
	return rec.version
}
