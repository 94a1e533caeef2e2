package decide

import (
	"slices"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// Dispatchable checks a choice against the configuration in force at dispatch. It refuses the attempt
// if, since the choice was made, the version was withdrawn or set to draining, the zone was taken out
// of service, a permission was revoked or the pool was removed from the route. It uses only the names
// in the request and looks the objects up in snapshot. It returns nil if the attempt may be dispatched;
// a refusal has the verdict NotRun.
func Dispatchable(snapshot *contract.Snapshot, request *Request, choice *Choice) *verdict.Refusal {
	zone := choice.Endpoint.Zone
	if choice.Zone != "" {
		zone = choice.Zone
	}
	if !snapshot.ZoneInService(zone) {
		return verdict.Refuse(verdict.ZoneOutOfService, "zone %s is out of service", zone)
	}
	customer := snapshot.Customers[request.Customer.Name]
	if customer == nil {
		return verdict.Refuse(verdict.UnknownKey, "the customer is no longer configured")
	}
	route := snapshot.Routes[request.Route.Name]
	if route == nil || !slices.Contains(route.Customers, customer.Name) {
		return verdict.Refuse(verdict.ModelNotAllowed, "route %s is no longer open to customer %s", request.Route.Name, customer.Name)
	}
	pool := snapshot.Pools[choice.Pool]
	if pool == nil || !slices.Contains(route.Pools, pool.Name) {
		return verdict.Refuse(verdict.NoEndpoint, "pool %s is no longer on route %s", choice.Pool, route.Name)
	}
	if pool.Kind == contract.PoolService {
		return nil
	}
	if choice.Zone == "" && choice.Endpoint.Version != choice.Version {
		return verdict.Refuse(verdict.VersionMismatch, "endpoint %s serves %s", choice.Endpoint.ID, choice.Endpoint.Version)
	}
	current := *request
	current.Customer, current.Route = customer, route
	return versionAllowed(snapshot, &current, pool, choice.Version)
}
