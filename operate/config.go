package operate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/replica"
)

const (
	spreadPollInterval  = 200 * time.Millisecond
	maxSpreadWait       = time.Minute
	defaultHistoryLimit = 32
	maxHistoryLimit     = 20_000
	storeReadTimeout    = 10 * time.Second
)

// config returns the configuration in force at this instance, without access to the store.
func (s *Server) config(c echo.Context) error {
	record, ok := s.Configuration.ActiveRecord()
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no configuration is in force yet")
	}
	return c.JSON(http.StatusOK, api.Config{Record: record, Document: string(s.Configuration.Document())})
}

func (s *Server) apply(c echo.Context) error {
	var request api.Apply
	if err := decode(c, &request); err != nil {
		return err
	}
	if request.ChangeID == "" || request.Author == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "change_id and author are required")
	}
	// The proposal continues if the operator disconnects; a repeat with the same change id returns
	// its outcome.
	ctx := context.WithoutCancel(c.Request().Context())
	result := s.Proposer.Propose(ctx, replica.Proposal{
		ChangeID: request.ChangeID,
		Base:     request.Base,
		Author:   request.Author,
		Document: []byte(request.Document),
		Recover:  request.Recover,
	})
	s.Log.Info("configuration proposed", "change_id", request.ChangeID, "author", request.Author,
		"outcome", result.Outcome.String(), "revision", result.Revision, "reason", result.Reason, "detail", result.Detail)
	response := api.Applied{Result: result}
	if result.Outcome == replica.OutcomeAccepted {
		wait := min(time.Duration(request.WaitMS)*time.Millisecond, maxSpreadWait)
		response.Spread, response.Unconfirmed = s.awaitSpread(c.Request().Context(), result.Revision, wait)
	}
	return c.JSON(statusOf(result), response)
}

func statusOf(result replica.Result) int {
	switch {
	case result.Outcome == replica.OutcomeAccepted:
		return http.StatusOK
	case result.Outcome == replica.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case result.Reason == replica.ReasonInvalid:
		return http.StatusUnprocessableEntity
	case result.Reason == replica.ReasonUnavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusConflict
}

// awaitSpread waits until the revision is in force at every known instance of every zone, at most
// for wait. It returns the last observed spread and, if the wait ended first, the names of the zones
// and instances without the revision.
func (s *Server) awaitSpread(ctx context.Context, revision contract.Revision, wait time.Duration) ([]replica.ZoneSpread, []string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(spreadPollInterval)
	defer ticker.Stop()
	for {
		spread := s.Configuration.Spread()
		missing := withoutRevision(spread, revision)
		if len(missing) == 0 {
			return spread, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return spread, missing
		}
	}
}

// withoutRevision returns the names of zones and instances that have not reported the revision as in
// force. A zone is named as a whole if its lagging instances are not known.
func withoutRevision(spread []replica.ZoneSpread, revision contract.Revision) []string {
	var missing []string
	for _, zone := range spread {
		switch {
		case zone.Lowest >= revision:
		case len(zone.Lagging) == 0:
			missing = append(missing, "zone "+zone.Zone)
		default:
			for _, id := range zone.Lagging {
				missing = append(missing, fmt.Sprintf("%s in zone %s", id, zone.Zone))
			}
		}
	}
	return missing
}

func (s *Server) history(c echo.Context) error {
	limit := defaultHistoryLimit
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			return echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("limit: want 1 to %d", maxHistoryLimit))
		}
		limit = n
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), storeReadTimeout)
	defer cancel()
	records, err := s.Proposer.History(ctx, limit)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, records)
}

func (s *Server) diff(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), storeReadTimeout)
	defer cancel()
	from, fromRevision, err := s.document(ctx, c.QueryParam("from"))
	if err != nil {
		return err
	}
	to, toRevision, err := s.document(ctx, c.QueryParam("to"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, api.Diff{From: fromRevision, To: toRevision, Changes: contract.Changes(from, to)})
}

// document returns the accepted document of a revision, given in decimal; empty means the newest.
// Its errors are HTTP errors, except that a document which can't be parsed is a plain error.
func (s *Server) document(ctx context.Context, text string) (*contract.Document, contract.Revision, error) {
	var revision uint64
	var err error
	if text != "" {
		if revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			return nil, 0, echo.NewHTTPError(http.StatusBadRequest, "from and to are revisions")
		}
	}
	record, data, err := s.Proposer.Document(ctx, contract.Revision(revision))
	if errors.Is(err, replica.ErrNoDocument) {
		return nil, 0, echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	if err != nil {
		return nil, 0, echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	document, err := contract.Parse(fmt.Sprintf("revision %d", record.Revision), data)
	return document, record.Revision, err
}

func decode(c echo.Context, into any) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "malformed request: "+err.Error())
	}
	return nil
}
