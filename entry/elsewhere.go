package entry

import (
	"errors"

	"plumbarrow.example/plumbarrow/verdict"
)

// errElsewhere asks for the request to be served in another zone; any one if zone is empty.
type errElsewhere struct{ zone string }

var _ error = errElsewhere{}

// Error implements error.
func (e errElsewhere) Error() string { return "serve in another zone: " + e.zone }

// elsewhereOf returns the zone that should serve the request instead; "" is any zone.
func elsewhereOf(err error) (zone string, ok bool) {
	var elsewhere errElsewhere
	ok = errors.As(err, &elsewhere)
	return elsewhere.zone, ok
}

// moved turns a refusal into a hop when the own zone went out of service while the request waited
// and nothing of it has run or been passed on.
func (w *work) moved(err error) error {
	var refusal *verdict.Refusal
	out := errors.As(err, &refusal) && refusal.Reason == verdict.ZoneOutOfService
	if out && w.outcome == verdict.NotRun && w.request.Hops < maxHops && w.server.Forwarder != nil {
		return errElsewhere{}
	}
	return err
}
