package zone

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/zone/zonepb"
)

const (
	reportInterval   = 4 * time.Second  // between two reports by one instance on its own zone
	acceptOlderAfter = 6 * time.Second  // since receipt of the stored report; from then on even an older timestamp replaces it, as another relay's clock may lag
	reportTTL        = 15 * time.Second // since receipt; an expired report is ignored
	maxZones         = 64               // zones with a stored report; further zones are ignored
	maxPools         = 512              // pools in one report
)

// Loads reports the spare capacity of this zone to the other zones, and stores their reports. Each
// zone is reported by its relays. Within a zone, members pass on the reports of other zones, each
// report to a member only once. Safe for concurrent use.
type Loads struct {
	members machine.Members
	source  contract.Source
	spare   func() map[string]int
	log     *slog.Logger

	mu            sync.Mutex
	localReport   *zonepb.ZoneLoad
	localReportAt time.Time
	smoothedSpare map[string]float64 // exponentially weighted average of this zone's spare capacity in requests, by pool
	zones         map[string]*zoneReport
}

// zoneReport is the newest report of another zone.
type zoneReport struct {
	message    *zonepb.ZoneLoad
	receivedAt time.Time
	knownTo    map[machine.InstanceID]bool // members of this zone that have the report
	forwarded  map[uint32]int              // requests that this instance forwarded there since receipt, by poolKey
}

var _ link.Topic = (*Loads)(nil)

// NewLoads returns loads without reports. spare returns this zone's spare capacity, the number of
// requests that could start now, by pool. It is called with a lock held and must not call the loads.
func NewLoads(members machine.Members, source contract.Source, spare func() map[string]int, log *slog.Logger) *Loads {
	return &Loads{members: members, source: source, spare: spare, log: log, zones: make(map[string]*zoneReport)}
}

// Name implements link.Topic.
func (l *Loads) Name() string { return "loads" }

// Message implements link.Topic. Members of other zones get the report of this zone; members of this
// zone get the reports of other zones that they do not have yet.
func (l *Loads) Message(to machine.Member) []byte {
	now := time.Now()
	message := &zonepb.Loads{}
	l.mu.Lock()
	if to.Zone != l.members.Self().Zone {
		message.Zones = []*zonepb.ZoneLoad{l.report(now)}
	} else {
		message.Zones = l.reportsFor(to.ID, now)
	}
	l.mu.Unlock()
	if len(message.Zones) == 0 {
		return nil
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		l.log.Error("encoding loads failed", "error", err)
	}
	return payload
}

// report returns the report of this zone, computed at most once in reportInterval. The caller holds
// mu.
func (l *Loads) report(now time.Time) *zonepb.ZoneLoad {
	if l.localReport != nil && now.Sub(l.localReportAt) < reportInterval {
		return l.localReport
	}
	self := l.members.Self()
	l.localReportAt = now
	l.localReport = &zonepb.ZoneLoad{Zone: self.Zone, AtMs: uint64(now.UnixMilli())}
	snapshot := l.source.Current()
	if snapshot == nil || !snapshot.ZoneInService(self.Zone) {
		return l.localReport // an empty report: no spare capacity
	}
	for pool, spare := range l.smoothSpare(l.spare()) {
		if spare > 0 && len(l.localReport.Pools) < maxPools {
			l.localReport.Pools = append(l.localReport.Pools, &zonepb.PoolSpare{Pool: poolKey(pool), Spare: uint32(spare)})
		}
	}
	return l.localReport
}

// spareGain is the weight of the newest value in the average of spare capacity. Unsmoothed reports
// make the load oscillate between zones: a report of spare capacity attracts requests from all
// other zones, and the next report repels them.
const spareGain = 0.5

// smoothSpare updates and returns the average spare capacity of each pool, rounded up, so that a pool
// with any spare capacity is reported with at least 1.
func (l *Loads) smoothSpare(spareNow map[string]int) map[string]int {
	smoothedSpare := make(map[string]float64, len(spareNow))
	rounded := make(map[string]int, len(spareNow))
	for pool, spare := range spareNow {
		previous, known := l.smoothedSpare[pool]
		if !known {
			previous = float64(spare)
		}
		smoothedSpare[pool] = previous + spareGain*(float64(spare)-previous)
		rounded[pool] = int(math.Ceil(smoothedSpare[pool]))
	}
	l.smoothedSpare = smoothedSpare
	return rounded
}

// reportsFor returns the unexpired reports that a member of this zone does not have, and marks them
// as known to it. The caller holds mu.
func (l *Loads) reportsFor(member machine.InstanceID, now time.Time) []*zonepb.ZoneLoad {
	var reports []*zonepb.ZoneLoad
	for _, report := range l.zones {
		if now.Sub(report.receivedAt) < reportTTL && !report.knownTo[member] {
			report.knownTo[member] = true
			reports = append(reports, report.message)
		}
	}
	return reports
}

// Receive implements link.Topic.
func (l *Loads) Receive(from machine.Member, payload []byte) {
	message := &zonepb.Loads{}
	if err := proto.Unmarshal(payload, message); err != nil {
		l.log.Warn("decoding loads failed", "peer", from.ID, "error", err)
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, report := range message.GetZones() {
		if report.GetZone() != l.members.Self().Zone && len(report.GetPools()) <= maxPools {
			l.store(from, report, now)
		}
	}
}

// store keeps a received report if it is newer than the stored one. The caller holds mu.
func (l *Loads) store(from machine.Member, message *zonepb.ZoneLoad, now time.Time) {
	previous := l.zones[message.GetZone()]
	if previous != nil && previous.message.GetAtMs() == message.GetAtMs() {
		previous.knownTo[from.ID] = true
		return
	}
	newer := previous == nil || message.GetAtMs() > previous.message.GetAtMs() || now.Sub(previous.receivedAt) > acceptOlderAfter
	if !newer || previous == nil && len(l.zones) >= maxZones {
		return
	}
	l.zones[message.GetZone()] = &zoneReport{
		message:    message,
		receivedAt: now,
		knownTo:    map[machine.InstanceID]bool{from.ID: true},
		forwarded:  make(map[uint32]int),
	}
}

// RecordForwarded counts a request that this instance sent to another zone against the zone's report, so
// that one report does not attract more requests than it has capacity for.
func (l *Loads) RecordForwarded(zone, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if report := l.zones[zone]; report != nil {
		report.forwarded[poolKey(pool)]++
	}
}

// OtherZones returns this instance's share of the spare capacity of the other zones in service, sorted by
// zone name. Each call recomputes it, so it is meant for requests that this zone cannot serve.
func (l *Loads) OtherZones() []decide.ZoneLoad {
	snapshot := l.source.Current()
	if snapshot == nil {
		return nil
	}
	position, count := l.rank()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var loads []decide.ZoneLoad
	for name, report := range l.zones {
		if now.Sub(report.receivedAt) < reportTTL && snapshot.ZoneInService(name) {
			loads = append(loads, report.share(snapshot, position, count))
		}
	}
	slices.SortFunc(loads, func(a, b decide.ZoneLoad) int { return cmp.Compare(a.Zone, b.Zone) })
	return loads
}

// rank returns the position of this instance among the live members of its zone, sorted by id, and their
// number, at least 1.
func (l *Loads) rank() (position, count int) {
	self := l.members.Self()
	for _, member := range l.members.Live() {
		if member.Zone != self.Zone {
			continue
		}
		if member.ID < self.ID {
			position++
		}
		count++
	}
	return position, max(count, 1)
}

// share returns this instance's share of the reported spare capacity, less the requests already
// forwarded. All members of this zone have the same report, and together they should not send more
// than it offers.
func (r *zoneReport) share(snapshot *contract.Snapshot, position, count int) decide.ZoneLoad {
	share := decide.ZoneLoad{Zone: r.message.GetZone(), Spare: make(map[string]int), At: r.receivedAt}
	byKey := make(map[uint32]int, len(r.message.GetPools()))
	for _, pool := range r.message.GetPools() {
		byKey[pool.GetPool()] = int(pool.GetSpare())
	}
	for name := range snapshot.Pools {
		key := poolKey(name)
		spare := byKey[key]
		part := spare / count
		if (position+int(r.message.GetAtMs()/1000))%count < spare%count {
			part++ // the remainder rotates among the members with the report's timestamp
		}
		if part > r.forwarded[key] {
			share.Spare[name] = part - r.forwarded[key]
		}
	}
	return share
}

func poolKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
