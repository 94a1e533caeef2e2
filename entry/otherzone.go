package entry

import (
	"errors"

	"plumbarrow.example/plumbarrow/verdict"
)

// errOtherZone reports that the request should be forwarded to the zone, or to any other zone in
// service if zone is empty.
type errOtherZone struct{ zone string }

var _ error = errOtherZone{}

// Error implements error.
func (e errOtherZone) Error() string { return "forward to another zone: " + e.zone }

// otherZoneOf reports whether err asks for another zone, and which; "" means any zone.
func otherZoneOf(err error) (zone string, ok bool) {
	var otherZone errOtherZone
	ok = errors.As(err, &otherZone)
	return otherZone.zone, ok
}

// forwardIfOutOfService replaces a refusal by errOtherZone if this zone was taken out of service
// while the request was queued, no attempt may have run and the hop limit allows forwarding.
func (r *requestState) forwardIfOutOfService(err error) error {
	var refusal *verdict.Refusal
	outOfService := errors.As(err, &refusal) && refusal.Reason == verdict.ZoneOutOfService
	if outOfService && r.worstVerdict == verdict.NotRun && r.request.Hops < maxHops && r.server.Forwarder != nil {
		return errOtherZone{}
	}
	return err
}

// forwardIfUnreachable replaces a refusal by errOtherZone if no attempt has reached an endpoint and the hop limit allows forwarding. An instance
// can lose its links to all endpoints of its zone while other zones still reach theirs.
func (r *requestState) forwardIfUnreachable(err error) error {
	if r.unsent > 0 && r.unsent == len(r.record.Attempts) && r.request.Hops < maxHops && r.server.Forwarder != nil {
		return errOtherZone{}
	}
	return err
}
