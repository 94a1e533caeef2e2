package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/verdict"
)

// models lists the models that the customer may use.
func (s *Server) models(c echo.Context) error {
	snapshot, customer, err := s.authenticate(c)
	if err != nil {
		return err
	}
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for i := range snapshot.Document.Routes {
		route := &snapshot.Document.Routes[i]
		allowed, _ := snapshot.ModelRoute(route.Model, customer.Name)
		if route.Model != "" && allowed == route {
			list.Data = append(list.Data, openai.Model{ID: route.Model, Object: "model", OwnedBy: "plumbarrow"})
		}
	}
	exchangeOf(c).record.Verdict = verdict.Ran
	return c.JSON(http.StatusOK, list)
}
