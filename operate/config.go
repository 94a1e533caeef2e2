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
	spreadInterval  = 200 * time.Millisecond
	maxSpreadWait   = time.Minute
	defaultHistory  = 32
	maxHistory      = 20_000
	readConfTimeout = 10 * time.Second
)

// config answers from the configuration in force here; it needs no store.
func (s *Server) config(c echo.Context) error {
	record, ok := s.InForce.InForce()
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "no configuration is in force yet")
	}
	return c.JSON(http.StatusOK, api.Config{Record: record, Document: string(s.InForce.Document())})
}

func (s *Server) apply(c echo.Context) error {
	var asked api.Apply
	if err := decode(c, &asked); err != nil {
		return err
	}
	if asked.ChangeID == "" || asked.Author == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "change_id and author are required")
	}
	// The proposal goes on if the operator hangs up: its change id tells the outcome later.
	ctx := context.WithoutCancel(c.Request().Context())
	result := s.Proposer.Propose(ctx, replica.Proposal{
		ChangeID: asked.ChangeID,
		Base:     asked.Base,
		Author:   asked.Author,
		Document: []byte(asked.Document),
		Recover:  asked.Recover,
	})
	s.Log.Info("configuration proposed", "change_id", asked.ChangeID, "author", asked.Author,
		"outcome", result.Outcome.String(), "revision", result.Revision, "reason", result.Reason)
	answer := api.Applied{Result: result}
	if result.Outcome == replica.Accepted {
		wait := min(time.Duration(asked.WaitMS)*time.Millisecond, maxSpreadWait)
		answer.Spread, answer.Unconfirmed = s.awaitSpread(c.Request().Context(), result.Revision, wait)
	}
	return c.JSON(statusOf(result), answer)
}

func statusOf(result replica.Result) int {
	switch {
	case result.Outcome == replica.Accepted:
		return http.StatusOK
	case result.Outcome == replica.Unknown:
		return http.StatusGatewayTimeout
	case result.Reason == replica.ReasonInvalid:
		return http.StatusUnprocessableEntity
	case result.Reason == replica.ReasonUnavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusConflict
}

// awaitSpread waits until the revision is in force at every instance that any zone knows of.
func (s *Server) awaitSpread(ctx context.Context, revision contract.Revision, wait time.Duration) ([]replica.ZoneSpread, []string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(spreadInterval)
	defer ticker.Stop()
	for {
		spread := s.InForce.Spread()
		missing := unconfirmed(spread, revision)
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

// unconfirmed names the zones and instances that are not known to have the revision in force.
func unconfirmed(spread []replica.ZoneSpread, revision contract.Revision) []string {
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
	limit := defaultHistory
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("limit: want 1 to %d", maxHistory))
		}
		limit = n
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), readConfTimeout)
	defer cancel()
	records, err := s.Proposer.History(ctx, limit)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, records)
}

func (s *Server) diff(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), readConfTimeout)
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

// document returns the document of a revision given as text; empty means the newest.
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
