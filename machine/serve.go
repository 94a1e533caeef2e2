package machine

import (
	"context"
	"time"

	"plumbarrow.example/plumbarrow/machine/machinepb"
)

// Sync implements machinepb.DRPCPermitsServer: it serves holders of permits as the home of
// endpoints. For an endpoint or incarnation that this instance does not list, the answer holds the
// endpoint's id only.
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
		p.PermitFreed(pool)
	}
	return response, nil
}

// syncOne applies one holding and grants a permit if one is requested and free. pool is set if the
// report may have returned permits.
func (p *SharedPermits) syncOne(holder InstanceID, incarnation string, message *machinepb.Holding) (standing *machinepb.Standing, pool string) {
	standing = &machinepb.Standing{Endpoint: message.GetEndpoint()}
	target := p.Table.get(EndpointID(message.GetEndpoint()))
	if target == nil {
		return standing, ""
	}
	now := time.Now()
	ring := p.ring.Load()
	target.mu.Lock()
	defer target.mu.Unlock()
	if target.endpoint.Incarnation != message.GetIncarnation() {
		return standing, ""
	}
	_, cold := target.mergeState(replicatedState{epoch: message.GetEpoch()}, now, p.earliestGrant())
	if target.home.isSelf {
		standing.Home = true
	}
	// Instances send no reports while they use their own slots, so a late report recorded then
	// would never be replaced.
	if target.home.isSelf && !target.usesOwnSlots() {
		state, current := target.applyReport(holder, incarnation, message, now)
		if current && message.GetWant() {
			eligible := !cold && !p.stalled(now) && message.GetEpoch() == target.replicated.epoch
			standing.Granted = eligible && target.mayGrant(ring, holder, state.held, &state.wait, now)
			state.recordRequest(standing.GetGranted(), now)
		}
		target.trySwitchToSlots(ring, now)
		if !message.GetWant() {
			pool = target.endpoint.Pool
		}
	}
	standing.Epoch = target.replicated.epoch
	standing.Progress = target.replicated.progress
	standing.Shared = target.replicated.ownSlots
	return standing, pool
}
