package operate

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/verdict"
	"plumbarrow.example/plumbarrow/zone"
)

// orderTimeout limits how long the response waits for the store. A restrictive order is in effect
// before that.
const orderTimeout = 5 * time.Second

func (s *Server) zoneOut(c echo.Context) error {
	orderRequest, err := s.orderRequest(c)
	if err != nil {
		return err
	}
	name := c.Param("name")
	order, err := s.Orders.TakeZoneOut(name)
	if err != nil {
		return refuse(c, err)
	}
	s.Log.Warn("zone taken out by an operator", "zone", name, "author", orderRequest.Author, "order", order.ID)
	return s.settle(c, order, orderRequest.Author)
}

func (s *Server) withdraw(c echo.Context) error {
	orderRequest, err := s.orderRequest(c)
	if err != nil {
		return err
	}
	text, err := url.PathUnescape(c.Param("version"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	model, name, ok := strings.Cut(text, "@")
	if !ok {
		return echo.NewHTTPError(http.StatusBadRequest, "want model@version")
	}
	id := contract.VersionID{Model: model, Name: name}
	order, err := s.Orders.WithdrawVersion(id)
	if err != nil {
		return refuse(c, err)
	}
	s.Log.Warn("version withdrawn by an operator", "version", id.String(), "author", orderRequest.Author, "order", order.ID)
	return s.settle(c, order, orderRequest.Author)
}

// settle proposes an order to the store and responds with the outcome. If the store has not accepted
// it within orderTimeout, the settler retries in the background.
func (s *Server) settle(c echo.Context, order zone.Order, author string) error {
	s.settler.add(order, author)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), orderTimeout)
	defer cancel()
	result := s.settler.propose(ctx, order)
	response := api.Ordered{OrderState: api.Restricted, OrderID: string(order.ID), Detail: result.Detail}
	if result.Outcome == replica.OutcomeAccepted {
		response.OrderState = api.Accepted
		response.Revision = result.Revision
		return c.JSON(http.StatusOK, response)
	}
	return c.JSON(http.StatusAccepted, response)
}

// zoneIn returns a zone to service. Unlike a restrictive order this takes effect only when the store has
// accepted it.
func (s *Server) zoneIn(c echo.Context) error {
	orderRequest, err := s.orderRequest(c)
	if err != nil {
		return err
	}
	name := c.Param("name")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), orderTimeout)
	defer cancel()
	orders := s.Orders.Active()
	result := s.Proposer.Edit(ctx, replica.Edit{ChangeID: orderRequest.ChangeID, Author: orderRequest.Author, Apply: func(document *contract.Document) error {
		if !hasZone(document, name) {
			return verdict.Refuse(verdict.BadRequest, "zone %s is not configured", name)
		}
		zone.ReturnZone(document, name, orders)
		return nil
	}})
	s.Log.Info("return of a zone proposed by an operator", "zone", name, "change_id", orderRequest.ChangeID, "author", orderRequest.Author,
		"outcome", result.Outcome.String(), "revision", result.Revision, "detail", result.Detail)
	response := api.Ordered{OrderState: orderStateOf(result.Outcome), Revision: result.Revision, Detail: result.Detail}
	return c.JSON(statusOf(result), response)
}

func orderStateOf(outcome replica.Outcome) api.OrderState {
	switch outcome {
	case replica.OutcomeAccepted:
		return api.Accepted
	case replica.OutcomeRefused:
		return api.Refused
	}
	return api.Unknown
}

func hasZone(document *contract.Document, name string) bool {
	for i := range document.Zones {
		if document.Zones[i].Name == name {
			return true
		}
	}
	return false
}

// orderRequest decodes and validates the body of an order.
func (s *Server) orderRequest(c echo.Context) (api.Order, error) {
	var orderRequest api.Order
	if err := decode(c, &orderRequest); err != nil {
		return orderRequest, err
	}
	if orderRequest.ChangeID == "" || orderRequest.Author == "" {
		return orderRequest, echo.NewHTTPError(http.StatusBadRequest, "change_id and author are required")
	}
	return orderRequest, nil
}

func refuse(c echo.Context, err error) error {
	refusal := verdict.RefusalOf(err)
	return c.JSON(refusal.Reason.Status(), api.Ordered{OrderState: api.Refused, Detail: refusal.Detail})
}
