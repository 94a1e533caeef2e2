package quarantine

import (
	"encoding/binary"
	"maps"
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

// Message implements link.Topic. A peer that is known to have the same suspects gets their digest only.
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
	message := &quarantinepb.Suspects{Digest: q.digest()}
	if known, heard := q.digests[to.ID]; !heard && len(q.suspects) > 0 || heard && known != message.Digest {
		message.Suspects = q.suspectMessages(now)
	}
	data, err := proto.Marshal(message)
	if err != nil {
		q.log.Error("encoding suspect prompt parts failed", "error", err)
		return nil
	}
	return data
}

// suspectMessages encodes all suspects. The caller holds the lock.
func (q *Quarantine) suspectMessages(now time.Time) []*quarantinepb.Suspect {
	messages := make([]*quarantinepb.Suspect, 0, len(q.suspects))
	for part, s := range q.suspects {
		message := &quarantinepb.Suspect{Part: part}
		for endpoint, c := range s.crashes {
			message.Crashes = append(message.Crashes, &quarantinepb.Crash{
				Endpoint: endpoint, SentAgeMs: ageMillis(now, c.sentAt), AgeMs: ageMillis(now, c.endedAt),
			})
		}
		if !s.soundAt.IsZero() {
			message.SoundAgeMs = proto.Uint32(ageMillis(now, s.soundAt))
		}
		messages = append(messages, message)
	}
	return messages
}

func ageMillis(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }

// digest hashes what peers must agree on: the suspects, the endpoints that ended under them, and whether any survived an
// answer, or did so recently. The caller holds the lock.
func (q *Quarantine) digest() uint64 {
	if len(q.suspects) == 0 {
		return 0
	}
	if q.digestValid {
		return q.ownDigest
	}
	var buffer []byte
	for _, part := range slices.Sorted(maps.Keys(q.suspects)) {
		s := q.suspects[part]
		buffer = binary.LittleEndian.AppendUint64(buffer, part)
		for _, endpoint := range slices.Sorted(maps.Keys(s.crashes)) {
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
	q.ownDigest, q.digestValid = xxhash.Sum64(buffer), true
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
	q.digests[from.ID] = message.GetDigest()
	if len(message.GetSuspects()) == 0 {
		return
	}
	for _, entry := range message.GetSuspects() {
		q.merge(entry, now)
	}
	q.digestValid = false
	q.evaluate(now)
}

// merge adds a peer's knowledge of one part. The caller holds the lock.
func (q *Quarantine) merge(entry *quarantinepb.Suspect, now time.Time) {
	s := q.suspect(entry.GetPart())
	if s == nil {
		return
	}
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, c := range entry.GetCrashes() {
		s.add(c.GetEndpoint(), crash{sentAt: ago(c.GetSentAgeMs()), endedAt: ago(c.GetAgeMs())}, now)
	}
	if entry.SoundAgeMs != nil {
		s.clear(ago(entry.GetSoundAgeMs()))
	}
}
