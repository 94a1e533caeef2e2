package ledger

import (
	"context"
	"strings"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/ledger/ledgerpb"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	pinFamily        = "pins"
	pinShards        = 8 // must be the same at all instances
	pinCacheShards   = 16
	pinCacheSize     = 2048 // pins per shard of the cache
	versionSeparator = "@"  // between model and version name, as in contract.VersionID.String
)

// StorePins keeps session pins in the store. The first swap that carries a record of the session
// decides its version.
type StorePins struct {
	parts   Parts
	journal *journal
	nonces  *nonceSource
	cache   [pinCacheShards]pinCache
}

var _ Pins = (*StorePins)(nil)

// pinCache is one shard of this instance's cache of pins.
type pinCache struct {
	mu   sync.Mutex
	pins map[recordKey]pin
}

type pin struct {
	version   contract.VersionID
	nonce     nonce
	createdAt time.Time // of the record; a renewal writes a new one
}

// NewPins returns a StorePins with an empty cache.
func NewPins(parts Parts) *StorePins {
	settings := parts.Settings
	p := &StorePins{
		parts:   parts,
		journal: newJournal(parts, pinFamily, pinShards, settings.pinLifetime(), settings.commitInterval()),
		nonces:  newNonceSource(parts.Members.Self().Incarnation),
	}
	for i := range p.cache {
		p.cache[i].pins = make(map[recordKey]pin)
	}
	return p
}

// Pin implements Pins. A pin in use is renewed once half of its lifetime has passed.
func (p *StorePins) Pin(ctx context.Context, customer, session string, version contract.VersionID) (contract.VersionID, error) {
	key := hashKey(customer, session)
	found, ok := p.cacheGet(key)
	if !ok {
		var err error
		if found, err = p.create(ctx, key, version, nonce{}); err != nil {
			return contract.VersionID{}, err
		}
	}
	if time.Since(found.createdAt) > p.parts.Settings.pinLifetime()/2 {
		renewed, err := p.create(ctx, key, found.version, found.nonce)
		if err == nil {
			found = renewed
		}
	}
	p.cachePut(key, found)
	return found.version, nil
}

// Repin implements Pins.
func (p *StorePins) Repin(ctx context.Context, customer, session string, from, to contract.VersionID) (contract.VersionID, error) {
	key := hashKey(customer, session)
	held, err := p.submit(ctx, &ledgerpb.Record{Kind: ledgerpb.RecordKind_RECORD_LOOKUP, Key: key[:]})
	if err != nil {
		return contract.VersionID{}, err
	}
	found := pin{}
	if held != nil {
		found = pinOf(held)
	}
	if held == nil || found.version == from {
		if found, err = p.create(ctx, key, to, found.nonce); err != nil {
			return contract.VersionID{}, err
		}
	}
	p.parts.Counters.Inc("plumbarrow_repins_total")
	p.cachePut(key, found)
	return found.version, nil
}

// create pins the key if it is free or held by replaces, and returns the key's pin.
func (p *StorePins) create(ctx context.Context, key recordKey, version contract.VersionID, replaces nonce) (pin, error) {
	id := p.nonces.next()
	record := &ledgerpb.Record{
		Kind:  ledgerpb.RecordKind_RECORD_CREATE,
		Key:   key[:],
		Nonce: id[:],
		Value: []byte(version.String()),
	}
	if replaces != (nonce{}) {
		record.Replaces = replaces[:]
	}
	held, err := p.submit(ctx, record)
	if err != nil {
		return pin{}, err
	}
	if held == nil {
		return pin{}, refusePin() // created and already expired: a clock is far off
	}
	return pinOf(held), nil
}

func (p *StorePins) submit(ctx context.Context, record *ledgerpb.Record) (*holder, error) {
	ctx, cancel := context.WithTimeout(ctx, p.parts.Settings.grantTimeout())
	defer cancel()
	held, err := p.journal.submit(ctx, record)
	if err != nil {
		p.parts.Counters.Add("plumbarrow_pins_total", "event", "unavailable")
		return nil, refusePin()
	}
	return held, nil
}

func refusePin() *verdict.Refusal {
	refusal := verdict.Refuse(verdict.LedgerUnavailable, "the session's version could not be read")
	refusal.RetryAfter = retryAfter
	return refusal
}

func pinOf(held *holder) pin {
	model, name, _ := strings.Cut(string(held.value), versionSeparator)
	return pin{version: contract.VersionID{Model: model, Name: name}, nonce: held.nonce, createdAt: time.Unix(held.createdAt, 0)}
}

// cacheGet returns a cached pin that expires before the store's record does. Only a Repin at another
// instance makes it stale. Its version is withdrawn then, so the caller calls Repin here too.
func (p *StorePins) cacheGet(key recordKey) (pin, bool) {
	shard := &p.cache[key[0]%pinCacheShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found, ok := shard.pins[key]
	if !ok || time.Since(found.createdAt) > p.parts.Settings.pinLifetime()-p.parts.Settings.clockSkew() {
		delete(shard.pins, key)
		return pin{}, false
	}
	return found, true
}

// cachePut caches a pin. If the cache shard is full, it evicts an arbitrary other pin.
func (p *StorePins) cachePut(key recordKey, found pin) {
	shard := &p.cache[key[0]%pinCacheShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, ok := shard.pins[key]; !ok && len(shard.pins) >= pinCacheSize {
		for other := range shard.pins {
			delete(shard.pins, other)
			break
		}
	}
	shard.pins[key] = found
}
