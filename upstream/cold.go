package upstream

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/machine"
)

// pacer limits the rate of requests to one in each interval, as GCRA without a burst does: the instances together never start more than
// one request each at the same moment. It counts in nanoseconds, since fractions of a request would be rounded differently by processors
// that fuse multiplication and addition.
type pacer struct {
	last time.Time // of the last request, at first of the first question
}

// take reports whether a request is admitted, and counts it if so. rate is in requests per second.
func (p *pacer) take(rate float64, now time.Time) bool {
	if !p.ready(rate, now) {
		return false
	}
	p.last = now
	return true
}

// ready reports whether a request would be admitted. A new pacer admits none in its first interval, because other instances may just
// have sent requests.
func (p *pacer) ready(rate float64, now time.Time) bool {
	if p.last.IsZero() {
		p.last = now
	}
	return rate > 0 && now.Sub(p.last) >= duration(1/rate)
}

// duration returns a number of seconds as a duration, at most a day.
func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, (24*time.Hour).Seconds()) * float64(time.Second))
}

// minColdRate is the lowest rate, in requests per second, that one instance is given at a cold endpoint.
// At lower rates the first request of each instance would use up most of the endpoint's rate.
const minColdRate = 2

// instanceColdRate returns the rate, in requests per second, at which this instance may use a cold
// endpoint whose total is rate. The total is split evenly over as many instances as can get minColdRate
// each. Rendezvous hashing selects these instances without coordination; the result is 0 for the others.
func instanceColdRate(endpoint uint64, rate float64, self machine.InstanceID, members []machine.Member) float64 {
	return splitRate(endpoint, rate, max(1, int(rate/minColdRate)), self, members)
}

// splitRate splits a rate evenly over userCount of the instances and returns the part of the instance self.
func splitRate(endpoint uint64, rate float64, userCount int, self machine.InstanceID, members []machine.Member) float64 {
	if len(members) <= userCount {
		return rate / float64(max(len(members), 1))
	}
	ownWeight := rendezvousWeight(endpoint, self)
	higher := 0
	for _, member := range members {
		if member.ID != self && rendezvousWeight(endpoint, member.ID) > ownWeight {
			higher++
		}
	}
	if higher >= userCount {
		return 0
	}
	return rate / float64(userCount)
}

// rendezvousWeight returns the weight of an instance for an endpoint in rendezvous hashing (Thaler and
// Ravishankar, "Using name-based mappings to increase hit rates", 1998).
func rendezvousWeight(endpoint uint64, member machine.InstanceID) uint64 {
	buffer := make([]byte, 0, 64) // on the stack
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(buffer, endpoint), member...))
}

// splitFunc returns the part of the instance self of an endpoint's rate.
type splitFunc func(endpoint uint64, rate float64, self machine.InstanceID, members []machine.Member) float64

// rateShare is the result of a splitFunc for the members and the rate that it was computed from.
type rateShare struct {
	members []machine.Member
	rate    float64
	share   float64
}

// of returns the instance's rate at the endpoint. It computes it again only if the members or the rate have
// changed.
func (c *rateShare) of(split splitFunc, endpoint uint64, rate float64, self machine.InstanceID, members []machine.Member) float64 {
	same := len(members) == len(c.members) && (len(members) == 0 || &members[0] == &c.members[0])
	if !same || rate != c.rate || c.members == nil {
		*c = rateShare{members: members, rate: rate, share: split(endpoint, rate, self, members)}
	}
	return c.share
}
