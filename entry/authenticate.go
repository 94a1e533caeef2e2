package entry

import (
	"context"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// identity is what another entry instance established of a forwarded request.
type identity struct {
	requestID string
	customer  string
	hops      int
	outcome   verdict.Verdict // set at the request's end
}

type identityKey struct{}

func withIdentity(ctx context.Context, who *identity) context.Context {
	return context.WithValue(ctx, identityKey{}, who)
}

// identityOf returns the identity of a forwarded request, or nil for a caller's own.
func identityOf(ctx context.Context) *identity {
	who, _ := ctx.Value(identityKey{}).(*identity)
	return who
}

// authenticate finds the caller by its API key, or by the name that a trusted peer gives.
func (s *Server) authenticate(c echo.Context) (*contract.Snapshot, *contract.Customer, error) {
	snapshot := s.Source.Current()
	if snapshot == nil {
		return nil, nil, verdict.Refuse(verdict.NoConfiguration, "this entry instance has no configuration yet")
	}
	customer, err := customerOf(c, snapshot)
	if err != nil {
		return nil, nil, err
	}
	exchangeOf(c).record.Customer = customer.Name
	if err := s.limited(c, customer); err != nil {
		return nil, nil, err
	}
	return snapshot, customer, nil
}

// limited holds a caller to its customer's request rate; a forwarded request was counted before.
func (s *Server) limited(c echo.Context, customer *contract.Customer) error {
	if s.Limits == nil || identityOf(c.Request().Context()) != nil {
		return nil
	}
	if refusal := s.Limits.Allow(customer, time.Now()); refusal != nil {
		return refusal
	}
	return nil
}

func customerOf(c echo.Context, snapshot *contract.Snapshot) (*contract.Customer, error) {
	if who := identityOf(c.Request().Context()); who != nil {
		if customer := snapshot.Customers[who.customer]; customer != nil {
			return customer, nil
		}
		return nil, verdict.Refuse(verdict.UnknownKey, "customer %s is not configured here", who.customer)
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return nil, verdict.Refuse(verdict.MissingKey, "send the API key as a bearer token")
	}
	customer := snapshot.CustomerByKey(key)
	if customer == nil {
		return nil, verdict.Refuse(verdict.UnknownKey, "the API key is not known")
	}
	return customer, nil
}

// confirmed refuses a request of a route that must not be served on a configuration which may be
// out of date.
func (s *Server) confirmed(route *contract.Route) error {
	if route.WhenUnconfirmed != contract.UnconfirmedRefuse || s.Confirmed == nil || s.Confirmed() {
		return nil
	}
	return verdict.Refuse(verdict.ConfigUnconfirmed, "this entry instance can't confirm its configuration")
}
