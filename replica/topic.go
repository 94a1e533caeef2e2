package replica

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/replica/replicapb"
)

const (
	// zonesInterval is how often a peer is sent the zone summaries when no change is recent.
	zonesInterval = 8 * time.Second
	// eagerZonesPeriod is how long after a change every message carries the zone summaries.
	eagerZonesPeriod = 30 * time.Second
)

var _ link.Topic = (*Replica)(nil)

// Name implements link.Topic.
func (r *Replica) Name() string { return "configuration revision" }

// Message implements link.Topic. A message has about 20 bytes. After a change and every
// zonesInterval it also carries 20 to 30 bytes for each zone and, to peers of the same zone, 4
// bytes for each instance of the zone that has the revision.
func (r *Replica) Message(to machine.Member) []byte {
	now := time.Now()
	active := r.current.Load()
	message := &replicapb.Revision{Revision: uint64(active.revision())}
	if active != nil {
		message.Digest = shortDigest(active.record.Digest)
	}
	if lastConfirmed := r.peers.confirmedAt(); !lastConfirmed.IsZero() {
		message.Confirmed = true
		message.ConfirmedAgeMs = ageMS(now, lastConfirmed)
	}
	if r.peers.zonesDue(to.ID, now) {
		message.Zones = r.zoneMessages(now)
		if sameZone(to, r.members.Self()) {
			message.Holders = r.peers.holders(to.Zone, active.revision())
		}
	}
	data, err := proto.Marshal(message)
	if err != nil {
		r.log.Error("encoding configuration topic failed", "error", err)
		return nil
	}
	return data
}

// zoneMessages encodes the zone summaries. Zones that have sent none are left out.
func (r *Replica) zoneMessages(now time.Time) []*replicapb.ZoneRevision {
	var messages []*replicapb.ZoneRevision
	for _, zone := range r.spread(now) {
		if zone.At.IsZero() {
			continue
		}
		message := &replicapb.ZoneRevision{
			Zone:      zone.Zone,
			Lowest:    uint64(zone.Lowest),
			Instances: uint32(zone.Instances),
			AgeMs:     ageMS(now, zone.At),
		}
		for _, id := range zone.Lagging {
			message.Lagging = append(message.Lagging, string(id))
		}
		messages = append(messages, message)
	}
	return messages
}

// Receive implements link.Topic.
func (r *Replica) Receive(from machine.Member, data []byte) {
	message := &replicapb.Revision{}
	if err := proto.Unmarshal(data, message); err != nil {
		r.log.Warn("decoding configuration topic failed", "peer", from.ID, "error", err)
		return
	}
	now := time.Now()
	revision := contract.Revision(message.Revision)
	r.peers.recordRevision(from, revision, now)
	if sameZone(from, r.members.Self()) {
		r.peers.mergeHolders(r.members.Live(), message.Holders, revision, now)
	}
	for _, zone := range message.Zones {
		if zone.Zone != r.members.Self().Zone {
			r.peers.mergeZone(zoneFromMessage(zone, now))
		}
	}
	active := r.current.Load()
	switch {
	case revision > active.revision():
		select {
		case r.fetchSignal <- struct{}{}:
		default:
		}
		return
	case revision == active.revision() && active != nil && message.Digest != shortDigest(active.record.Digest):
		r.alarmDigestMismatch(revision, sourcePeer)
		return
	}
	if message.Confirmed {
		r.peers.confirm(now.Add(-time.Duration(message.ConfirmedAgeMs) * time.Millisecond))
	}
}

func zoneFromMessage(message *replicapb.ZoneRevision, now time.Time) ZoneSpread {
	zone := ZoneSpread{
		Zone:      message.Zone,
		Lowest:    contract.Revision(message.Lowest),
		Instances: int(message.Instances),
		At:        now.Add(-time.Duration(message.AgeMs) * time.Millisecond),
	}
	for _, id := range message.Lagging {
		zone.Lagging = append(zone.Lagging, machine.InstanceID(id))
	}
	return zone
}

// ageMS returns the time since at in milliseconds, limited to 0 to 2^31.
func ageMS(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), 1<<31))
}

// shortDigest returns the first eight bytes of a hex digest; 0 if it is malformed.
func shortDigest(digest string) uint64 {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}
