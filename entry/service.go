package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// heldBytes is how much of a service's answer is held until it is whole; longer answers are
// streamed, as are event streams.
const heldBytes = 256 << 10

// serviceFlow is one request to a plain service.
type serviceFlow struct {
	*work
	context echo.Context
	body    []byte
	claim   *ledger.Claim // nil without an idempotency key
	// claimEnds is when the claim's grant ends by this process's clock; zero means never.
	claimEnds time.Time
	// dispatching is the context of dispatched work: the caller's own for idempotent work, else one
	// that goes on when the caller leaves.
	dispatching context.Context
	last        []byte // the part of a long answer that is held back
}

func (s *Server) service(c echo.Context) error {
	snapshot, customer, err := s.authenticate(c)
	if err != nil {
		return err
	}
	request := c.Request()
	if err := checkHeader(request); err != nil {
		return err
	}
	if err := checkTarget(request); err != nil {
		return err
	}
	route, known := snapshot.ServiceRoute(request.URL.Path, customer.Name)
	if !known {
		return verdict.Refuse(verdict.UnknownRoute, "no route leads to %s", request.URL.Path)
	}
	if route == nil {
		return verdict.Refuse(verdict.ModelNotAllowed, "customer %s may not use %s", customer.Name, request.URL.Path)
	}
	if err := s.confirmed(route); err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	work := s.newWork(snapshot, s.newRequest(c, customer, route, len(body)), &session{}, &exchangeOf(c).record)
	flow := &serviceFlow{work: work, context: c, body: body, dispatching: request.Context()}
	if !work.request.Idempotent {
		flow.dispatching = context.WithoutCancel(request.Context())
	}
	serve := func() error { return flow.serve(request.Context()) }
	if !snapshot.ZoneInService(s.Self.Zone) {
		return s.forwardOr(work, c, "", body, serve)
	}
	if zone := flow.elsewhere(); zone != "" {
		return s.forwardOr(work, c, zone, body, serve)
	}
	err = serve()
	if zone, elsewhere := elsewhereOf(err); elsewhere {
		return s.forwardOr(work, c, zone, body, serve)
	}
	return err
}

// elsewhere looks where the request would go, before anything is claimed for it here. "" means
// this zone.
func (f *serviceFlow) elsewhere() string {
	choice, refusal := f.pick(f.pool(), decide.Choice{}.Version, nil)
	if refusal != nil {
		return ""
	}
	return choice.Zone
}

func (f *serviceFlow) pool() string { return f.request.Route.Pools[0] }

func (f *serviceFlow) serve(ctx context.Context) error {
	settle, err := f.server.Bills.Admit(ctx, f.request.Customer, reserve(f.snapshot, f.request.Route, 0, 0))
	if err != nil {
		return err
	}
	defer settle()
	if key := f.context.Request().Header.Get(link.HeaderIdempotencyKey); key != "" && !f.request.Idempotent {
		replayed, err := f.take(ctx, key)
		if replayed || err != nil {
			return err
		}
	}
	f.started()
	return f.run(ctx)
}

// run dispatches until one attempt ends in an answer or the retry policy stops.
func (f *serviceFlow) run(ctx context.Context) error {
	f.bound = true
	for attempts := 1; ; attempts++ {
		placed, err := f.placeClaimed(ctx)
		if _, elsewhere := elsewhereOf(err); elsewhere {
			f.finish(ledger.Outcome{Verdict: verdict.NotRun})
			return err
		}
		if err != nil {
			err = f.fail(err)
			f.finish(outcomeOf(err))
			return err
		}
		failure, err := f.try(placed)
		if failure == nil {
			return err
		}
		if err := f.decideRetry(f.dispatching, placed, &failedTrial{failure: failure, attempts: attempts}); err != nil {
			f.finish(outcomeOf(err))
			return err
		}
	}
}

// placeClaimed places the request and checks last that its claim still holds.
func (f *serviceFlow) placeClaimed(ctx context.Context) (*placement, error) {
	placed, err := f.place(ctx, f.pool())
	if err != nil {
		return nil, f.moved(err)
	}
	if err := f.claimEnded(time.Now()); err != nil {
		placed.permit.Done(machine.Result{})
		return nil, err
	}
	return placed, nil
}

// try makes one attempt. A failure means that nothing was delivered; after err the request is over.
func (f *serviceFlow) try(placed *placement) (*link.Failure, error) {
	request := f.context.Request()
	out := &outgoing{method: request.Method, path: request.URL.RequestURI(), header: link.RequestHeader(request.Header), body: f.body}
	t, answer, failure := f.dispatch(f.dispatching, placed, out)
	if failure != nil {
		f.settle(t, failure, f.dispatching.Err() != nil)
		return failure, nil
	}
	defer answer.Release()
	if failure := gatewayFailure(answer.Status); failure != nil {
		f.settle(t, failure, false)
		return failure, nil
	}
	if strings.HasPrefix(answer.Header.Get(echo.HeaderContentType), eventStream) {
		return nil, f.streamRest(t, answer, nil)
	}
	held, err := io.ReadAll(io.LimitReader(answer.Body, heldBytes))
	if err == nil && len(held) == heldBytes {
		return nil, f.streamRest(t, answer, held)
	}
	if err == nil && !wholeBody(request.Method, answer, int64(len(held))) {
		err = truncated(errors.New("the answer's length is wrong"))
	}
	if err != nil {
		failure := asFailure(err)
		f.settle(t, failure, f.dispatching.Err() != nil)
		return failure, nil
	}
	f.settle(t, nil, false)
	return nil, f.deliver(answer, held)
}

// gatewayFailure says that something between router and service may have answered in the service's
// place, so that the request may or may not have run.
func gatewayFailure(status int) *link.Failure {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return statusFailure(verdict.RetryServerError, status)
	default:
		return nil
	}
}

func wholeBody(method string, answer *link.Answer, length int64) bool {
	bodyless := method == http.MethodHead || answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified
	return bodyless || answer.Length < 0 || answer.Length == length
}

// deliver records the outcome and the bill, then sends the whole answer.
func (f *serviceFlow) deliver(answer *link.Answer, body []byte) error {
	if err := f.settleLedger(answer, body, false); err != nil {
		return err
	}
	f.record.Verdict = verdict.Ran
	f.copyHeader(answer)
	response := f.context.Response()
	control := http.NewResponseController(response.Writer)
	_ = control.SetWriteDeadline(time.Now().Add(f.server.Settings.writeTimeout()))
	response.WriteHeader(answer.Status)
	if _, err := response.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return writeRefusal(err)
	}
	_ = control.SetWriteDeadline(time.Time{})
	return nil
}

func (f *serviceFlow) copyHeader(answer *link.Answer) {
	header := f.context.Response().Header()
	for name, values := range link.EndToEnd(answer.Header) {
		header[name] = values
	}
}

// settleLedger records the outcome for repeats of the key and the bill. It must not be skipped when
// the caller has left.
func (f *serviceFlow) settleLedger(answer *link.Answer, body []byte, truncated bool) error {
	pool := f.snapshot.Pools[f.pool()]
	if pool != nil {
		f.lines = append(f.lines, ledger.Line{Pool: pool.Name, Micros: pool.RequestPrice})
	}
	err := f.bill(f.dispatching)
	kept := body
	if truncated || len(body) > ledger.MaxOutcomeBytes {
		truncated, kept = true, nil
	}
	f.finish(ledger.Outcome{
		Verdict:     verdict.Ran,
		Status:      answer.Status,
		ContentType: answer.Header.Get(echo.HeaderContentType),
		Body:        kept,
		Truncated:   truncated,
	})
	if err != nil {
		return f.fail(err)
	}
	return nil
}
