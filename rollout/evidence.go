package rollout

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/rollout/rolloutpb"
)

// maxSources bounds the instances and the zones that are kept per version.
const maxSources = 64

// Evidence holds the outcome counts of the versions under comparison, from this instance and, by
// gossip, from the others. Counts are kept per incarnation of an instance, and a later count of the
// same incarnation replaces an earlier one, so messages may be repeated, late or out of order.
// Within the zone each instance is counted separately; of other zones only the sum is kept, so that
// a message grows with the instances of one zone and the number of zones. Safe for concurrent use.
type Evidence struct {
	settings Settings
	selfID   uint64
	zone     string
	zoneID   uint64

	mu          sync.RWMutex
	comparisons []Comparison
	sides       map[sideKey]*sideTallies
	detectors   map[Comparison]*detector
}

// sideKey identifies one side of a comparison: the version or its predecessor.
type sideKey struct {
	version     contract.VersionID
	weightsHash uint64
}

// sideTallies holds the tallies of one side of a comparison by source.
type sideTallies struct {
	mu        sync.Mutex
	instances map[uint64]Tally // of this zone, this instance included
	zones     map[uint64]Tally // sums of the other zones
}

var (
	_ Recorder   = (*Evidence)(nil)
	_ link.Topic = (*Evidence)(nil)
)

// NewEvidence returns evidence without comparisons.
func NewEvidence(settings Settings, self machine.Member) *Evidence {
	return &Evidence{
		settings: settings,
		selfID:   xxhash.Sum64String(string(self.Incarnation)),
		zone:     self.Zone,
		zoneID:   xxhash.Sum64String(self.Zone),
		sides:    make(map[sideKey]*sideTallies),
	}
}

// Apply takes over the comparisons of a snapshot and drops the evidence of all others.
func (e *Evidence) Apply(snapshot *contract.Snapshot) {
	comparisons := Comparisons(snapshot)
	e.mu.Lock()
	defer e.mu.Unlock()
	sides := make(map[sideKey]*sideTallies)
	detectors := make(map[Comparison]*detector)
	for _, c := range comparisons {
		detectors[c] = e.detectors[c]
		if detectors[c] == nil {
			detectors[c] = &detector{}
		}
		for _, version := range []contract.VersionID{c.Version, c.Predecessor} {
			key := sideKey{version, c.WeightsHash}
			sides[key] = e.sides[key]
			if sides[key] == nil {
				sides[key] = &sideTallies{instances: make(map[uint64]Tally), zones: make(map[uint64]Tally)}
			}
		}
	}
	e.comparisons, e.sides, e.detectors = comparisons, sides, detectors
}

// RecordAttempt implements Recorder.
func (e *Evidence) RecordAttempt(attempt Attempt) {
	counts := Tally{Attempts: 1}
	if attempt.Failed {
		counts.Failures = 1
	}
	if attempt.FirstByte > 0 {
		counts.FirstBytes = 1
		if attempt.FirstByte > e.settings.slowAfter() {
			counts.Slow = 1
		}
	}
	e.count(attempt.Version, counts)
}

// RecordRating implements Recorder.
func (e *Evidence) RecordRating(version contract.VersionID, score float64) {
	if score >= 0 && score <= 1 {
		var counts Tally
		counts.AddRating(score)
		e.count(version, counts)
	}
}

func (e *Evidence) count(version contract.VersionID, counts Tally) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for key, side := range e.sides {
		if key.version != version {
			continue
		}
		side.mu.Lock()
		own := side.instances[e.selfID]
		own.add(counts)
		side.instances[e.selfID] = own
		side.mu.Unlock()
	}
}

// Finding is the state of one comparison.
type Finding struct {
	Comparison
	PredecessorTally, VersionTally Tally // since the comparison began
	// LogEvidence against the version, which counts as bad from log(1/FalseAlarm).
	LogEvidence float64
}

// Findings returns the state of all comparisons.
func (e *Evidence) Findings() []Finding {
	e.mu.RLock()
	defer e.mu.RUnlock()
	findings := make([]Finding, 0, len(e.comparisons))
	for _, c := range e.comparisons {
		previous := e.sides[sideKey{c.Predecessor, c.WeightsHash}].total()
		next := e.sides[sideKey{c.Version, c.WeightsHash}].total()
		findings = append(findings, Finding{c, previous, next, e.detectors[c].logEvidence(e.settings, previous, next)})
	}
	return findings
}

func (t *sideTallies) total() Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.zoneSum()
	for _, tally := range t.zones {
		sum.add(tally)
	}
	return sum
}

func (t *sideTallies) zoneSum() Tally {
	var sum Tally
	for _, tally := range t.instances {
		sum.add(tally)
	}
	return sum
}

// Name implements link.Topic.
func (e *Evidence) Name() string { return "rollout-evidence" }

// Message implements link.Topic.
func (e *Evidence) Message(to machine.Member) []byte {
	e.mu.RLock()
	defer e.mu.RUnlock()
	message := &rolloutpb.Evidence{}
	for key, side := range e.sides {
		version := &rolloutpb.Version{Model: key.version.Model, Name: key.version.Name, Epoch: key.weightsHash}
		side.mu.Lock()
		if to.Zone == e.zone {
			version.Instances = sources(side.instances)
		}
		version.Zones = append(sources(side.zones), toProto(e.zoneID, side.zoneSum()))
		side.mu.Unlock()
		message.Versions = append(message.Versions, version)
	}
	if len(message.Versions) == 0 {
		return nil
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		return nil
	}
	return encoded
}

func sources(tallies map[uint64]Tally) []*rolloutpb.Source {
	list := make([]*rolloutpb.Source, 0, len(tallies)+1)
	for id, tally := range tallies {
		list = append(list, toProto(id, tally))
	}
	return list
}

// Receive implements link.Topic. Messages that cannot be decoded are dropped.
func (e *Evidence) Receive(from machine.Member, message []byte) {
	var decoded rolloutpb.Evidence
	if proto.Unmarshal(message, &decoded) != nil {
		return
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, version := range decoded.Versions {
		side := e.sides[sideKey{contract.VersionID{Model: version.Model, Name: version.Name}, version.Epoch}]
		if side == nil {
			continue
		}
		side.mu.Lock()
		if from.Zone == e.zone {
			merge(side.instances, version.Instances, e.selfID)
		}
		merge(side.zones, version.Zones, e.zoneID)
		side.mu.Unlock()
	}
}

// merge keeps the larger tally of each source. The tally of own is never taken from a message.
func merge(known map[uint64]Tally, received []*rolloutpb.Source, own uint64) {
	for _, source := range received {
		tally, current := fromProto(source), known[source.Id]
		if source.Id == own || !tally.plausible() || tally.observations() <= current.observations() {
			continue
		}
		known[source.Id] = tally
	}
	for len(known) > maxSources {
		delete(known, smallest(known, own))
	}
}

// smallest returns the source with the fewest observations, which is the one to drop; never own.
func smallest(known map[uint64]Tally, own uint64) uint64 {
	ids := make([]uint64, 0, len(known))
	for id := range known {
		if id != own {
			ids = append(ids, id)
		}
	}
	return slices.MinFunc(ids, func(a, b uint64) int {
		ta, tb := known[a], known[b]
		return cmp.Or(cmp.Compare(ta.observations(), tb.observations()), cmp.Compare(a, b))
	})
}
