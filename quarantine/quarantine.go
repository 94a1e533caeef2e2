// Package quarantine finds prompt parts that crash endpoints, and keeps further requests with them from being sent. Each
// part is a circuit breaker of its own: it opens after successive crashes of endpoints that worked on the part, if
// none survived an answer in between. Instances exchange the crashes that they have seen, and store those of parts under
// which endpoints ended one after the other.
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
	// maxSoundParts is the number of parts of one prompt among these, the first ones.
	maxSoundParts = 256
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

	blocked atomic.Pointer[blockedParts]

	mu       sync.Mutex
	open     map[machine.EndpointID][]*Exposure // not yet settled
	suspects map[uint64]*suspect                // by key, see partRef
	sound    map[uint64]soundAnswer             // last sound answers seen here, by key
	peers    map[machine.InstanceID]*peer
	probing  map[machine.EndpointID]struct{} // probes in flight
	stored   map[uint64]storedSuspect        // documents in the store, by key

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
		sound:    make(map[uint64]soundAnswer),
		peers:    make(map[machine.InstanceID]*peer),
		probing:  make(map[machine.EndpointID]struct{}),
		stored:   make(map[uint64]storedSuspect),
	}
	q.blocked.Store(&blockedParts{})
	counters.Gauge("plumbarrow_quarantined_parts", func() float64 { return float64(len(q.blocked.Load().until)) })
	counters.Gauge("plumbarrow_suspect_parts", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return float64(len(q.suspects))
	})
	return q
}

// partRef names a part at a service. Answers count for the service that gave them, crashes for the part anywhere.
type partRef struct {
	key  uint64 // hash of the part's id and the service's name
	part uint64 // hash of the part's id alone; 0 if unknown
}

// soundAnswer is an answer that its endpoint survived.
type soundAnswer struct {
	at   time.Time
	part uint64
}

func newPartRef(service string, part upstream.PromptPart) partRef {
	buffer := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), part.ID) // on the stack
	return partRef{key: xxhash.Sum64(append(buffer, service...)), part: xxhash.Sum64(buffer)}
}

func partRefs(service string, parts []upstream.PromptPart) []partRef {
	refs := make([]partRef, len(parts))
	for i, part := range parts {
		refs[i] = newPartRef(service, part)
	}
	return refs
}

// Blocked reports whether requests to the service with any of the parts are blocked, and for how much longer.
func (q *Quarantine) Blocked(service string, parts []upstream.PromptPart) (remaining time.Duration, blocked bool) {
	all := q.blocked.Load()
	if len(all.until) == 0 {
		return 0, false
	}
	for _, part := range parts {
		if until, found := all.find(newPartRef(service, part)); found {
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
		if s := q.suspect(e.ref); s.add(crash{endpoint: hash, sentAt: e.sentAt, endedAt: at}, at) {
			q.touch(s, at)
			news = append(news, e.ref.part)
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
	ref    partRef
	sentAt time.Time
	order  uint64 // pseudo-random, the same at all instances
}

// crashParts returns the parts that the end of an endpoint makes suspect, at most maxCrashParts. Parts of requests with few of them come first:
// a prompt with hundreds of parts is weaker evidence against each. The others are drawn anew for each endpoint.
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
			for _, ref := range x.parts {
				if !seen[ref.key] {
					seen[ref.key] = true
					chosen = append(chosen, exposedPart{ref: ref, sentAt: x.sentAt, order: (ref.key ^ endpoint) * orderFactor})
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
	s.changedAt, s.sequence, s.tellings = now, q.sequence, 0
	q.digestValid = false
}

// trimSuspects drops the suspects with the weakest evidence if there are too many, and some more, so that it is seldom needed. The caller holds
// the lock.
func (q *Quarantine) trimSuspects() {
	if len(q.suspects) <= maxSuspects {
		return
	}
	ordered := slices.SortedFunc(maps.Keys(q.suspects), func(a, b uint64) int {
		return cmp.Or(compareSuspects(q.suspects[a], q.suspects[b]), cmp.Compare(a, b))
	})
	dropped := ordered[maxSuspects*7/8:]
	for _, key := range dropped {
		delete(q.suspects, key)
	}
	q.digestValid = false
	q.counters.AddN("plumbarrow_suspects_dropped_total", len(dropped))
	q.log.Info("suspect prompt parts dropped", "dropped", len(dropped), "suspects", len(q.suspects))
}

// anySuspect reports whether endpoints have ended under one of the parts. The caller holds the lock.
func (q *Quarantine) anySuspect(parts []partRef) bool {
	for _, ref := range parts {
		if s := q.suspects[ref.key]; s != nil && len(s.crashes) > 0 {
			return true
		}
	}
	return false
}

// recordSound records that an endpoint has survived an answer to the parts. The caller holds the lock.
func (q *Quarantine) recordSound(parts []partRef, now time.Time) {
	urgent := false // the others wait for the next evaluation and round
	for i, ref := range parts {
		if i < maxSoundParts {
			q.sound[ref.key] = soundAnswer{at: now, part: ref.part}
		}
		if s := q.suspects[ref.key]; s != nil && s.clear(now) {
			q.touch(s, now)
			urgent = urgent || s.lasting
		}
	}
	if len(q.sound) > maxSound {
		q.trimSound()
	}
	if urgent {
		q.evaluate(now)
		go q.changed()
	}
}

// trimSound forgets the sound answers that are oldest, half of them. The caller holds the lock.
func (q *Quarantine) trimSound() {
	ordered := slices.SortedFunc(maps.Keys(q.sound), func(a, b uint64) int {
		return cmp.Or(q.sound[b].at.Compare(q.sound[a].at), cmp.Compare(a, b))
	})
	for _, key := range ordered[maxSound/2:] {
		delete(q.sound, key)
	}
}

// suspect returns the state of a part at a service, new if it was not suspect before. The caller holds the lock, and calls trimSuspects later.
func (q *Quarantine) suspect(ref partRef) *suspect {
	s := q.suspects[ref.key]
	if s == nil {
		s = &suspect{part: ref.key}
		q.suspects[ref.key] = s
	}
	if ref.part != 0 {
		s.part = ref.part
	}
	if answer := q.sound[ref.key]; len(s.crashes) == 0 && answer.at.After(s.soundAt) {
		s.soundAt = answer.at
	}
	return s
}

// recallAnswers makes known the answers of other services to the groups' parts that are remembered here, before these are blocked for them. The
// caller holds the lock.
func (q *Quarantine) recallAnswers(groups map[uint64]*group, now time.Time) {
	if len(groups) == 0 {
		return
	}
	for key, answer := range q.sound {
		if g := groups[answer.part]; g != nil && q.suspects[key] == nil && g.answerCounts(answer.at) {
			q.touch(q.suspect(partRef{key: key, part: answer.part}), now)
			g.sound = append(g.sound, key)
		}
	}
}

// evaluate decides which parts are blocked, and which suspects all instances keep: those of parts under which endpoints have ended one after the
// other, while a single crash makes all parts suspect that the endpoint was working on. The caller holds the lock.
func (q *Quarantine) evaluate(now time.Time) {
	q.evaluatedAt = now
	for key, s := range q.suspects {
		if s.expired(now) {
			delete(q.suspects, key)
			q.digestValid = false
		}
	}
	before := q.blocked.Load()
	if len(before.until) == 0 && len(q.suspects) == 0 {
		return
	}
	groups := groupSuspects(q.suspects)
	byPart := make(map[uint64]*group, len(groups))
	for _, g := range groups {
		byPart[g.part] = g
	}
	q.recallAnswers(byPart, now)
	for _, s := range q.suspects {
		if is := byPart[s.part] != nil; is != s.lasting {
			s.lasting = is
			q.digestValid = false
		}
	}
	blocked := judge(groups, now)
	q.blocked.Store(blocked)
	q.logBlocked(before, blocked, groups)
}

// logBlocked logs which parts are blocked now and were not before, and the reverse. The caller holds the lock.
func (q *Quarantine) logBlocked(before, blocked *blockedParts, groups []*group) {
	for _, g := range groups {
		_, is := blocked.until[g.part]
		if _, was := before.until[g.part]; !is || was {
			continue
		}
		q.counters.Inc("plumbarrow_quarantines_total")
		q.log.Warn("prompt part quarantined", "part", strconv.FormatUint(g.part, 16), "crashes", len(g.evidence.crashes),
			"generations", g.evidence.generations, "services_that_answered", len(g.sound))
	}
	for part, until := range before.until {
		if _, still := blocked.until[part]; still {
			continue
		}
		reason := "answered, or deleted from the store"
		if !q.evaluatedAt.Before(until) {
			reason = "no crash for " + blockTime.String()
		}
		q.log.Info("prompt part released from quarantine", "part", strconv.FormatUint(part, 16), "reason", reason)
	}
}
