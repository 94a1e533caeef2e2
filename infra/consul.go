package infra

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

const (
	storeCallTimeout  = 3 * time.Second
	watchGrace        = 5 * time.Second // a watch that answers later than wait plus this has gone silent
	maxPairBytes      = 2 << 20         // one value of a megabyte in base64, with its envelope
	maxListBytes      = 32 << 20
	consulMinLeaseTTL = 10 * time.Second
	// missingPoll is the time between two looks at a missing key, if the service does not say what
	// index to wait for.
	missingPoll = 500 * time.Millisecond
)

// Consul is a Store over the HTTP interface of a Consul agent: transactions for compare-and-swap,
// blocking queries for watches, sessions for leases.
//
// By that interface the status codes 429 and 503 say that a call was rejected unseen, 409 that a
// transaction was rolled back. Every other failure of a write after a connection was made leaves
// its outcome unknown. So no HTTP proxy may stand between a daemon and the service: its 503 would
// not mean the same. Lease keys hold no value and are never deleted, since their fencing numbers
// would start again.
type Consul struct {
	client *caller

	mu       sync.Mutex
	sessions map[string]string // lease key and owner to session id
}

var _ Store = (*Consul)(nil)

// NewConsul returns a Store at address (IP:port). count may be nil.
func NewConsul(address string, count CallCounter) *Consul {
	return &Consul{client: newCaller(address, count), sessions: make(map[string]string)}
}

type consulPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	LockIndex   uint64
	Session     string
}

// Get implements Store.
func (c *Consul) Get(ctx context.Context, key string) (Entry, error) {
	pairs, _, err := c.read(ctx, "get", key, url.Values{"consistent": {""}}, storeCallTimeout, maxPairBytes)
	if err != nil {
		return Entry{Key: key}, err
	}
	return entryOf(pairs[0]), nil
}

// List implements Store.
func (c *Consul) List(ctx context.Context, prefix string) ([]Entry, error) {
	query := url.Values{"recurse": {""}, "consistent": {""}}
	pairs, _, err := c.read(ctx, "list", prefix, query, storeCallTimeout, maxListBytes)
	if errors.Is(err, ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(pairs))
	for _, pair := range pairs {
		entries = append(entries, entryOf(pair))
	}
	return entries, nil
}

// Watch implements Store.
func (c *Consul) Watch(ctx context.Context, key string, after Version, wait time.Duration) (Entry, error) {
	ends := time.Now().Add(wait)
	index := uint64(after)
	for {
		left := max(time.Until(ends), 0)
		query := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {left.Round(time.Millisecond).String()}}
		pairs, next, err := c.read(ctx, "watch", key, query, left+watchGrace, maxPairBytes)
		if err == nil {
			return entryOf(pairs[0]), nil
		}
		left = time.Until(ends)
		if !errors.Is(err, ErrNotFound) || after != 0 || left <= 0 {
			return Entry{Key: key}, err
		}
		// The key is still missing. The service answers at once unless asked to wait for an index.
		if next <= index {
			next = index
			if err := sleep(ctx, min(left, missingPoll)); err != nil {
				return Entry{Key: key}, err
			}
		}
		index = next
	}
}

// Swap implements Store.
func (c *Consul) Swap(ctx context.Context, key string, expect Version, value []byte) (Version, error) {
	type operation struct {
		Verb  string
		Key   string
		Value []byte
		Index uint64
	}
	type step struct{ KV operation }
	body, err := json.Marshal([]step{{KV: operation{Verb: "cas", Key: key, Value: value, Index: uint64(expect)}}})
	if err != nil {
		return 0, fmt.Errorf("encode transaction: %w", err)
	}
	var answer struct {
		Results []struct{ KV consulPair }
	}
	if err := c.client.write(ctx, "swap", http.MethodPut, "/v1/txn", nil, body, &answer); err != nil {
		return 0, err
	}
	if len(answer.Results) != 1 {
		return 0, ErrOutcomeUnknown
	}
	return Version(answer.Results[0].KV.ModifyIndex), nil
}

// Delete implements Store.
func (c *Consul) Delete(ctx context.Context, key string, expect Version) error {
	var done bool
	query := url.Values{"cas": {strconv.FormatUint(uint64(expect), 10)}}
	if err := c.client.write(ctx, "delete", http.MethodDelete, "/v1/kv/"+key, query, nil, &done); err != nil {
		return err
	}
	if !done {
		return ErrConflict
	}
	return nil
}

// Acquire implements Store. The service has no lease shorter than ten seconds.
func (c *Consul) Acquire(ctx context.Context, key, owner string, ttl time.Duration) (Lease, error) {
	ttl = max(ttl, consulMinLeaseTTL)
	asked := time.Now()
	session, err := c.session(ctx, key, owner, ttl)
	if err != nil {
		return Lease{}, err
	}
	var held bool
	err = c.client.write(ctx, "acquire", http.MethodPut, "/v1/kv/"+key, url.Values{"acquire": {session}}, nil, &held)
	if errors.Is(err, errInvalidSession) {
		c.forget(key, owner)
		return Lease{}, ErrLeaseLost
	}
	if err != nil {
		return Lease{}, err
	}
	if !held {
		return Lease{}, ErrLeaseLost
	}
	pairs, _, err := c.read(ctx, "acquire", key, url.Values{"consistent": {""}}, storeCallTimeout, maxPairBytes)
	if err != nil {
		return Lease{}, ErrOutcomeUnknown
	}
	if pairs[0].Session != session {
		return Lease{}, ErrLeaseLost
	}
	return Lease{Key: key, Session: session, Fence: pairs[0].LockIndex, Expires: asked.Add(ttl)}, nil
}

// Release implements Store.
func (c *Consul) Release(ctx context.Context, lease Lease) error {
	var done bool
	return c.client.write(ctx, "release", http.MethodPut, "/v1/kv/"+lease.Key, url.Values{"release": {lease.Session}}, nil, &done)
}

// session renews the session of a lease or creates one.
func (c *Consul) session(ctx context.Context, key, owner string, ttl time.Duration) (string, error) {
	name := key + "\x00" + owner
	c.mu.Lock()
	id := c.sessions[name]
	c.mu.Unlock()
	if id != "" {
		err := c.client.write(ctx, "session", http.MethodPut, "/v1/session/renew/"+id, nil, nil, nil)
		if err == nil {
			return id, nil
		}
		if !errors.Is(err, ErrNotFound) {
			return "", err
		}
	}
	body, err := json.Marshal(struct{ Name, TTL, LockDelay string }{owner, ttl.String(), "0s"})
	if err != nil {
		return "", fmt.Errorf("encode session: %w", err)
	}
	var created struct{ ID string }
	if err := c.client.write(ctx, "session", http.MethodPut, "/v1/session/create", nil, body, &created); err != nil {
		return "", err
	}
	c.mu.Lock()
	c.sessions[name] = created.ID
	c.mu.Unlock()
	return created.ID, nil
}

func (c *Consul) forget(key, owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, key+"\x00"+owner)
}

// read returns the pairs of a query, at least one, and the index that the service gave.
func (c *Consul) read(ctx context.Context, operation, key string, query url.Values, timeout time.Duration, limit int64) ([]consulPair, uint64, error) {
	var pairs []consulPair
	index, err := c.client.read(ctx, operation, "/v1/kv/"+key, query, timeout, limit, &pairs)
	if err == nil && len(pairs) == 0 {
		err = ErrNotFound
	}
	return pairs, index, err
}

func entryOf(pair consulPair) Entry {
	return Entry{Key: pair.Key, Value: pair.Value, Version: Version(pair.ModifyIndex)}
}
