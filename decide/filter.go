package decide

import (
	"slices"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
)

// Target is what an attempt asks of an endpoint.
type Target struct {
	Snapshot *contract.Snapshot
	Request  *Request
	Pool     *contract.Pool
	Version  contract.VersionID // zero for services
	Seen     *Observation
	Excluded []machine.EndpointID
}

// Filter says whether an endpoint may take an attempt at all.
type Filter interface {
	// Name is the reason in notes for an endpoint that the filter stops.
	Name() string
	Fits(target *Target, endpoint *machine.Endpoint) bool
}

// NotLeaving stops endpoints that are about to stop.
type NotLeaving struct{}

var _ Filter = NotLeaving{}

// Name implements Filter.
func (NotLeaving) Name() string { return "leaving" }

// Fits implements Filter.
func (NotLeaving) Fits(_ *Target, endpoint *machine.Endpoint) bool { return !endpoint.Leaving }

// Healthy stops endpoints whose breaker is open.
type Healthy struct{}

var _ Filter = Healthy{}

// Name implements Filter.
func (Healthy) Name() string { return "unhealthy" }

// Fits implements Filter.
func (Healthy) Fits(_ *Target, endpoint *machine.Endpoint) bool { return endpoint.Healthy }

// SameVersion stops engines that have another version loaded.
type SameVersion struct{}

var _ Filter = SameVersion{}

// Name implements Filter.
func (SameVersion) Name() string { return "other_version" }

// Fits implements Filter.
func (SameVersion) Fits(target *Target, endpoint *machine.Endpoint) bool {
	return endpoint.Version == target.Version
}

// BelowLimit stops endpoints without a free permit.
type BelowLimit struct{}

var _ Filter = BelowLimit{}

// Name implements Filter.
func (BelowLimit) Name() string { return "at_limit" }

// Fits implements Filter.
func (BelowLimit) Fits(_ *Target, endpoint *machine.Endpoint) bool {
	return endpoint.InFlight < endpoint.Limit
}

// NotExcluded stops endpoints that earlier attempts of the request have tried.
type NotExcluded struct{}

var _ Filter = NotExcluded{}

// Name implements Filter.
func (NotExcluded) Name() string { return "excluded" }

// Fits implements Filter.
func (NotExcluded) Fits(target *Target, endpoint *machine.Endpoint) bool {
	return !slices.Contains(target.Excluded, endpoint.ID)
}

// ZoneInService stops endpoints of zones that operators have taken out.
type ZoneInService struct{}

var _ Filter = ZoneInService{}

// Name implements Filter.
func (ZoneInService) Name() string { return "zone_out" }

// Fits implements Filter.
func (ZoneInService) Fits(target *Target, endpoint *machine.Endpoint) bool {
	return target.Snapshot.ZoneInService(endpoint.Zone)
}

// Filters returns the filters of the default pipeline, the cheap ones first.
func Filters() []Filter {
	return []Filter{NotLeaving{}, Healthy{}, BelowLimit{}, SameVersion{}, NotExcluded{}, ZoneInService{}}
}
