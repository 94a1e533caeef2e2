package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// maxBufferedBytes is the size from which an answer is streamed. Shorter answers, other than event
// streams, are buffered until they are complete, so that a failed one can be retried.
const maxBufferedBytes = 256 << 10

// serviceFlow is the state of one request to a plain service.
type serviceFlow struct {
	*requestState
	context echo.Context
	body    []byte
	claim   *ledger.Claim // nil without an idempotency key
	// claimExpires is when the claim expires by this process's clock; zero means never.
	claimExpires time.Time
	// dispatchContext is the context of attempts: the caller's for an idempotent request, else one
	// that is not cancelled when the caller disconnects.
	dispatchContext context.Context
	heldBack        []byte // last part of a streamed answer, sent once outcome and bill are recorded
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
	if err := s.checkConfirmed(route); err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	routed := s.newRequest(c, customer, route, len(body))
	if refusal := s.checkStop(routed); refusal != nil {
		return refusal
	}
	requestState := s.newRequestState(c, snapshot, routed, &session{})
	flow := &serviceFlow{requestState: requestState, context: c, body: body, dispatchContext: request.Context()}
	if !requestState.request.Idempotent {
		var detach func()
		flow.dispatchContext, detach = s.inFlight.Attach(context.WithoutCancel(request.Context()))
		defer detach()
	}
	serve := func() error { return flow.serve(request.Context()) }
	if !snapshot.ZoneInService(s.Self.Zone) {
		return s.forwardOrServe(requestState, c, "", body, serve)
	}
	if zone := flow.otherZone(); zone != "" {
		return s.forwardOrServe(requestState, c, zone, body, serve)
	}
	err = serve()
	if zone, otherZone := otherZoneOf(err); otherZone {
		return s.forwardOrServe(requestState, c, zone, body, serve)
	}
	return err
}

// otherZone returns the zone that the picker would send the request to, or "" for this zone. It
// is called before the idempotency key is claimed, since a claimed request is not forwarded.
func (f *serviceFlow) otherZone() string {
	choice, refusal := f.pick(f.pool(), decide.Choice{}.Version, nil)
	if refusal != nil {
		return ""
	}
	return choice.Zone
}

func (f *serviceFlow) pool() string { return f.request.Route.Pools[0] }

// serve reserves the request's cost, claims its idempotency key if it has one, and runs it.
func (f *serviceFlow) serve(ctx context.Context) error {
	release, err := f.server.Bills.Admit(ctx, f.request.Customer, maxCost(f.snapshot, f.request.Route, 0, 0))
	if err != nil {
		return err
	}
	defer release()
	if key := f.context.Request().Header.Get(link.HeaderIdempotencyKey); key != "" && !f.request.Idempotent {
		replayed, err := f.claimKey(ctx, key)
		if replayed || err != nil {
			return err
		}
	}
	f.countFirstAttempt()
	return f.run(ctx)
}

// run dispatches attempts until one returns an answer or the retry policy stops.
func (f *serviceFlow) run(ctx context.Context) error {
	f.zoneBound = true
	for attempts := 1; ; attempts++ {
		placed, err := f.placeClaimed(ctx)
		if err != nil {
			err = f.forwardIfUnreachable(err)
		}
		if _, otherZone := otherZoneOf(err); otherZone {
			f.finishClaim(ledger.Outcome{Verdict: verdict.NotRun})
			return err
		}
		if err != nil {
			err = f.fail(err)
			f.finishClaim(refusedOutcome(err))
			return err
		}
		failure, err := f.try(placed)
		if failure == nil {
			return err
		}
		if err := f.decideRetry(f.dispatchContext, placed, &failedAttempt{failure: failure, attempts: attempts}); err != nil {
			outcome := refusedOutcome(err)
			if _, otherZone := otherZoneOf(err); otherZone {
				outcome = ledger.Outcome{Verdict: verdict.NotRun}
			}
			f.finishClaim(outcome)
			return err
		}
	}
}

// placeClaimed places the request, then checks that its claim has not expired meanwhile.
func (f *serviceFlow) placeClaimed(ctx context.Context) (*placement, error) {
	placed, err := f.place(ctx, f.pool())
	if err != nil {
		return nil, f.forwardIfOutOfService(err)
	}
	if err := f.checkClaimExpiry(time.Now()); err != nil {
		placed.permit.Done(machine.Result{})
		return nil, err
	}
	return placed, nil
}

// try makes one attempt. A failure means that nothing was delivered, so that the retry policy decides.
// Without a failure the request has ended, with err or with its answer.
func (f *serviceFlow) try(placed *placement) (*link.Failure, error) {
	request := f.context.Request()
	out := &outgoingRequest{method: request.Method, path: request.URL.RequestURI(), header: link.RequestHeader(request.Header), body: f.body}
	a, answer, failure := f.dispatch(f.dispatchContext, placed, out)
	if failure != nil {
		f.finishAttempt(a, failure, f.dispatchContext.Err() != nil)
		return failure, nil
	}
	defer answer.Release()
	if failure := gatewayFailure(answer.Status); failure != nil {
		f.finishAttempt(a, failure, false)
		return failure, nil
	}
	if strings.HasPrefix(answer.Header.Get(echo.HeaderContentType), eventStream) {
		return nil, f.streamAnswer(a, answer, nil)
	}
	buffered, err := readStart(intake.FromContext(request.Context()), answer)
	if errors.Is(err, errContinues) {
		return nil, f.streamAnswer(a, answer, buffered)
	}
	if err == nil && !isLengthExpected(request.Method, answer, int64(len(buffered))) {
		err = truncatedFailure(errors.New("the answer's length differs from its Content-Length"))
	}
	if err != nil {
		failure := asFailure(err)
		f.finishAttempt(a, failure, f.dispatchContext.Err() != nil)
		return failure, nil
	}
	f.finishAttempt(a, nil, false)
	return nil, f.deliver(answer, buffered)
}

// errContinues means that an answer is longer than what was read of it.
var errContinues = errors.New("the answer is too long for the memory")

// readStart reads an answer to its end, or if it is longer than maxBufferedBytes or than the account has room for, a part of it. In that case
// it returns errContinues.
func readStart(account *intake.Account, answer *link.Answer) ([]byte, error) {
	start, err := intake.ReadAll(account, answer.Body, answer.Length, maxBufferedBytes)
	if errors.Is(err, intake.ErrTooLong) || errors.Is(err, intake.ErrFull) {
		return start, errContinues
	}
	return start, err
}

// gatewayFailure returns a failure for a status that a proxy between router and service may have sent
// in place of the service, so that the request may or may not have run.
func gatewayFailure(status int) *link.Failure {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return statusFailure(verdict.RetryServerError, status)
	default:
		return nil
	}
}

func isLengthExpected(method string, answer *link.Answer, length int64) bool {
	bodyless := method == http.MethodHead || answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified
	return bodyless || answer.Length < 0 || answer.Length == length
}

// deliver records the outcome and the bill, then sends the buffered answer.
func (f *serviceFlow) deliver(answer *link.Answer, body []byte) error {
	if err := f.recordOutcome(answer, body, false); err != nil {
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

// recordOutcome records the bill, and the outcome for repeats of the idempotency key. It also runs
// when the caller has disconnected, since the work is done.
func (f *serviceFlow) recordOutcome(answer *link.Answer, body []byte, truncated bool) error {
	pool := f.snapshot.Pools[f.pool()]
	if pool != nil {
		f.lines = append(f.lines, ledger.BillLine{Pool: pool.Name, Micros: pool.RequestPrice})
	}
	err := f.bill(f.dispatchContext)
	kept := body
	if truncated || len(body) > ledger.MaxOutcomeBytes {
		truncated, kept = true, nil
	}
	f.finishClaim(ledger.Outcome{
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
