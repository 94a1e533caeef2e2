package decide

import (
	"math/rand/v2"

	"plumbarrow.example/plumbarrow/verdict"
)

// MaxHops is how many entry instances may pass a request on to another zone.
const MaxHops = 1

// spill chooses another zone for an attempt that the own zone can't take: one in service that
// reported spare capacity lately, drawn in proportion to it so that instances with the same reports
// spread out. Requests with the same prompt prefix draw alike and so meet in one zone's caches. While
// the own zone is out of service a zone without spare capacity will do too.
func (p *Pipeline) spill(target *Target, random *rand.Rand) (Choice, *verdict.Refusal) {
	if refusal := p.mayHop(target); refusal != nil {
		return Choice{}, refusal
	}
	least := 0
	if !target.Snapshot.ZoneInService(target.Seen.Zone) {
		// Nothing can wait here, so a queue elsewhere is better than a refusal.
		least = 1
	}
	total := 0
	for i := range target.Seen.Zones {
		total += p.room(target, &target.Seen.Zones[i], least)
	}
	if total == 0 {
		return Choice{}, nowhere(target)
	}
	point := int(draw(target.Request, random) * float64(total))
	for i := range target.Seen.Zones {
		zone := &target.Seen.Zones[i]
		room := p.room(target, zone, least)
		if point < room {
			note := Note{Stage: "zone", Reason: "spill_to_" + zone.Zone, Value: float64(room)}
			return Choice{Zone: zone.Zone, Pool: target.Pool.Name, Version: target.Version, Notes: []Note{note}}, nil
		}
		point -= room
	}
	return Choice{}, nowhere(target)
}

// draw returns a number in [0, 1).
func draw(request *Request, random *rand.Rand) float64 {
	if request.PrefixHash == 0 {
		return random.Float64()
	}
	const bits = 53
	return float64(mix(request.PrefixHash)>>(64-bits)) / (1 << bits)
}

// mayHop says whether the request may be passed on at all.
func (p *Pipeline) mayHop(target *Target) *verdict.Refusal {
	if target.Request.Hops >= MaxHops {
		if !target.Snapshot.ZoneInService(target.Seen.Zone) {
			return nowhere(target)
		}
		return verdict.Refuse(verdict.HopLimit, "pool %s is full and the request was already passed on", target.Pool.Name)
	}
	left := target.Request.Deadline.Sub(target.Seen.Now)
	if left < p.settings.spillMin() {
		return verdict.Refuse(verdict.DeadlineExceeded, "no time is left to reach another zone")
	}
	return nil
}

// room is the spare capacity of a zone, at least least; 0 for a zone that must not be used.
func (p *Pipeline) room(target *Target, zone *ZoneLoad, least int) int {
	if zone.Zone == target.Seen.Zone || !target.Snapshot.ZoneInService(zone.Zone) {
		return 0
	}
	if target.Seen.Now.Sub(zone.At) > p.settings.spillMaxAge() {
		return 0
	}
	return max(zone.Spare[target.Pool.Name], least)
}

func nowhere(target *Target) *verdict.Refusal {
	if !target.Snapshot.ZoneInService(target.Seen.Zone) {
		return verdict.Refuse(verdict.ZoneOutOfService, "zone %s is out of service and no other zone has room", target.Seen.Zone)
	}
	return verdict.Refuse(verdict.NoEndpoint, "no endpoint of pool %s can take the request", target.Pool.Name)
}
