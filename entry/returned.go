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

// errReturned is the refusal of another zone that went out of service meanwhile. The request was
// not run there.
type errReturned struct{ refusal *verdict.Refusal }

var _ error = errReturned{}

// Error implements error.
func (e errReturned) Error() string { return e.refusal.Error() }

// returned says whether a forwarded request came back because the other zone can't take it.
func returned(answer *link.Answer, body []byte) error {
	if answer.Status < http.StatusInternalServerError || link.ForwardVerdict(answer) != verdict.NotRun {
		return nil
	}
	var refused openai.ErrorBody
	if json.Unmarshal(body, &refused) != nil {
		return nil
	}
	switch reason := verdict.Reason(refused.Error.Reason); reason {
	case verdict.ZoneOutOfService, verdict.HopLimit, verdict.Stopping:
		return errReturned{verdict.Refuse(reason, "%s", refused.Error.Message)}
	default:
		return nil
	}
}

// forwardOr sends the request to another zone. If that one can't take it after all and the own zone
// is in service, serve serves it here.
func (s *Server) forwardOr(w *work, c echo.Context, zone string, body []byte, serve func() error) error {
	err := s.forward(w, c, zone, body)
	var back errReturned
	if !errors.As(err, &back) {
		return err
	}
	if w.request.Hops > 0 || !s.Source.Current().ZoneInService(s.Self.Zone) {
		return w.fail(back.refusal)
	}
	w.bound = true
	err = serve()
	if _, elsewhere := elsewhereOf(err); elsewhere {
		return w.fail(back.refusal) // this zone went out too
	}
	return err
}
