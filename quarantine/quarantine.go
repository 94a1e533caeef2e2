// Package quarantine finds prompt parts that crash endpoints, and keeps further requests with them from being sent. Each
// part is a circuit breaker of its own: it opens after successive crashes of endpoints that worked on the part, if
// none survived an answer in between. Instances exchange the crashes that they have seen.
package quarantine

import (
	"cmp"
	"context"
	"encoding/binary"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
)

const (
	// maxSound is the number of parts whose last sound answer is remembered.
	maxSound = 4096
	// maxSuspects is the number of suspects. Ordinary ends of endpoints make all parts suspect that the endpoints were working on.
	maxSuspects = 4096
	// maxCrashParts is the number of parts that the end of one endpoint makes suspect at an instance. A flood of parts that no other
	// request has so takes several ends to replace those that are suspect already.
	maxCrashParts = 1024
	// maxLoggedParts bounds the parts that a log record names.
	maxLoggedParts = 16
	// evaluationInterval is the time between evaluations without news.
	evaluationInterval = 100 * time.Millisecond
)

// Prober finds out whether an endpoint's process has ended.
type Prober interface {
	// Probe opens a connection to the address (IP:port) and closes it. The error is syscall.ECONNREFUSED if the address refuses
	// the connection, and another one if nothing answers.
	Probe(ctx context.Context, address string) error
}

// Quarantine holds the suspect and blocked parts known to one instance. Safe for concurrent use.
type Quarantine struct {
	prober   Prober
	changed  func()
	counters *telemetry.Counters
	log      *slog.Logger

	blocked atomic.Pointer[map[uint64]time.Time] // end of the blocking, by part

	mu       sync.Mutex
	open     map[machine.EndpointID][]*Exposure // not yet settled
	suspects map[uint64]*suspect
	sound    map[uint64]time.Time // last sound answer seen here, by part
	peers    map[machine.InstanceID]*peer
	probing  map[machine.EndpointID]struct{} // probes in flight
	stored   map[uint64]storedSuspect        // documents in the store, by part

	evaluatedAt time.Time
	sequence    uint64 // of the last change of a suspect
	ownDigest   uint64 // see digest
	digestValid bool
}

// New returns an empty quarantine. changed is called, outside any lock, when there is news for the other instances.
func New(prober Prober, changed func(), counters *telemetry.Counters, log *slog.Logger) *Quarantine {
	q := &Quarantine{
		prober: prober, changed: changed, counters: counters, log: log,
		open:     make(map[machine.EndpointID][]*Exposure),
		suspects: make(map[uint64]*suspect),
		sound:    make(map[uint64]time.Time),
		peers:    make(map[machine.InstanceID]*peer),
		probing:  make(map[machine.EndpointID]struct{}),
		stored:   make(map[uint64]storedSuspect),
	}
	q.blocked.Store(&map[uint64]time.Time{})
	counters.Gauge("plumbarrow_quarantined_parts", func() float64 { return float64(len(*q.blocked.Load())) })
	counters.Gauge("plumbarrow_suspect_parts", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return float64(len(q.suspects))
	})
	return q
}

// partKey hashes a part together with the service, whose endpoints it may crash while those of others serve it.
func partKey(service string, part upstream.PromptPart) uint64 {
	buffer := make([]byte, 0, 64) // on the stack
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(buffer, part.ID), service...))
}

func partKeys(service string, parts []upstream.PromptPart) []uint64 {
	keys := make([]uint64, len(parts))
	for i, part := range parts {
		keys[i] = partKey(service, part)
	}
	return keys
}

// Blocked reports whether requests to the service with any of the parts are blocked, and for how much longer.
func (q *Quarantine) Blocked(service string, parts []upstream.PromptPart) (remaining time.Duration, blocked bool) {
	all := *q.blocked.Load()
	if len(all) == 0 {
		return 0, false
	}
	for _, part := range parts {
		if until, found := all[partKey(service, part)]; found {
			return max(time.Until(until), 0), true
		}
	}
	return 0, false
}

// RecordCrash records that an endpoint has ended by the given time. The shared parts of the requests that it worked on or had just begun
// to answer become suspect.
func (q *Quarantine) RecordCrash(endpoint machine.EndpointID, at time.Time) {
	q.mu.Lock()
	hash := xxhash.Sum64String(string(endpoint))
	exposed := slices.DeleteFunc(slices.Clone(q.open[endpoint]), func(x *Exposure) bool { return !x.exposedAt(at) })
	var news []uint64
	for _, e := range crashParts(exposed, hash) {
		if s := q.suspect(e.part); s.add(crash{endpoint: hash, sentAt: e.sentAt, endedAt: at}, at) {
			q.touch(s, at)
			news = append(news, e.part)
		}
	}
	delete(q.open, endpoint)
	q.trimSuspects()
	if len(news) > 0 {
		q.evaluate(time.Now())
	}
	suspects := len(q.suspects)
	q.mu.Unlock()
	if len(news) == 0 {
		return
	}
	q.counters.Inc("plumbarrow_endpoint_crashes_total")
	q.log.Warn("endpoint ended while it worked on prompts", "endpoint", endpoint, "requests", len(exposed), "parts", len(news),
		"suspect_parts", partNames(news[:min(len(news), maxLoggedParts)]), "suspects", suspects)
	q.changed()
}

// exposedPart is a part of a request at an endpoint that has ended.
type exposedPart struct {
	part   uint64
	sentAt time.Time
	order  uint64 // pseudo-random, the same at all instances
}

// crashParts returns the parts that the end of an endpoint makes suspect, at most maxCrashParts. Parts of requests with few of them come first:
// a prompt with hundreds of parts says less of each. The others are drawn anew for each endpoint.
func crashParts(exposed []*Exposure, endpoint uint64) []exposedPart {
	slices.SortStableFunc(exposed, func(a, b *Exposure) int { return cmp.Compare(len(a.parts), len(b.parts)) })
	var chosen []exposedPart
	seen := make(map[uint64]bool)
	for len(exposed) > 0 && len(chosen) < maxCrashParts {
		alike := 1
		for alike < len(exposed) && len(exposed[alike].parts) == len(exposed[0].parts) {
			alike++
		}
		first := len(chosen)
		for _, x := range exposed[:alike] {
			for _, part := range x.parts {
				if !seen[part] {
					seen[part] = true
					chosen = append(chosen, exposedPart{part: part, sentAt: x.sentAt, order: (part ^ endpoint) * orderFactor})
				}
			}
		}
		slices.SortFunc(chosen[first:], func(a, b exposedPart) int { return cmp.Compare(a.order, b.order) })
		exposed = exposed[alike:]
	}
	return chosen[:min(len(chosen), maxCrashParts)]
}

// orderFactor spreads the parts of a crash; see Knuth, The Art of Computer Programming, volume 3, section 6.4 (multiplicative hashing).
const orderFactor = 0x9e3779b97f4a7c15

func partNames(parts []uint64) []string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, strconv.FormatUint(part, 16))
	}
	return names
}

// touch records a change of a suspect that peers may not know. The caller holds the lock.
func (q *Quarantine) touch(s *suspect, now time.Time) {
	q.sequence++
	s.changedAt, s.sequence = now, q.sequence
	q.digestValid = false
}

// trimSuspects drops the suspects against which least speaks if there are too many, and some more, so that it is seldom needed. The caller holds
// the lock.
func (q *Quarantine) trimSuspects() {
	if len(q.suspects) <= maxSuspects {
		return
	}
	ordered := slices.SortedFunc(maps.Keys(q.suspects), func(a, b uint64) int {
		return cmp.Or(compareSuspects(q.suspects[a], q.suspects[b]), cmp.Compare(a, b))
	})
	dropped := ordered[maxSuspects*7/8:]
	for _, part := range dropped {
		delete(q.suspects, part)
	}
	q.digestValid = false
	q.counters.AddN("plumbarrow_suspects_dropped_total", len(dropped))
	q.log.Info("suspect prompt parts dropped", "dropped", len(dropped), "suspects", len(q.suspects))
}

// anySuspect reports whether endpoints have ended under one of the parts. The caller holds the lock.
func (q *Quarantine) anySuspect(parts []uint64) bool {
	for _, part := range parts {
		if s := q.suspects[part]; s != nil && len(s.crashes) > 0 {
			return true
		}
	}
	return false
}

// recordSound records that an endpoint has survived an answer to the parts. The caller holds the lock.
func (q *Quarantine) recordSound(parts []uint64, now time.Time) {
	news := false
	for _, part := range parts {
		q.sound[part] = now
		if s := q.suspects[part]; s != nil && s.clear(now) {
			q.touch(s, now)
			news = true
		}
	}
	if len(q.sound) > maxSound {
		q.trimSound()
	}
	if news {
		q.evaluate(now)
		go q.changed()
	}
}

// trimSound forgets the sound answers that are oldest, half of them. The caller holds the lock.
func (q *Quarantine) trimSound() {
	ordered := slices.SortedFunc(maps.Keys(q.sound), func(a, b uint64) int {
		return cmp.Or(q.sound[b].Compare(q.sound[a]), cmp.Compare(a, b))
	})
	for _, part := range ordered[maxSound/2:] {
		delete(q.sound, part)
	}
}

// suspect returns the state of a part, new if it was not suspect before. The caller holds the lock, and calls trimSuspects later.
func (q *Quarantine) suspect(part uint64) *suspect {
	s := q.suspects[part]
	if s == nil {
		s = &suspect{}
		q.suspects[part] = s
	}
	if len(s.crashes) == 0 && q.sound[part].After(s.soundAt) {
		s.soundAt = q.sound[part]
	}
	return s
}

// evaluate decides which parts are blocked. The caller holds the lock.
func (q *Quarantine) evaluate(now time.Time) {
	q.evaluatedAt = now
	for part, s := range q.suspects {
		if s.expired(now) {
			delete(q.suspects, part)
			q.digestValid = false
		}
	}
	before := *q.blocked.Load()
	if len(before) == 0 && len(q.suspects) == 0 {
		return
	}
	blocked := blockedParts(q.suspects, now)
	q.blocked.Store(&blocked)
	for part := range blocked {
		if _, known := before[part]; !known {
			q.counters.Inc("plumbarrow_quarantines_total")
			q.log.Warn("prompt part quarantined", "part", strconv.FormatUint(part, 16), "crashes", len(q.suspects[part].crashes))
		}
	}
	for part := range before {
		if _, still := blocked[part]; !still {
			reason := "no crash for " + blockTime.String()
			if s := q.suspects[part]; s != nil {
				reason = "answered, or deleted from the store"
			}
			q.log.Info("prompt part released from quarantine", "part", strconv.FormatUint(part, 16), "reason", reason)
		}
	}
}
