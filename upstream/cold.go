package upstream

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/machine"
)

// bucket admits requests at a rate. A full bucket holds one request, so that instances together
// never start more than one each at the same moment.
type bucket struct {
	level float64
	at    time.Time
}

// take takes one request out of the bucket if it holds one.
func (b *bucket) take(rate float64, now time.Time) bool {
	if !b.ready(rate, now) {
		return false
	}
	b.level--
	return true
}

// ready fills the bucket and says whether it holds a request. A new bucket is empty: what other
// instances have just sent is not known.
func (b *bucket) ready(rate float64, now time.Time) bool {
	if b.at.IsZero() {
		b.at = now
	}
	b.level = math.Min(1, b.level+rate*now.Sub(b.at).Seconds())
	b.at = now
	return b.level >= 1
}

// minColdShare is the lowest rate, in requests a second, that one instance gets of a cold endpoint.
// Below it the instances would spend most of the endpoint's rate on the first request of each.
const minColdShare = 2

// coldShare is the rate at which this instance may use a cold endpoint that bears rate requests a
// second. The rate is split evenly over as many instances as get minColdShare each; which of them
// follows from a hash, so that instances need not agree on it. 0 means that others use it.
func coldShare(endpoint uint64, rate float64, self machine.InstanceID, members []machine.Member) float64 {
	users := max(1, int(rate/minColdShare))
	if len(members) <= users {
		return rate / float64(max(len(members), 1))
	}
	own := memberRank(endpoint, self)
	ahead := 0
	for _, member := range members {
		if member.ID != self && memberRank(endpoint, member.ID) > own {
			ahead++
		}
	}
	if ahead >= users {
		return 0
	}
	return rate / float64(users)
}

// memberRank orders instances for an endpoint by rendezvous hashing (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998).
func memberRank(endpoint uint64, member machine.InstanceID) uint64 {
	key := slices.Concat(bytesOf(endpoint), []byte(member))
	return xxhash.Sum64(key)
}

func bytesOf(n uint64) []byte {
	out := make([]byte, 8)
	for i := range out {
		out[i] = byte(n >> (8 * i))
	}
	return out
}
