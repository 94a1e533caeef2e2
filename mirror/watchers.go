package mirror

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/machine"
)

const (
	// minWatchers is the number of watchers of a small fleet. With two, one can fail without the others
	// having to call the store.
	minWatchers = 2
	// membersPerWatcher is the number of members for which one more watcher is added. It bounds the polls
	// that a watcher serves.
	membersPerWatcher = 80
)

// Watchers selects the few instances of a fleet that watch the store. Each other instance polls one of them
// for changes. The selection needs no coordination: instances that disagree on the members only choose
// sources that are less fresh, which they detect. Safe for concurrent use.
type Watchers struct {
	members machine.Members

	mu       sync.Mutex
	live     []machine.Member // for which the fields below were computed
	watching bool
	standby  bool
	sources  []machine.Member
	standbys []machine.Member
}

// NewWatchers returns the selection among the live members.
func NewWatchers(members machine.Members) *Watchers { return &Watchers{members: members} }

// Watching reports whether this instance is one of the watchers.
func (w *Watchers) Watching() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update()
	return w.watching
}

// Sources returns the other watchers in the order in which this instance prefers them. The orders of
// different instances differ, so that watchers share the polls evenly. Callers must not modify the result.
func (w *Watchers) Sources() []machine.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update()
	return w.sources
}

// Standbys returns the members that watch in place of watchers whose copies are not fresh, in the order in which this instance prefers them, and whether
// it is one of them. Callers must not modify the result.
func (w *Watchers) Standbys() (standbys []machine.Member, standby bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update()
	return w.standbys, w.standby
}

// update selects again if the live members have changed. The caller holds the lock.
func (w *Watchers) update() {
	live := w.members.Live()
	if len(live) == len(w.live) && len(live) > 0 && &live[0] == &w.live[0] {
		return
	}
	self := w.members.Self().ID
	isSelf := func(m machine.Member) bool { return m.ID == self }
	ranked := rankWatchers(live)
	count := min(watcherCount(len(live)), len(ranked))
	watchers, standbys := ranked[:count], ranked[count:min(2*count, len(ranked))]
	w.live = live
	w.watching, w.standby = slices.ContainsFunc(watchers, isSelf), slices.ContainsFunc(standbys, isSelf)
	w.sources = rankMembers(slices.DeleteFunc(slices.Clone(watchers), isSelf), string(self)+"/")
	w.standbys = rankMembers(slices.DeleteFunc(slices.Clone(standbys), isSelf), string(self)+"/")
}

// rankWatchers returns the members in the order in which they are chosen to watch: those with the fastest links first, by rendezvous hashing among equal
// ones.
func rankWatchers(members []machine.Member) []machine.Member {
	ranked := rankMembers(members, "watcher/")
	slices.SortStableFunc(ranked, func(a, b machine.Member) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	return ranked
}

// watcherCount returns how many watchers a fleet has, and how many standbys.
func watcherCount(members int) int { return minWatchers + members/membersPerWatcher }

// defaultLinkMbps is the rate of a link that is not known, in Mbit/s.
const defaultLinkMbps = 10

// replyCapacity returns the bytes a second that this instance's link carries, and how many instances a watcher serves; at least one.
func (w *Watchers) replyCapacity() (bytesPerSecond float64, receivers int) {
	members := len(w.members.Live())
	mbps := w.members.Self().LinkMbps
	if mbps <= 0 {
		mbps = defaultLinkMbps
	}
	return mbps * 1e6 / 8, max(members/watcherCount(members), 1)
}

// rankMembers returns the members by descending hash of key and id.
func rankMembers(members []machine.Member, key string) []machine.Member {
	type weighted struct {
		member machine.Member
		weight uint64
	}
	weights := make([]weighted, len(members))
	for i, member := range members {
		weights[i] = weighted{member, xxhash.Sum64String(key + string(member.ID))}
	}
	slices.SortFunc(weights, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	ranked := make([]machine.Member, len(members))
	for i, w := range weights {
		ranked[i] = w.member
	}
	return ranked
}
