package decide

import (
	"slices"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
)

// Target holds an attempt's requirements on an endpoint, and the state to check them against.
type Target struct {
	Snapshot *contract.Snapshot
	Request  *Request
	Pool     *contract.Pool
	Version  contract.VersionID // zero for services
	Observed *Observation
	Excluded []machine.EndpointID
}

// Filter excludes endpoints that must not receive an attempt.
type Filter interface {
	// Name returns the reason recorded in notes for an endpoint that the filter excludes.
	Name() string
	// Fits reports whether the endpoint may receive the attempt.
	Fits(target *Target, endpoint *machine.Endpoint) bool
}

// NotLeaving excludes endpoints that are shutting down.
type NotLeaving struct{}

var _ Filter = NotLeaving{}

// Name implements Filter.
func (NotLeaving) Name() string { return "leaving" }

// Fits implements Filter.
func (NotLeaving) Fits(_ *Target, endpoint *machine.Endpoint) bool { return !endpoint.Leaving }

// Healthy excludes endpoints whose circuit breaker is open.
type Healthy struct{}

var _ Filter = Healthy{}

// Name implements Filter.
func (Healthy) Name() string { return "unhealthy" }

// Fits implements Filter.
func (Healthy) Fits(_ *Target, endpoint *machine.Endpoint) bool { return endpoint.Healthy }

// SameVersion excludes engines that have another version loaded.
type SameVersion struct{}

var _ Filter = SameVersion{}

// Name implements Filter.
func (SameVersion) Name() string { return "other_version" }

// Fits implements Filter.
func (SameVersion) Fits(target *Target, endpoint *machine.Endpoint) bool {
	return endpoint.Version == target.Version
}

// BelowLimit excludes endpoints at which this instance has used its concurrency limit.
type BelowLimit struct{}

var _ Filter = BelowLimit{}

// Name implements Filter.
func (BelowLimit) Name() string { return "at_limit" }

// Fits implements Filter.
func (BelowLimit) Fits(_ *Target, endpoint *machine.Endpoint) bool {
	return endpoint.InFlight < endpoint.Limit
}

// NotExcluded excludes the endpoints in Target.Excluded: those that failed the request or had no permit
// left for it.
type NotExcluded struct{}

var _ Filter = NotExcluded{}

// Name implements Filter.
func (NotExcluded) Name() string { return "excluded" }

// Fits implements Filter.
func (NotExcluded) Fits(target *Target, endpoint *machine.Endpoint) bool {
	return !slices.Contains(target.Excluded, endpoint.ID)
}

// ZoneInService excludes endpoints in zones that operators have taken out of service.
type ZoneInService struct{}

var _ Filter = ZoneInService{}

// Name implements Filter.
func (ZoneInService) Name() string { return "zone_out" }

// Fits implements Filter.
func (ZoneInService) Fits(target *Target, endpoint *machine.Endpoint) bool {
	return target.Snapshot.ZoneInService(endpoint.Zone)
}

// Filters returns the filters of the default pipeline, cheapest first.
func Filters() []Filter {
	return []Filter{NotLeaving{}, Healthy{}, BelowLimit{}, SameVersion{}, NotExcluded{}, ZoneInService{}}
}
