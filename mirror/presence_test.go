package mirror

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// leasedStore is a Writer that keeps leases and removes the documents of a lease that ends. Its late writes get no answer and take
// effect after the time late, if their conditions hold then.
type leasedStore struct {
	mirror *Mirror // follows the store without delay

	mu       sync.Mutex
	era      uint64
	revision uint64
	keys     map[string]leasedKey
	leases   map[uint64]time.Time // ends
	late     []time.Duration      // of the next writes; 0 for one that is answered
}

type leasedKey struct {
	revision, lease uint64
}

func (s *leasedStore) Grant(_ context.Context, ttl time.Duration) (Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = time.Now().Add(ttl)
	time.AfterFunc(ttl+time.Millisecond, s.expire)
	return Lease{Era: s.era, ID: s.revision}, nil
}

func (s *leasedStore) Renew(_ context.Context, lease Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, alive := s.leases[lease.ID]; !alive {
		return ErrNoLease
	}
	s.leases[lease.ID] = time.Now().Add(presenceTTL)
	time.AfterFunc(presenceTTL+time.Millisecond, s.expire)
	return nil
}

func (s *leasedStore) End(_ context.Context, lease Lease) error {
	s.mu.Lock()
	s.leases[lease.ID] = time.Time{}
	s.mu.Unlock()
	s.expire()
	return nil
}

// expire ends the leases whose time is over.
func (s *leasedStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for lease, ends := range s.leases {
		if time.Now().Before(ends) {
			continue
		}
		delete(s.leases, lease)
		for key, held := range s.keys {
			if held.lease == lease {
				s.set(key, leasedKey{}, Document{Key: key, Deleted: true})
			}
		}
	}
}

// set changes a key; one without a revision is removed. The caller holds the lock.
func (s *leasedStore) set(key string, held leasedKey, document Document) {
	s.revision++
	held.revision = s.revision
	document.Revision, document.Era = s.revision, s.era
	s.keys[key] = held
	if document.Deleted {
		delete(s.keys, key)
	}
	s.mirror.apply([]Document{document}, Position{Era: s.era, Revision: s.revision})
}

func (s *leasedStore) Write(ctx context.Context, write *Write) (uint64, error) {
	s.mu.Lock()
	delay := time.Duration(0)
	if len(s.late) > 0 {
		delay, s.late = s.late[0], s.late[1:]
	}
	s.mu.Unlock()
	if delay == 0 {
		return s.execute(write)
	}
	time.AfterFunc(delay, func() { _, _ = s.execute(write) })
	<-ctx.Done()
	return 0, ErrOutcomeUnknown
}

func (s *leasedStore) execute(write *Write) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range write.Conditions {
		if s.keys[condition.Key].revision != condition.Revision {
			return 0, ErrConflict
		}
	}
	for _, put := range write.Puts {
		if _, alive := s.leases[put.Lease.ID]; !alive {
			return 0, ErrNoLease
		}
		s.set(put.Key, leasedKey{lease: put.Lease.ID}, Document{Key: put.Key, Value: put.Value})
	}
	return s.revision, nil
}

// TestLateRegistration guards against an instance that serves but is not listed: a registration that got no answer takes effect
// seconds later, under a lease that is no longer renewed, and its document goes with that lease.
func TestLateRegistration(t *testing.T) {
	for name, late := range map[string][]time.Duration{
		"answered":                        nil,
		"takes effect before the retry":   {presenceTimeout / 2},
		"takes effect after the retry":    {presenceTimeout + 2*time.Second},
		"takes effect late in its lease":  {presenceTTL - time.Second},
		"twice, in the order of writes":   {presenceTimeout + 3*time.Second, presenceTimeout + 3*time.Second},
		"twice, against the order":        {presenceTTL - 2*time.Second, presenceTimeout + time.Second},
		"before the retry and then after": {presenceTimeout / 2, presenceTimeout + 4*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				copied := New(slog.New(slog.DiscardHandler), func([]Document, time.Time) {})
				store := &leasedStore{mirror: copied, keys: make(map[string]leasedKey), leases: make(map[uint64]time.Time), late: late}
				self := machine.Member{ID: "entry-1", Incarnation: "i1", Zone: "r", Address: "a:1"}
				presence := NewPresence(copied, store, self, slog.New(slog.DiscardHandler))
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- presence.Run(ctx) }()
				time.Sleep(20 * time.Second)
				for range 100 {
					listed, err := presence.Instances(ctx)
					c.Assert(err, qt.IsNil)
					c.Assert(listed, qt.HasLen, 1)
					time.Sleep(time.Second)
				}
				cancel()
				c.Assert(<-ended, qt.IsNil)
				listed, _ := presence.Instances(t.Context())
				c.Check(listed, qt.HasLen, 0)
			})
		})
	}
}
