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
	watchGrace        = 5 * time.Second // timeout of a watch beyond its wait; without a response by then the connection is dead
	maxPairBytes      = 2 << 20         // a value of MaxValueBytes in base64, with its JSON envelope
	maxListBytes      = 32 << 20
	consulMinLeaseTTL = 10 * time.Second
	// missingKeyPollInterval is the time between two reads of a missing key if the service returns no index to
	// wait for.
	missingKeyPollInterval = 500 * time.Millisecond
)

// Consul is a Store over the HTTP API of a Consul agent. It uses transactions for compare-and-swap,
// blocking queries for watches and sessions for leases.
//
// In that API, status 429 or 503 means that a call was rejected before it was processed, and 409 that a
// transaction was rolled back. Status 400, 404 or 413 and an invalid session are rejections too. Every other
// failure after a connection was made leaves the outcome of a write unknown. No HTTP proxy may stand between
// a daemon and the service, because a proxy's 503 does not prove that the service rejected the call.
//
// Lease keys hold no value and are never deleted, because their fencing tokens would restart.
type Consul struct {
	client *serviceClient

	mu       sync.Mutex
	sessions map[string]string // session ids by lease key and owner, separated by NUL
}

var _ Store = (*Consul)(nil)

// NewConsul returns a client of the Consul agent at address (IP:port). count may be nil.
func NewConsul(address string, count CallCounter) *Consul {
	return &Consul{client: newServiceClient(address, count), sessions: make(map[string]string)}
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
func (c *Consul) Watch(ctx context.Context, key string, known StoreVersion, wait time.Duration) (Entry, error) {
	deadline := time.Now().Add(wait)
	index := uint64(known)
	for {
		remaining := max(time.Until(deadline), 0)
		query := url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {remaining.Round(time.Millisecond).String()}}
		pairs, next, err := c.read(ctx, "watch", key, query, remaining+watchGrace, maxPairBytes)
		if err == nil {
			return entryOf(pairs[0]), nil
		}
		remaining = time.Until(deadline)
		if !errors.Is(err, ErrNotFound) || known != 0 || remaining <= 0 {
			return Entry{Key: key}, err
		}
		// The key is still missing. Without an index to wait for, the service answers at once.
		if next <= index {
			next = index
			if err := sleep(ctx, min(remaining, missingKeyPollInterval)); err != nil {
				return Entry{Key: key}, err
			}
		}
		index = next
	}
}

// CompareAndSwap implements Store.
func (c *Consul) CompareAndSwap(ctx context.Context, key string, expect StoreVersion, value []byte) (StoreVersion, error) {
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
	return StoreVersion(answer.Results[0].KV.ModifyIndex), nil
}

// Delete implements Store.
func (c *Consul) Delete(ctx context.Context, key string, expect StoreVersion) error {
	var deleted bool
	query := url.Values{"cas": {strconv.FormatUint(uint64(expect), 10)}}
	if err := c.client.write(ctx, "delete", http.MethodDelete, "/v1/kv/"+key, query, nil, &deleted); err != nil {
		return err
	}
	if !deleted {
		return ErrConflict
	}
	return nil
}

// Acquire implements Store. A ttl below consulMinLeaseTTL, the shortest that the service accepts, is raised to
// it.
func (c *Consul) Acquire(ctx context.Context, key, owner string, ttl time.Duration) (Lease, error) {
	ttl = max(ttl, consulMinLeaseTTL)
	sentAt := time.Now()
	sessionID, err := c.sessionID(ctx, key, owner, ttl)
	if err != nil {
		return Lease{}, err
	}
	var held bool
	err = c.client.write(ctx, "acquire", http.MethodPut, "/v1/kv/"+key, url.Values{"acquire": {sessionID}}, nil, &held)
	if errors.Is(err, errInvalidSession) {
		c.forgetSession(key, owner)
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
	if pairs[0].Session != sessionID {
		return Lease{}, ErrLeaseLost
	}
	return Lease{Key: key, Session: sessionID, Fence: pairs[0].LockIndex, Expires: sentAt.Add(ttl)}, nil
}

// Release implements Store.
func (c *Consul) Release(ctx context.Context, lease Lease) error {
	var released bool
	return c.client.write(ctx, "release", http.MethodPut, "/v1/kv/"+lease.Key, url.Values{"release": {lease.Session}}, nil, &released)
}

// sessionID renews the session of a lease, or creates one if there is none, and returns its id.
func (c *Consul) sessionID(ctx context.Context, key, owner string, ttl time.Duration) (string, error) {
	sessionKey := key + "\x00" + owner
	c.mu.Lock()
	id := c.sessions[sessionKey]
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
	c.sessions[sessionKey] = created.ID
	c.mu.Unlock()
	return created.ID, nil
}

// forgetSession drops the cached session of a lease, so that the next Acquire creates one.
func (c *Consul) forgetSession(key, owner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, key+"\x00"+owner)
}

// read returns the pairs of a query and the service's index. Without a pair it errs with ErrNotFound.
func (c *Consul) read(ctx context.Context, operation, key string, query url.Values, timeout time.Duration, limit int64) ([]consulPair, uint64, error) {
	var pairs []consulPair
	index, err := c.client.read(ctx, operation, "/v1/kv/"+key, query, timeout, limit, &pairs)
	if err == nil && len(pairs) == 0 {
		err = ErrNotFound
	}
	return pairs, index, err
}

func entryOf(pair consulPair) Entry {
	return Entry{Key: pair.Key, Value: pair.Value, Version: StoreVersion(pair.ModifyIndex)}
}
