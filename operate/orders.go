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

// orderTimeout is how long an operator waits for the store; the order is in force before that.
const orderTimeout = 5 * time.Second

func (s *Server) zoneOut(c echo.Context) error {
	asked, err := s.asked(c)
	if err != nil {
		return err
	}
	name := c.Param("name")
	order, err := s.Orders.TakeOut(name)
	if err != nil {
		return refuse(c, err)
	}
	s.Log.Warn("zone taken out by an operator", "zone", name, "author", asked.Author, "order", order.ID)
	return s.settle(c, order, asked.Author)
}

func (s *Server) withdraw(c echo.Context) error {
	asked, err := s.asked(c)
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
	order, err := s.Orders.Withdraw(id)
	if err != nil {
		return refuse(c, err)
	}
	s.Log.Warn("version withdrawn by an operator", "version", id.String(), "author", asked.Author, "order", order.ID)
	return s.settle(c, order, asked.Author)
}

// settle has an order accepted if the store answers in time; else the settler goes on trying.
func (s *Server) settle(c echo.Context, order zone.Order, author string) error {
	s.settler.add(order, author)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), orderTimeout)
	defer cancel()
	result := s.settler.try(ctx, order)
	answer := api.Ordered{Standing: api.Restricted, OrderID: string(order.ID), Detail: result.Detail}
	if result.Outcome == replica.Accepted {
		answer.Standing = api.Accepted
		answer.Revision = result.Revision
		return c.JSON(http.StatusOK, answer)
	}
	return c.JSON(http.StatusAccepted, answer)
}

// zoneIn brings a zone back. That gives instead of taking away, so it holds only once accepted.
func (s *Server) zoneIn(c echo.Context) error {
	asked, err := s.asked(c)
	if err != nil {
		return err
	}
	name := c.Param("name")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), orderTimeout)
	defer cancel()
	orders := s.Orders.Active()
	result := s.Proposer.Edit(ctx, replica.Edit{ChangeID: asked.ChangeID, Author: asked.Author, Apply: func(document *contract.Document) error {
		if !hasZone(document, name) {
			return verdict.Refuse(verdict.BadRequest, "zone %s is not configured", name)
		}
		zone.BringBack(document, name, orders)
		return nil
	}})
	s.Log.Info("zone brought back by an operator", "zone", name, "author", asked.Author, "outcome", result.Outcome.String())
	answer := api.Ordered{Standing: standingOf(result.Outcome), Revision: result.Revision, Detail: result.Detail}
	return c.JSON(statusOf(result), answer)
}

func standingOf(outcome replica.Outcome) api.Standing {
	switch outcome {
	case replica.Accepted:
		return api.Accepted
	case replica.Refused:
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

func (s *Server) asked(c echo.Context) (api.Order, error) {
	var asked api.Order
	if err := decode(c, &asked); err != nil {
		return asked, err
	}
	if asked.ChangeID == "" || asked.Author == "" {
		return asked, echo.NewHTTPError(http.StatusBadRequest, "change_id and author are required")
	}
	return asked, nil
}

func refuse(c echo.Context, err error) error {
	refusal := verdict.Of(err)
	return c.JSON(refusal.Reason.Status(), api.Ordered{Standing: api.Refused, Detail: refusal.Detail})
}
