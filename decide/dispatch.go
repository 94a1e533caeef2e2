package decide

import (
	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// Dispatchable checks a choice against the configuration in force at the moment of dispatch: a
// version withdrawn, a zone taken out or a permission revoked since the choice was made stops it.
// nil means go; a refusal has the verdict NotRun.
func Dispatchable(snapshot *contract.Snapshot, request *Request, choice *Choice) *verdict.Refusal {
	zone := choice.Endpoint.Zone
	if !snapshot.ZoneInService(zone) {
		return verdict.Refuse(verdict.ZoneOutOfService, "zone %s is out of service", zone)
	}
	customer := snapshot.Customers[request.Customer.Name]
	if customer == nil {
		return verdict.Refuse(verdict.UnknownKey, "the customer is no longer configured")
	}
	if choice.Version == (contract.VersionID{}) {
		return nil
	}
	version := snapshot.Versions[choice.Version]
	if version == nil || version.State == contract.VersionWithdrawn {
		return verdict.Refuse(verdict.VersionWithdrawn, "version %s is withdrawn", choice.Version)
	}
	if !customer.Allows(choice.Version) {
		return verdict.Refuse(verdict.ModelNotAllowed, "customer %s may not use %s", customer.Name, choice.Version)
	}
	return nil
}
