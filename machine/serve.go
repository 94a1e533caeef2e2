package machine

import (
	"context"
	"time"

	"plumbarrow.example/plumbarrow/machine/machinepb"
)

// Sync implements machinepb.DRPCPermitsServer: the home's side of the permits.
func (p *SharedPermits) Sync(_ context.Context, request *machinepb.SyncRequest) (*machinepb.SyncResponse, error) {
	response := &machinepb.SyncResponse{}
	freed := make(map[string]bool)
	for _, message := range request.GetHoldings() {
		standing, pool := p.syncOne(InstanceID(request.GetHolder()), request.GetHolderIncarnation(), message)
		response.Standings = append(response.Standings, standing)
		if pool != "" {
			freed[pool] = true
		}
	}
	for pool := range freed {
		p.Freed(pool)
	}
	return response, nil
}

// syncOne takes in one holding and grants a permit if asked and possible. pool is set if the
// report gave permits back.
func (p *SharedPermits) syncOne(holder InstanceID, incarnation string, message *machinepb.Holding) (standing *machinepb.Standing, pool string) {
	standing = &machinepb.Standing{Endpoint: message.GetEndpoint()}
	one := p.Table.get(EndpointID(message.GetEndpoint()))
	if one == nil {
		return standing, ""
	}
	now := time.Now()
	ring := p.ring.Load()
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.endpoint.Incarnation != message.GetIncarnation() {
		return standing, ""
	}
	_, cold := one.adopt(warmth{epoch: message.GetEpoch()}, now, p.settledAt())
	if one.home.self {
		standing.Home = true
	}
	// While instances use their own slots they do not report, so that a late report would stay.
	if one.home.self && !one.sharing() {
		known, current := one.report(holder, incarnation, message, now)
		if current && message.GetWant() {
			may := !cold && !p.stalled(now) && message.GetEpoch() == one.warmth.epoch
			standing.Granted = may && one.grant(ring, holder, known.held, &known.turn, now)
			known.asked(standing.GetGranted(), now)
		}
		one.share(ring, now)
		if !message.GetWant() {
			pool = one.endpoint.Pool
		}
	}
	standing.Epoch = one.warmth.epoch
	standing.Progress = one.warmth.progress
	standing.Shared = one.warmth.shared
	return standing, pool
}
