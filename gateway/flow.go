package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"plumbarrow.example/plumbarrow/catalog"
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/internal/inflight"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
	"plumbarrow.example/plumbarrow/verdict"
)

const (
	requestSeconds           = "plumbarrow_request_seconds"             // histogram of whole requests
	firstByteSeconds         = "plumbarrow_first_byte_seconds"          // histogram of the time to an answer's first byte
	expectedFirstByteSeconds = "plumbarrow_expected_first_byte_seconds" // histogram of that time as it was expected before the attempt
	skippedAnswers           = "plumbarrow_skipped_answers_total"       // answers to other requests that preceded the own one
	// defaultTimeout is the time limit of requests whose caller states none.
	defaultTimeout = 30 * time.Second
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 5 * time.Second
)

// requestState is the state of one request in this instance. Only one goroutine uses it.
type requestState struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	account  *intake.Account // of the caller's connection
	origin   *origin         // nil unless a peer has passed the request on
	arrived  time.Time
	forecast forecast

	call     *Call
	body     []byte
	snapshot *catalog.Snapshot
	route    *catalog.Route
	customer *catalog.Customer
	service  string
	deadline time.Time

	verdict            verdict.Verdict      // of the attempts so far, combined by verdict.Worst
	runs               int                  // attempts that may have run
	tries              int                  // attempts sent, including those that did not run
	avoid              []machine.EndpointID // endpoints of failed attempts
	peersAsked         []machine.InstanceID // that the request was passed to
	newConnection      bool                 // the next attempt needs a new connection
	retryReserved      bool                 // the retry budget has been charged for the next attempt
	model              int                  // index of the model for the next attempt
	rejectedConfidence float64              // confidence of the answer last discarded as too low
	stream             *eventStream
	bufferedFailure    *bufferedAnswer // an endpoint's failure, delivered if no other attempt succeeds
	refusal            *verdict.Refusal
	status             int
	detachFromStop     func()  // exempts the request from the end of a planned stop
	callerGone         bool    // reading the body or writing the answer failed
	firstByteMS        []int64 // times to the answers' first bytes in milliseconds, for the log
}

func (f *requestState) id() string {
	if f.call == nil {
		return ""
	}
	return f.call.ID
}

// serve admits the request and runs its attempts. When it returns, the request is answered.
func (f *requestState) serve(ctx context.Context) {
	if refusal := f.admit(); refusal != nil {
		f.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	ctx, f.detachFromStop = f.server.inFlight.Attach(ctx)
	defer f.detachFromStop()
	if f.server.Upstreams.Reachable(f.service) {
		f.server.RetryBudget.Deposit(f.service) // else the peer that serves it does
	}
	f.run(ctx)
}

// admit reads the request and checks it against the configuration in force.
func (f *requestState) admit() *verdict.Refusal {
	call, refusal := f.server.CallerProtocol.Read(f.request)
	f.call = call
	if refusal != nil {
		return refusal
	}
	f.snapshot = f.server.Current.Get()
	if f.snapshot == nil {
		return verdict.Refuse(verdict.NoConfiguration, "this instance has no configuration yet")
	}
	if refusal := f.checkOrigin(); refusal != nil {
		return refusal
	}
	if f.route, f.customer, refusal = authorize(f.snapshot, f.call); refusal != nil {
		return refusal
	}
	if refusal := f.readBody(); refusal != nil {
		return refusal
	}
	if refusal := f.checkRuns(); refusal != nil {
		return refusal
	}
	f.start()
	if !f.finishesInTime(0) {
		return stoppingRefusal()
	}
	return nil
}

// start sets the deadline and the service of a request that is admitted to its route.
func (f *requestState) start() {
	timeout := f.call.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	f.deadline = f.arrived.Add(min(timeout, f.route.Timeout))
	f.service = f.route.Service(hashShare(f.call.ID))
	if f.origin != nil && f.origin.service != "" {
		f.service = f.origin.service
	}
}

// authorize finds the request's route and customer in the snapshot.
func authorize(snapshot *catalog.Snapshot, call *Call) (*catalog.Route, *catalog.Customer, *verdict.Refusal) {
	route := snapshot.Route(call.Host, call.Path)
	if route == nil {
		return nil, nil, verdict.Refuse(verdict.UnknownRoute, "no route leads to %s", call.Path)
	}
	if !snapshot.NeedsKey(route) {
		return route, nil, nil
	}
	if call.Key == "" {
		return route, nil, verdict.Refuse(verdict.MissingKey, "the request carries no key")
	}
	customer := snapshot.Customer(call.Key)
	if customer == nil {
		return route, nil, verdict.Refuse(verdict.UnknownKey, "no customer holds the key")
	}
	return route, customer, nil
}

// refresh checks the request against the newest configuration before it is dispatched. A request that the configuration does not allow any more
// keeps the state under which it was admitted. The request's deadline does not change.
func (f *requestState) refresh() *verdict.Refusal {
	newest := f.server.Current.Get()
	if newest == f.snapshot {
		return nil
	}
	route, customer, refusal := authorize(newest, f.call)
	if refusal == nil {
		refusal = f.stillAllowed(route)
	}
	if refusal != nil {
		return refusal
	}
	f.snapshot, f.route, f.customer = newest, route, customer
	if !route.Allows(f.service) {
		f.service = route.Service(hashShare(f.call.ID))
	}
	return nil
}

// stillAllowed returns the refusal of a request whose attempts so far leave no room for another one on the route, else nil.
func (f *requestState) stillAllowed(route *catalog.Route) *verdict.Refusal {
	switch {
	case f.runs == 0:
		return nil
	case !route.Repeatable() || f.runs >= route.MaxAttempts:
		return verdict.Uncertain(verdict.UpstreamError, "the newest configuration allows no further attempt after %d", f.runs)
	case f.stream != nil && f.stream.headerSent && !route.Allows(f.service):
		return verdict.Uncertain(verdict.UpstreamError, "the stream cannot go on: its route has left service %s", f.service)
	default:
		return nil
	}
}

// readBody reads the request's body into memory, so that retries can send it again.
func (f *requestState) readBody() *verdict.Refusal {
	if f.origin != nil {
		return f.takeBody()
	}
	r := f.request
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(f.writer)
	limit := f.snapshot.Limits.MaxBodyBytes
	if r.ContentLength > limit {
		return f.bodyRefusal(intake.ErrTooLong)
	}
	if f.customer != nil {
		f.account.SetOwner(f.customer.Name)
	}
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := intake.ReadBody(f.account, r, limit)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return f.bodyRefusal(err)
	}
	f.body = body
	return nil
}

// takeBody takes over the body of a request that a peer has passed on, and the attempts made there.
func (f *requestState) takeBody() *verdict.Refusal {
	if f.origin.bodyErr != nil {
		return f.bodyRefusal(f.origin.bodyErr)
	}
	f.body, f.runs = f.origin.body, f.origin.runs
	return nil
}

// bodyRefusal returns the refusal of a request whose body was not read to its end.
func (f *requestState) bodyRefusal(err error) *verdict.Refusal {
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return verdict.Refuse(verdict.BodyTooLarge, "the body is longer than %d bytes", f.snapshot.Limits.MaxBodyBytes)
	case errors.Is(err, intake.ErrHeadTooLarge):
		return verdict.Refuse(verdict.HeadTooLarge, "%v", err)
	case errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrEvicted):
		refusal := verdict.Refuse(verdict.InstanceFull, "%v", err)
		refusal.RetryAfter = retryAfter(0)
		return refusal
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.Refuse(verdict.CallerTooSlow, "the body did not arrive within %d ms", bodyTimeout.Milliseconds())
	default:
		f.callerGone = true
		return verdict.Refuse(verdict.BadRequest, "the body is not whole: %v", err)
	}
}

// run makes attempts until the request is answered or nothing further is allowed.
func (f *requestState) run(ctx context.Context) {
	for {
		failed, refusal := f.attemptOrRelay(ctx)
		if refusal != nil {
			f.fail(ctx, refusal)
			return
		}
		if failed == nil {
			return
		}
		if refusal := f.prepareRetry(ctx, failed); refusal != nil {
			f.fail(ctx, refusal)
			return
		}
	}
}

// attemptOrRelay sends the request to an endpoint once, or to a peer if this instance reaches none. It returns nil and no refusal once the
// request is answered.
func (f *requestState) attemptOrRelay(ctx context.Context) (*failedAttempt, *verdict.Refusal) {
	grant, refusal := f.acquireEndpoint(ctx)
	switch {
	case refusal == nil:
		return f.attempt(ctx, grant), nil
	case refusal.Reason == verdict.EndpointsUnreachable:
		return f.relay(ctx)
	default:
		return nil, refusal
	}
}

// prepareRetry decides whether another attempt follows a failed one. It returns nil and prepares the next attempt
// if so, else the refusal for the caller.
func (f *requestState) prepareRetry(ctx context.Context, failed *failedAttempt) *verdict.Refusal {
	if ctx.Err() != nil {
		return f.contextRefusal(ctx)
	}
	failed.charged, f.retryReserved = failed.charged || f.retryReserved, false
	state := retryState{
		failed:      failed,
		route:       f.route,
		runs:        f.runs,
		tries:       f.tries,
		retryBudget: f.server.RetryBudget,
		service:     f.service,
	}
	decision := decideRetry(&state)
	f.server.Log.Info("attempt failed", "request_id", f.id(), "endpoint", failed.endpoint, "verdict", failed.verdict.String(),
		"reason", string(failed.reason), "status", failed.status, "error", errorText(failed.err), "runs", f.runs, "tries", f.tries,
		"again", decision == nil, "events", failed.events, "shared_parts", partNames(f.call.SharedParts()), failed.originAttr())
	f.countBroken(failed)
	if decision != nil {
		return decision
	}
	f.server.Counters.Retried(failed.reason)
	if failed.newConnection || failed.reason != "" && failed.connFailure() {
		f.newConnection = true
	}
	if failed.reason != verdict.RetryLowQuality && failed.endpoint != "" {
		f.avoid = append(f.avoid, failed.endpoint)
	}
	return nil
}

// acquireEndpoint reserves capacity at an endpoint. It waits in the service's queue while there is none.
func (f *requestState) acquireEndpoint(ctx context.Context) (*upstream.Grant, *verdict.Refusal) {
	for {
		if ctx.Err() != nil {
			return nil, f.contextRefusal(ctx)
		}
		if refusal := f.refresh(); refusal != nil {
			return nil, refusal
		}
		if refusal := f.quarantined(); refusal != nil {
			return nil, refusal
		}
		if refusal := f.outOfTime(0); refusal != nil {
			return nil, refusal
		}
		if !f.server.Upstreams.Reachable(f.service) {
			return nil, f.unreachable()
		}
		need := f.need()
		grant, blocked := f.server.Upstreams.Place(need)
		if blocked == upstream.NoneEligible && need.Version != "" {
			// No endpoint of the chosen version is left: any other version is better than a refusal.
			need.Version = ""
			grant, blocked = f.server.Upstreams.Place(need)
		}
		if blocked == upstream.NotBlocked {
			if refusal := f.outOfTime(grant.Expected); refusal != nil {
				grant.Done(upstream.Abandoned)
				return nil, refusal
			}
		}
		if blocked == upstream.NotBlocked && f.server.Current.Get() == f.snapshot {
			f.observeWait()
			return grant, nil
		}
		if blocked == upstream.NotBlocked {
			grant.Done(upstream.Abandoned) // the configuration changed meanwhile
			continue
		}
		wait := f.queueTimeLeft(time.Now(), blocked)
		if blocked == upstream.TurnedAway {
			if pause := f.server.Upstreams.TurnedAwayFor(need); pause >= wait {
				return nil, f.turnedAway(pause)
			}
		}
		if blocked == upstream.PlacesElsewhere {
			return nil, f.noCapacity(blocked)
		}
		if refusal := f.admitToQueue(blocked, wait); refusal != nil {
			return nil, refusal
		}
		if wait <= 0 || !f.server.Upstreams.Wait(ctx, f.service, f.priority(), f.arrived, wait) {
			if ctx.Err() != nil {
				return nil, f.contextRefusal(ctx)
			}
			return nil, f.noCapacity(blocked)
		}
	}
}

// quarantined returns the refusal of a request with a prompt part that crashes endpoints, else nil.
func (f *requestState) quarantined() *verdict.Refusal {
	remaining, blocked := f.server.Quarantine.Blocked(f.service, f.call.SharedParts())
	if !blocked {
		return nil
	}
	refusal := verdict.Refuse(verdict.PromptQuarantined, "a part of the prompt crashes endpoints")
	refusal.RetryAfter = remaining
	return refusal
}

// need returns the requirements that an endpoint must meet for the next attempt.
func (f *requestState) need() *upstream.Need {
	f.chooseModel()
	version := f.server.Versions.Choose(f.service, f.call.Session, f.call.ID, f.runs > 0)
	return &upstream.Need{
		Service: f.service, Version: version.RequiredVersion, ExcludedVersions: version.ExcludedVersions, Spread: version.Spread, PromptParts: f.call.PromptParts,
		PromptTokens: f.call.PromptTokens, Avoid: f.avoid, Model: f.modelName(),
	}
}

// modelName returns the model that the router chose for the next attempt. It is empty if the caller named the
// model or the route has none.
func (f *requestState) modelName() string {
	if !f.call.OpenModel || len(f.route.Models) == 0 {
		return ""
	}
	return f.route.Models[min(f.model, len(f.route.Models)-1)]
}

func (f *requestState) priority() int {
	if f.customer != nil && f.customer.HasPriority {
		return f.customer.Priority
	}
	return f.route.Priority
}

// noCapacity returns the refusal of a request for which no endpoint had capacity.
func (f *requestState) noCapacity(blocked upstream.Blocked) *verdict.Refusal {
	waiting := f.server.Upstreams.Waiting(f.service)
	refusal := verdict.Refuse(verdict.NoEndpoint, "service %s has no endpoint that may be used", f.service)
	if blocked != upstream.NoneEligible {
		refusal = verdict.Refuse(verdict.ShedOverload, "service %s is full and %d requests wait", f.service, waiting)
	}
	refusal.RetryAfter = retryAfter(waiting)
	return refusal
}

// turnedAway returns the refusal of a request that no endpoint takes for a time. The Retry-After has a jitter, so that the callers do
// not return together.
func (f *requestState) turnedAway(pause time.Duration) *verdict.Refusal {
	refusal := verdict.Refuse(verdict.ShedOverload, "the endpoints of service %s take no requests for %d ms", f.service, pause.Milliseconds())
	refusal.RetryAfter = pause + time.Duration(rand.Float64()*float64(max(pause/4, minRetryAfter)))
	return refusal
}

// contextRefusal returns the refusal for a request whose ctx has ended.
func (f *requestState) contextRefusal(ctx context.Context) *verdict.Refusal {
	if inflight.EndedWithStop(ctx) {
		return stoppingRefusal()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refuse(verdict.DeadlineExceeded, "the time for the request is over")
	}
	return verdict.Refuse(verdict.CallerGone, "the caller left")
}

// fail ends a request for which no attempt succeeded: with the buffered failure of an endpoint if there is one, else
// with the refusal.
func (f *requestState) fail(ctx context.Context, refusal *verdict.Refusal) {
	headerSent := f.stream != nil && f.stream.headerSent
	callerWaits := ctx.Err() == nil || inflight.EndedWithStop(ctx)
	if f.bufferedFailure != nil && !headerSent && callerWaits {
		f.deliverBuffered(f.bufferedFailure)
		return
	}
	f.refuse(refusal)
}

// countBroken counts an attempt whose connection broke after the request had been sent, by whether the endpoint had produced
// any of its answer before.
func (f *requestState) countBroken(failed *failedAttempt) {
	if failed.reason != verdict.RetryConnection && failed.reason != verdict.RetryTruncated {
		return
	}
	stage := "before_output"
	if failed.events > 0 {
		stage = "after_output"
	}
	f.server.Counters.Add("plumbarrow_broken_answers_total", "stage", stage)
}

// maxLoggedParts bounds the parts that a log record names.
const maxLoggedParts = 32

// partNames returns the ids of the first parts for the log.
func partNames(parts []upstream.PromptPart) []string {
	parts = parts[:min(len(parts), maxLoggedParts)]
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, strconv.FormatUint(part.ID, 16))
	}
	return names
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// finish logs the request and counts it.
func (f *requestState) finish() {
	took := time.Since(f.arrived)
	f.server.Counters.Observe(requestSeconds, took.Seconds())
	if f.runs > 0 {
		f.server.durations.Record(f.route.Name, took)
	}
	attrs := []slog.Attr{slog.String("request_id", f.id()), slog.Int("status", f.status), slog.Int64("took_ms", took.Milliseconds())}
	if f.route != nil {
		attrs = append(attrs, slog.String("route", f.route.Name), slog.String("kind", f.route.Kind.String()), slog.String("service", f.service))
	}
	if f.snapshot != nil {
		attrs = append(attrs, slog.Uint64("configuration", f.snapshot.Version))
	}
	if f.call != nil && f.call.Session != "" {
		attrs = append(attrs, slog.String("session", f.call.Session))
	}
	if f.customer != nil {
		attrs = append(attrs, slog.String("customer", f.customer.Name))
	}
	if f.refusal != nil {
		attrs = append(attrs, slog.String("reason", string(f.refusal.Reason)), slog.String("detail", f.refusal.Detail))
	}
	if f.stream != nil {
		attrs = append(attrs, slog.Int("events", f.stream.events), slog.String("last_event", f.stream.lastID), slog.Bool("whole", f.stream.complete),
			slog.String("framing", f.stream.framing.String()))
	}
	attrs = append(attrs, slog.String("verdict", f.verdict.String()), slog.Int("tries", f.tries), slog.Any("first_byte_ms", f.firstByteMS))
	f.server.Log.LogAttrs(context.Background(), slog.LevelInfo, "request", attrs...)
}
