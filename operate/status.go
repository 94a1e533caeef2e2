package operate

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/rollout"
)

func (s *Server) status(c echo.Context) error {
	self := s.Members.Self()
	status := api.Status{
		Instance:  string(self.ID),
		Zone:      self.Zone,
		Ready:     true,
		Confirmed: s.Configuration.Confirmed(),
		Orders:    s.settler.active(),
		Spread:    s.Configuration.Spread(),
	}
	if err := s.ready(); err != nil {
		status.Ready = false
		status.NotReady = err.Error()
	}
	if record, ok := s.Configuration.ActiveRecord(); ok {
		status.Revision = record.Revision
		status.ChangedAt = record.At
	}
	if snapshot := s.Configuration.Current(); snapshot != nil {
		for i := range snapshot.Document.Zones {
			if snapshot.Document.Zones[i].OutOfService {
				status.ZonesOut = append(status.ZonesOut, snapshot.Document.Zones[i].Name)
			}
		}
	}
	return c.JSON(http.StatusOK, status)
}

func (s *Server) bills(c echo.Context) error {
	bills, err := s.Bills(c.Request().Context())
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	if bills == nil {
		bills = []api.Bill{}
	}
	return c.JSON(http.StatusOK, bills)
}

func (s *Server) explain(c echo.Context) error {
	record, found := s.Explain(c.Param("id"))
	if !found {
		return echo.NewHTTPError(http.StatusNotFound, "this instance has no record of the request; another one may have served it")
	}
	return c.JSON(http.StatusOK, record)
}

func (s *Server) listRollouts(c echo.Context) error {
	records, err := s.Rollouts.List(c.Request().Context())
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return c.JSON(http.StatusOK, records)
}

func (s *Server) startRollout(c echo.Context) error {
	var record rollout.Record
	if err := decode(c, &record); err != nil {
		return err
	}
	if err := record.Validate(); err != nil {
		return echo.NewHTTPError(http.StatusUnprocessableEntity, err.Error())
	}
	if err := s.Rollouts.Start(c.Request().Context(), record); err != nil {
		return rolloutError(err)
	}
	return c.JSON(http.StatusOK, record)
}

func (s *Server) changeRollout(change func(ctx context.Context, id string) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := change(c.Request().Context(), c.Param("id")); err != nil {
			return rolloutError(err)
		}
		return c.NoContent(http.StatusNoContent)
	}
}

func rolloutError(err error) error {
	switch {
	case errors.Is(err, infra.ErrNotFound):
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	case errors.Is(err, infra.ErrOutcomeUnknown):
		return echo.NewHTTPError(http.StatusGatewayTimeout, err.Error())
	case errors.Is(err, infra.ErrUnavailable):
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return echo.NewHTTPError(http.StatusConflict, err.Error())
}
