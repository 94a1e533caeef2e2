package entry

import (
	"context"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/verdict"
)

// forwardedRequest holds what the forwarding entry instance has established about a request: it has
// authenticated the caller and assigned the request id.
type forwardedRequest struct {
	requestID string
	customer  string
	hops      int
	verdict   verdict.Verdict // set when the request ends; returned to the forwarding instance
}

type forwardedRequestKey struct{}

func withForwardedRequest(ctx context.Context, forwarded *forwardedRequest) context.Context {
	return context.WithValue(ctx, forwardedRequestKey{}, forwarded)
}

// forwardedRequestOf returns the forwarded request of ctx, or nil if the request came from the caller
// directly.
func forwardedRequestOf(ctx context.Context) *forwardedRequest {
	forwarded, _ := ctx.Value(forwardedRequestKey{}).(*forwardedRequest)
	return forwarded
}

// authenticate identifies the customer by the API key, or by the name that a forwarding instance
// sent, and checks its request rate.
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
	if err := s.checkRateLimit(c, customer); err != nil {
		return nil, nil, err
	}
	return snapshot, customer, nil
}

// checkRateLimit refuses a request beyond the customer's request rate. The forwarding instance has
// counted a forwarded request already.
func (s *Server) checkRateLimit(c echo.Context, customer *contract.Customer) error {
	if s.Limits == nil || forwardedRequestOf(c.Request().Context()) != nil {
		return nil
	}
	if refusal := s.Limits.Allow(customer, time.Now()); refusal != nil {
		return refusal
	}
	return nil
}

func customerOf(c echo.Context, snapshot *contract.Snapshot) (*contract.Customer, error) {
	if forwarded := forwardedRequestOf(c.Request().Context()); forwarded != nil {
		if customer := snapshot.Customers[forwarded.customer]; customer != nil {
			return customer, nil
		}
		return nil, verdict.Refuse(verdict.UnknownKey, "customer %s is not configured here", forwarded.customer)
	}
	key := apiKey(c)
	if key == "" {
		return nil, verdict.Refuse(verdict.MissingKey, "send the API key as a bearer token")
	}
	customer := snapshot.CustomerByKey(key)
	if customer == nil {
		return nil, verdict.Refuse(verdict.UnknownKey, "the API key is not known")
	}
	return customer, nil
}

// apiKey returns the caller's bearer token, or "" without one. Forwarded requests have none.
func apiKey(c echo.Context) string {
	key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !ok {
		return ""
	}
	return key
}

// checkConfirmed refuses a request if its route requires a confirmed configuration and the one in
// force may be out of date.
func (s *Server) checkConfirmed(route *contract.Route) error {
	if route.WhenUnconfirmed != contract.UnconfirmedRefuse || s.Confirmed == nil || s.Confirmed() {
		return nil
	}
	return verdict.Refuse(verdict.ConfigUnconfirmed, "this entry instance can't confirm its configuration")
}
