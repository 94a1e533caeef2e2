package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/quarantine/quarantinepb"
)

var _ link.Topic = (*Quarantine)(nil)

// Name implements link.Topic.
func (q *Quarantine) Name() string { return "suspect prompt parts" }

const (
	// maxMessageSuspects bounds the suspects in a message, of some 50 bytes each with one crash. maxMessageLasting bounds those that are
	// sent for the digest's sake.
	maxMessageSuspects = 256
	maxMessageLasting  = 128
)

// peer is what is known of another instance.
type peer struct {
	incarnation  machine.Incarnation
	digest       uint64 // of its lasting suspects, as of its last message
	received     uint64 // its last change that this instance has
	acknowledged uint64 // this instance's last change that it has
}

// Message implements link.Topic. A peer gets changes that it has not acknowledged, of the last newsTime and in maxTellings messages at most. Lasting suspects are
// sent until both have the same ones, so that a peer that was away or has started learns them, too.
func (q *Quarantine) Message(to machine.Member) []byte {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for endpoint := range q.open {
		q.settle(endpoint, now)
	}
	if now.Sub(q.evaluatedAt) >= evaluationInterval {
		q.evaluate(now)
	}
	p := q.peers[to.ID]
	if p == nil {
		p = &peer{}
	}
	message := &quarantinepb.Suspects{Digest: q.digest(), Received: p.received}
	message.Suspects, message.Sequence = q.suspectsFor(p, now)
	data, err := proto.Marshal(message)
	if err != nil {
		q.log.Error("encoding suspect prompt parts failed", "error", err)
		return nil
	}
	return data
}

// suspectsFor returns the suspects that a peer may lack, those with the strongest evidence first, and the change up to which it has all
// news with them. The caller holds the lock.
func (q *Quarantine) suspectsFor(p *peer, now time.Time) (messages []*quarantinepb.Suspect, sequence uint64) {
	var lasting, news []uint64
	for key, s := range q.suspects {
		switch {
		case s.lasting && p.digest != q.digest():
			lasting = append(lasting, key)
		case s.sequence > p.acknowledged && s.isNews(now):
			news = append(news, key)
		}
	}
	slices.SortFunc(lasting, func(a, b uint64) int {
		return cmp.Or(compareSuspects(q.suspects[a], q.suspects[b]), cmp.Compare(a, b))
	})
	slices.SortFunc(news, func(a, b uint64) int { return cmp.Compare(q.suspects[a].sequence, q.suspects[b].sequence) })
	lasting = lasting[:min(len(lasting), maxMessageLasting)]
	sequence = q.sequence
	if room := maxMessageSuspects - len(lasting); len(news) > room {
		news = news[:room]
		sequence = q.suspects[news[room-1]].sequence
	}
	for _, key := range news {
		q.suspects[key].tellings++
	}
	for _, key := range append(lasting, news...) {
		messages = append(messages, q.suspects[key].message(key, now))
	}
	return messages, sequence
}

// message encodes a suspect.
func (s *suspect) message(key uint64, now time.Time) *quarantinepb.Suspect {
	message := &quarantinepb.Suspect{Part: key}
	if s.part != key {
		message.PromptPart = s.part
	}
	if len(s.crashes) > 0 {
		message.KnownAgeMs = ageMillis(now, s.knownAt)
	}
	for _, c := range s.crashes {
		message.Crashes = append(message.Crashes, &quarantinepb.Crash{
			Endpoint: c.endpoint, SentAgeMs: ageMillis(now, c.sentAt), AgeMs: ageMillis(now, c.endedAt),
		})
	}
	if !s.soundAt.IsZero() {
		message.SoundAgeMs = proto.Uint32(ageMillis(now, s.soundAt))
	}
	return message
}

func ageMillis(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

// digest hashes what peers must agree on: the lasting suspects, the endpoints that ended under them, and whether any survived an
// answer, or did so recently; 0 without any. The caller holds the lock.
func (q *Quarantine) digest() uint64 {
	if q.digestValid {
		return q.ownDigest
	}
	var lasting []uint64
	for key, s := range q.suspects {
		if s.lasting {
			lasting = append(lasting, key)
		}
	}
	slices.Sort(lasting)
	var buffer []byte
	for _, key := range lasting {
		s := q.suspects[key]
		buffer = binary.LittleEndian.AppendUint64(buffer, key)
		endpoints := make([]uint64, 0, len(s.crashes))
		for _, c := range s.crashes {
			endpoints = append(endpoints, c.endpoint)
		}
		slices.Sort(endpoints)
		for _, endpoint := range endpoints {
			buffer = binary.LittleEndian.AppendUint64(buffer, endpoint)
		}
		buffer = append(buffer, ';')
		if !s.soundAt.IsZero() {
			buffer = append(buffer, 's')
		}
		if s.recentlySound() {
			buffer = append(buffer, 'r')
		}
	}
	q.ownDigest, q.digestValid = 0, true
	if len(buffer) > 0 {
		q.ownDigest = xxhash.Sum64(buffer)
	}
	return q.ownDigest
}

// Receive implements link.Topic.
func (q *Quarantine) Receive(from machine.Member, data []byte) {
	message := &quarantinepb.Suspects{}
	if err := proto.Unmarshal(data, message); err != nil {
		q.log.Warn("decoding suspect prompt parts failed", "peer", from.ID, "error", err)
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[from.ID]
	if p == nil || p.incarnation != from.Incarnation {
		p = &peer{incarnation: from.Incarnation}
		q.peers[from.ID] = p
	}
	p.digest, p.received = message.GetDigest(), message.GetSequence()
	if message.GetReceived() <= q.sequence {
		p.acknowledged = message.GetReceived()
	}
	if len(message.GetSuspects()) == 0 {
		return
	}
	urgent := now.Sub(q.evaluatedAt) >= evaluationInterval
	for _, entry := range message.GetSuspects() {
		s := q.merge(entry, now)
		urgent = urgent || s.lasting || s.generations > 1
	}
	q.trimSuspects()
	if urgent {
		q.evaluate(now)
	}
}

// merge adds a peer's knowledge of one part at a service, and returns the result. The caller holds the lock.
func (q *Quarantine) merge(entry *quarantinepb.Suspect, now time.Time) *suspect {
	_, known := q.suspects[entry.GetPart()]
	s := q.suspect(partRef{key: entry.GetPart(), part: entry.GetPromptPart()})
	changed, hadCrashes := !known, len(s.crashes) > 0
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, c := range entry.GetCrashes() {
		if s.add(crash{endpoint: c.GetEndpoint(), sentAt: ago(c.GetSentAgeMs()), endedAt: ago(c.GetAgeMs())}, now) {
			changed = true
		}
	}
	if !hadCrashes {
		// Objections have reached the sender since it has known.
		s.knownAt = ago(entry.GetKnownAgeMs())
	}
	if entry.SoundAgeMs != nil && s.clear(ago(entry.GetSoundAgeMs())) {
		changed = true
	}
	if changed {
		q.touch(s, now)
	}
	return s
}
