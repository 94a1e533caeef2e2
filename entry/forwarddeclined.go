package entry

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// errForwardDeclined is the refusal of a zone that can't take a forwarded request, for example because
// it was just taken out of service or has no memory for it. The request has not run there.
type errForwardDeclined struct{ refusal *verdict.Refusal }

var _ error = errForwardDeclined{}

// Error implements error.
func (e errForwardDeclined) Error() string { return e.refusal.Error() }

// forwardDeclined returns errForwardDeclined if the answer says that the other zone can't take the
// forwarded request and has not run it, and nil otherwise.
func forwardDeclined(answer *link.Answer, body []byte) error {
	if answer.Status < http.StatusInternalServerError || link.ForwardVerdict(answer) != verdict.NotRun {
		return nil
	}
	var refused openai.ErrorBody
	if json.Unmarshal(body, &refused) != nil {
		return nil
	}
	switch reason := verdict.Reason(refused.Error.Reason); reason {
	case verdict.ZoneOutOfService, verdict.HopLimit, verdict.Stopping, verdict.InstanceFull:
		return errForwardDeclined{verdict.Refuse(reason, "%s", refused.Error.Message)}
	default:
		return nil
	}
}

// forwardOrServe forwards the request to another zone. If every zone declines it and this zone is in
// service, it calls serve to serve the request here.
func (s *Server) forwardOrServe(r *requestState, c echo.Context, zone string, body []byte, serve func() error) error {
	err := s.forward(r, c, zone, body)
	var declined errForwardDeclined
	if !errors.As(err, &declined) {
		return err
	}
	if r.request.Hops > 0 || !s.Source.Current().ZoneInService(s.Self.Zone) {
		return r.fail(declined.refusal)
	}
	r.zoneBound = true
	err = serve()
	if _, otherZone := otherZoneOf(err); otherZone {
		return r.fail(declined.refusal) // this zone was taken out of service too
	}
	return err
}
