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

// maxSources bounds the instances and the zones that are remembered per version.
const maxSources = 64

// Evidence counts what this instance and, by their messages, the others saw of the versions under
// comparison. Each instance counts for itself per incarnation, and a later count of the same
// incarnation replaces an earlier one, so messages may be repeated, late or out of order. Within a
// zone all instances are known singly; of other zones only the sum, so that a message grows with the
// instances of one zone and the number of zones. Safe for concurrent use.
type Evidence struct {
	settings Settings
	self     uint64
	zone     string
	zoneID   uint64

	mu          sync.RWMutex
	comparisons []Comparison
	tests       map[testKey]*test
	detectors   map[Comparison]*detector
}

// testKey names one of the two sides of a comparison.
type testKey struct {
	version contract.VersionID
	epoch   uint64
}

// test is what is known of one side of a comparison.
type test struct {
	mu        sync.Mutex
	instances map[uint64]Tally // of the own zone, this instance included
	zones     map[uint64]Tally // the other zones' sums
}

var (
	_ Recorder   = (*Evidence)(nil)
	_ link.Topic = (*Evidence)(nil)
)

// NewEvidence returns evidence without comparisons.
func NewEvidence(settings Settings, self machine.Member) *Evidence {
	return &Evidence{
		settings: settings,
		self:     xxhash.Sum64String(string(self.Incarnation)),
		zone:     self.Zone,
		zoneID:   xxhash.Sum64String(self.Zone),
		tests:    make(map[testKey]*test),
	}
}

// Apply takes over the comparisons of a snapshot and forgets the evidence of others.
func (e *Evidence) Apply(snapshot *contract.Snapshot) {
	comparisons := Comparisons(snapshot)
	e.mu.Lock()
	defer e.mu.Unlock()
	tests := make(map[testKey]*test)
	detectors := make(map[Comparison]*detector)
	for _, c := range comparisons {
		detectors[c] = e.detectors[c]
		if detectors[c] == nil {
			detectors[c] = &detector{}
		}
		for _, version := range []contract.VersionID{c.Version, c.Predecessor} {
			key := testKey{version, c.Epoch}
			tests[key] = e.tests[key]
			if tests[key] == nil {
				tests[key] = &test{instances: make(map[uint64]Tally), zones: make(map[uint64]Tally)}
			}
		}
	}
	e.comparisons, e.tests, e.detectors = comparisons, tests, detectors
}

// Attempt implements Recorder.
func (e *Evidence) Attempt(attempt Attempt) {
	seen := Tally{Attempts: 1}
	if attempt.Failed {
		seen.Failures = 1
	}
	if attempt.FirstByte > 0 {
		seen.FirstBytes = 1
		if attempt.FirstByte > e.settings.slow() {
			seen.Slow = 1
		}
	}
	e.count(attempt.Version, seen)
}

// Rating implements Recorder.
func (e *Evidence) Rating(version contract.VersionID, score float64) {
	if score >= 0 && score <= 1 {
		var seen Tally
		seen.Rate(score)
		e.count(version, seen)
	}
}

func (e *Evidence) count(version contract.VersionID, seen Tally) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	for key, one := range e.tests {
		if key.version != version {
			continue
		}
		one.mu.Lock()
		own := one.instances[e.self]
		own.add(seen)
		one.instances[e.self] = own
		one.mu.Unlock()
	}
}

// Finding is the state of one comparison.
type Finding struct {
	Comparison
	Previous, Next Tally // since the comparison began
	// LogEvidence against the version; it is found bad at log(1/FalseAlarm).
	LogEvidence float64
}

// Findings returns the state of all comparisons.
func (e *Evidence) Findings() []Finding {
	e.mu.RLock()
	defer e.mu.RUnlock()
	findings := make([]Finding, 0, len(e.comparisons))
	for _, c := range e.comparisons {
		previous := e.tests[testKey{c.Predecessor, c.Epoch}].total()
		next := e.tests[testKey{c.Version, c.Epoch}].total()
		findings = append(findings, Finding{c, previous, next, e.detectors[c].look(e.settings, previous, next)})
	}
	return findings
}

func (t *test) total() Tally {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.zoneSum()
	for _, one := range t.zones {
		sum.add(one)
	}
	return sum
}

func (t *test) zoneSum() Tally {
	var sum Tally
	for _, one := range t.instances {
		sum.add(one)
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
	for key, one := range e.tests {
		version := &rolloutpb.Version{Model: key.version.Model, Name: key.version.Name, Epoch: key.epoch}
		one.mu.Lock()
		if to.Zone == e.zone {
			version.Instances = sources(one.instances)
		}
		version.Zones = append(sources(one.zones), toProto(e.zoneID, one.zoneSum()))
		one.mu.Unlock()
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

// Receive implements link.Topic. Messages that can't be read are dropped.
func (e *Evidence) Receive(from machine.Member, message []byte) {
	var decoded rolloutpb.Evidence
	if proto.Unmarshal(message, &decoded) != nil {
		return
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, version := range decoded.Versions {
		one := e.tests[testKey{contract.VersionID{Model: version.Model, Name: version.Name}, version.Epoch}]
		if one == nil {
			continue
		}
		one.mu.Lock()
		if from.Zone == e.zone {
			merge(one.instances, version.Instances, e.self)
		}
		merge(one.zones, version.Zones, e.zoneID)
		one.mu.Unlock()
	}
}

// merge keeps the larger tally of each source. own is never taken from others.
func merge(known map[uint64]Tally, received []*rolloutpb.Source, own uint64) {
	for _, source := range received {
		tally, have := fromProto(source), known[source.Id]
		if source.Id == own || !tally.plausible() || tally.size() <= have.size() {
			continue
		}
		known[source.Id] = tally
	}
	for len(known) > maxSources {
		delete(known, smallest(known, own))
	}
}

// smallest returns the source whose loss costs the least evidence.
func smallest(known map[uint64]Tally, own uint64) uint64 {
	ids := make([]uint64, 0, len(known))
	for id := range known {
		if id != own {
			ids = append(ids, id)
		}
	}
	return slices.MinFunc(ids, func(a, b uint64) int {
		ta, tb := known[a], known[b]
		return cmp.Or(cmp.Compare(ta.size(), tb.size()), cmp.Compare(a, b))
	})
}
