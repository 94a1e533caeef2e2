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
	loadInterval = 4 * time.Second  // between two reports on the own zone by one instance
	loadReplace  = 6 * time.Second  // after which an older report, by another clock, is taken too
	loadExpires  = 15 * time.Second // after which a zone's report is not used
	maxZones     = 64               // zones held; more are ignored
	maxPools     = 512              // pools of one report
)

// Loads tells the other zones what room this one has, and keeps what they told. Safe for
// concurrent use. Each zone is reported by its relays; within a zone the members pass on the
// reports on other zones, each to a member only once.
type Loads struct {
	members machine.Members
	source  contract.Source
	spare   func() map[string]int
	log     *slog.Logger

	mu     sync.Mutex
	own    *zonepb.ZoneLoad
	ownAt  time.Time
	smooth map[string]float64 // smoothed room of the own zone, per pool
	zones  map[string]*zoneReport
}

// zoneReport is the newest report on another zone.
type zoneReport struct {
	message    *zonepb.ZoneLoad
	receivedAt time.Time
	known      map[machine.InstanceID]bool // members of the own zone that have it
	forwarded  map[uint32]int              // requests sent there since, by pool
}

var _ link.Topic = (*Loads)(nil)

// NewLoads returns loads without reports. spare gives the own zone's room per pool.
func NewLoads(members machine.Members, source contract.Source, spare func() map[string]int, log *slog.Logger) *Loads {
	return &Loads{members: members, source: source, spare: spare, log: log, zones: make(map[string]*zoneReport)}
}

// Name implements link.Topic.
func (l *Loads) Name() string { return "loads" }

// Message implements link.Topic: the own zone's room for other zones, news of other zones for
// members of the own one.
func (l *Loads) Message(to machine.Member) []byte {
	now := time.Now()
	message := &zonepb.Loads{}
	l.mu.Lock()
	if to.Zone != l.members.Self().Zone {
		message.Zones = []*zonepb.ZoneLoad{l.report(now)}
	} else {
		message.Zones = l.newsFor(to.ID, now)
	}
	l.mu.Unlock()
	if len(message.Zones) == 0 {
		return nil
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		l.log.Error("loads not encoded", "error", err)
	}
	return payload
}

// report returns the report on the own zone, made at most every loadInterval.
func (l *Loads) report(now time.Time) *zonepb.ZoneLoad {
	if l.own != nil && now.Sub(l.ownAt) < loadInterval {
		return l.own
	}
	self := l.members.Self()
	l.ownAt = now
	l.own = &zonepb.ZoneLoad{Zone: self.Zone, AtMs: uint64(now.UnixMilli())}
	snapshot := l.source.Current()
	if snapshot == nil || !snapshot.ZoneInService(self.Zone) {
		return l.own // no room at all
	}
	for pool, spare := range l.smoothed(l.spare()) {
		if spare > 0 && len(l.own.Pools) < maxPools {
			l.own.Pools = append(l.own.Pools, &zonepb.PoolSpare{Pool: poolKey(pool), Spare: uint32(spare)})
		}
	}
	return l.own
}

// spareGain weighs the newest room against the earlier ones. Raw reports make zones take turns in
// being flooded: each report attracts what the one before repelled.
const spareGain = 0.5

// smoothed follows the room of each pool, rounded up, so that a pool with any room shows some.
func (l *Loads) smoothed(now map[string]int) map[string]int {
	smooth := make(map[string]float64, len(now))
	room := make(map[string]int, len(now))
	for pool, spare := range now {
		earlier, known := l.smooth[pool]
		if !known {
			earlier = float64(spare)
		}
		smooth[pool] = earlier + spareGain*(float64(spare)-earlier)
		room[pool] = int(math.Ceil(smooth[pool]))
	}
	l.smooth = smooth
	return room
}

func (l *Loads) newsFor(member machine.InstanceID, now time.Time) []*zonepb.ZoneLoad {
	var news []*zonepb.ZoneLoad
	for _, one := range l.zones {
		if now.Sub(one.receivedAt) < loadExpires && !one.known[member] {
			one.known[member] = true
			news = append(news, one.message)
		}
	}
	return news
}

// Receive implements link.Topic.
func (l *Loads) Receive(from machine.Member, payload []byte) {
	message := &zonepb.Loads{}
	if err := proto.Unmarshal(payload, message); err != nil {
		l.log.Warn("loads not decoded", "peer", from.ID, "error", err)
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range message.GetZones() {
		if one.GetZone() != l.members.Self().Zone && len(one.GetPools()) <= maxPools {
			l.take(from, one, now)
		}
	}
}

func (l *Loads) take(from machine.Member, message *zonepb.ZoneLoad, now time.Time) {
	held := l.zones[message.GetZone()]
	if held != nil && held.message.GetAtMs() == message.GetAtMs() {
		held.known[from.ID] = true
		return
	}
	newer := held == nil || message.GetAtMs() > held.message.GetAtMs() || now.Sub(held.receivedAt) > loadReplace
	if !newer || held == nil && len(l.zones) >= maxZones {
		return
	}
	l.zones[message.GetZone()] = &zoneReport{
		message:    message,
		receivedAt: now,
		known:      map[machine.InstanceID]bool{from.ID: true},
		forwarded:  make(map[uint32]int),
	}
}

// Forwarded notes that this instance sent a request to another zone, so that one report does not
// attract everything.
func (l *Loads) Forwarded(zone, pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if one := l.zones[zone]; one != nil {
		one.forwarded[poolKey(pool)]++
	}
}

// Zones returns this instance's part of the room in other zones in service, by zone name. It is
// made anew for each call; ask only when the own zone has no room.
func (l *Loads) Zones() []decide.ZoneLoad {
	snapshot := l.source.Current()
	if snapshot == nil {
		return nil
	}
	at, sharers := l.place()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var loads []decide.ZoneLoad
	for name, one := range l.zones {
		if now.Sub(one.receivedAt) < loadExpires && snapshot.ZoneInService(name) {
			loads = append(loads, one.load(snapshot, at, sharers))
		}
	}
	slices.SortFunc(loads, func(a, b decide.ZoneLoad) int { return cmp.Compare(a.Zone, b.Zone) })
	return loads
}

// place returns this instance's position among the live members of its zone and their number.
func (l *Loads) place() (at, sharers int) {
	self := l.members.Self()
	for _, member := range l.members.Live() {
		if member.Zone != self.Zone {
			continue
		}
		if member.ID < self.ID {
			at++
		}
		sharers++
	}
	return at, max(sharers, 1)
}

// load divides the reported room among the members of the own zone: every instance sees the same
// report, and together they should not send more than fits.
func (r *zoneReport) load(snapshot *contract.Snapshot, at, sharers int) decide.ZoneLoad {
	load := decide.ZoneLoad{Zone: r.message.GetZone(), Spare: make(map[string]int), At: r.receivedAt}
	byKey := make(map[uint32]int, len(r.message.GetPools()))
	for _, pool := range r.message.GetPools() {
		byKey[pool.GetPool()] = int(pool.GetSpare())
	}
	for name := range snapshot.Pools {
		key := poolKey(name)
		spare := byKey[key]
		part := spare / sharers
		if (at+int(r.message.GetAtMs()/1000))%sharers < spare%sharers {
			part++ // the remainder goes round
		}
		if part > r.forwarded[key] {
			load.Spare[name] = part - r.forwarded[key]
		}
	}
	return load
}

func poolKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
