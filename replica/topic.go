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
	// zonesEvery is how often the summaries of the zones are sent while all of them agree.
	zonesEvery = 8 * time.Second
	// zonesAfterChange is how long after a change they go with every message.
	zonesAfterChange = 30 * time.Second
)

var _ link.Topic = (*Replica)(nil)

// Name implements link.Topic.
func (r *Replica) Name() string { return "configuration revision" }

// Message implements link.Topic. It is about 20 bytes and, after a change and now and then, 20 to
// 30 more for each zone and, within a zone, 4 more for each of its instances.
func (r *Replica) Message(to machine.Member) []byte {
	now := time.Now()
	force := r.current.Load()
	message := &replicapb.Revision{Revision: uint64(force.revision())}
	if force != nil {
		message.Digest = shortDigest(force.record.Digest)
	}
	if at := r.peers.confirmedAt(); !at.IsZero() {
		message.Confirmed = true
		message.ConfirmedAgeMs = ageMS(now, at)
	}
	if r.peers.zonesDue(to.ID, now) {
		message.Zones = r.zoneMessages(now)
		if sameZone(to, r.members.Self()) {
			message.Holders = r.peers.holders(to.Zone, force.revision())
		}
	}
	data, err := proto.Marshal(message)
	if err != nil {
		r.log.Error("configuration topic not encoded", "error", err)
		return nil
	}
	return data
}

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
		r.log.Warn("configuration topic not decoded", "peer", from.ID, "error", err)
		return
	}
	now := time.Now()
	revision := contract.Revision(message.Revision)
	r.peers.heard(from, revision, now)
	if sameZone(from, r.members.Self()) {
		r.peers.hold(r.members.Live(), message.Holders, revision, now)
	}
	for _, zone := range message.Zones {
		if zone.Zone != r.members.Self().Zone {
			r.peers.mergeZone(zoneOf(zone, now))
		}
	}
	force := r.current.Load()
	switch {
	case revision > force.revision():
		select {
		case r.behind <- struct{}{}:
		default:
		}
		return
	case revision == force.revision() && force != nil && message.Digest != shortDigest(force.record.Digest):
		r.otherDocument(revision, sourcePeer)
		return
	}
	if message.Confirmed {
		r.peers.confirm(now.Add(-time.Duration(message.ConfirmedAgeMs) * time.Millisecond))
	}
}

func zoneOf(message *replicapb.ZoneRevision, now time.Time) ZoneSpread {
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

func ageMS(now, at time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), 1<<31))
}

func shortDigest(digest string) uint64 {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) < 8 {
		return 0
	}
	return binary.BigEndian.Uint64(raw)
}
