package decide

import (
	"math/rand/v2"

	"plumbarrow.example/plumbarrow/verdict"
)

// MaxHops is the number of times that a request may be forwarded to another zone.
const MaxHops = 1

// spill chooses another zone for an attempt that the instance's own zone cannot take. Candidates are
// zones in service with a recent report of spare capacity. The zone is drawn with a probability
// proportional to that capacity, so that instances with the same reports do not all choose the same
// zone. Requests with the same prompt prefix draw the same number and so share one zone's caches. While
// the own zone is out of service, zones without spare capacity are candidates too.
func (p *Pipeline) spill(target *Target, random *rand.Rand) (Choice, *verdict.Refusal) {
	if refusal := p.checkHop(target); refusal != nil {
		return Choice{}, refusal
	}
	minCapacity := 0
	if !target.Snapshot.ZoneInService(target.Observed.Zone) {
		// Requests cannot be queued in this zone, and a queue in another zone is better than a refusal.
		minCapacity = 1
	}
	total := 0
	for i := range target.Observed.Zones {
		total += p.usableCapacity(target, &target.Observed.Zones[i], minCapacity)
	}
	if total == 0 {
		return Choice{}, refuseNoCapacity(target)
	}
	point := int(draw(target.Request, random) * float64(total))
	for i := range target.Observed.Zones {
		zone := &target.Observed.Zones[i]
		usableCapacity := p.usableCapacity(target, zone, minCapacity)
		if point < usableCapacity {
			note := Note{Stage: "zone", Reason: "spill_to_" + zone.Zone, Value: float64(usableCapacity)}
			return Choice{Zone: zone.Zone, Pool: target.Pool.Name, Version: target.Version, Notes: []Note{note}}, nil
		}
		point -= usableCapacity
	}
	return Choice{}, refuseNoCapacity(target)
}

// draw returns a number in [0, 1): a hash of the prompt prefix, or a random one without a prefix.
func draw(request *Request, random *rand.Rand) float64 {
	if request.PrefixHash == 0 {
		return random.Float64()
	}
	const bits = 53
	return float64(mix(request.PrefixHash)>>(64-bits)) / (1 << bits)
}

// checkHop refuses a request that must not be forwarded to another zone: one at the hop limit or too
// close to its deadline.
func (p *Pipeline) checkHop(target *Target) *verdict.Refusal {
	if target.Request.Hops >= MaxHops {
		if !target.Snapshot.ZoneInService(target.Observed.Zone) {
			return refuseNoCapacity(target)
		}
		return verdict.Refuse(verdict.HopLimit, "pool %s is full and the request was already passed on", target.Pool.Name)
	}
	remaining := target.Request.Deadline.Sub(target.Observed.Now)
	if remaining < p.settings.spillMin() {
		return verdict.Refuse(verdict.DeadlineExceeded, "no time is left to reach another zone")
	}
	return nil
}

// usableCapacity returns the spare capacity of a zone for the target's pool, at least minCapacity. It is
// 0 for a zone that must not be used: the own one, one out of service or one whose report is too old.
func (p *Pipeline) usableCapacity(target *Target, zone *ZoneLoad, minCapacity int) int {
	if zone.Zone == target.Observed.Zone || !target.Snapshot.ZoneInService(zone.Zone) {
		return 0
	}
	if target.Observed.Now.Sub(zone.At) > p.settings.spillMaxAge() {
		return 0
	}
	return max(zone.Spare[target.Pool.Name], minCapacity)
}

func refuseNoCapacity(target *Target) *verdict.Refusal {
	if !target.Snapshot.ZoneInService(target.Observed.Zone) {
		return verdict.Refuse(verdict.ZoneOutOfService, "zone %s is out of service and no other zone has room", target.Observed.Zone)
	}
	return verdict.Refuse(verdict.NoEndpoint, "no endpoint of pool %s can take the request", target.Pool.Name)
}
