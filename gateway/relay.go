package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// Header fields between instances. Requests to endpoints never carry them, see link.EndToEnd.
const (
	// fieldConfiguration on a request is the lowest version of the configuration that may serve it, on an answer the version that did.
	fieldConfiguration = "Plumbarrow-Configuration"
	// fieldRuns is the number of attempts before that may have run the request.
	fieldRuns = "Plumbarrow-Runs"
	// fieldService is the service whose stream the caller already receives, if any.
	fieldService = "Plumbarrow-Service"
	// fieldDeclined on an answer is the reason for which the peer has not taken the request.
	fieldDeclined = "Plumbarrow-Declined"
)

// instanceFields are never passed on to callers, and not accepted from endpoints.
var instanceFields = []string{fieldConfiguration, fieldRuns, fieldService, fieldDeclined}

const (
	// relayMargin is taken off the time that a peer gets, so that its answer at the deadline, with the verdict on the request, still arrives.
	relayMargin = 30 * time.Millisecond
	// maxPeersAsked bounds the peers that one request is passed to, including those that decline.
	maxPeersAsked = 12
	// unreachableRetryAfter is the Retry-After, before jitter, of a request for which no instance reaches an endpoint.
	unreachableRetryAfter = 500 * time.Millisecond
)

const (
	relayedRequests = "plumbarrow_relayed_requests_total" // requests passed to a peer, by its reaction
	relaysServed    = "plumbarrow_relays_served_total"    // requests of peers that this instance has taken
)

// Relay passes requests to peers. Errors are *link.Failure.
type Relay interface {
	Forward(ctx context.Context, member machine.Member, forwarded *link.ForwardedRequest) (*link.Answer, error)
}

var _ Relay = (*link.ForwardClient)(nil)

// Isolated reports whether this instance reaches no endpoint and is separated from its peers, so that callers are better served anywhere else. An
// outage of all endpoints does not isolate it: peers answer then, if only to decline.
func (s *Server) Isolated() bool {
	return s.Relay != nil && !s.Upstreams.AnyReachable() && s.relayPeers.separated(s.Members.Live(), s.Self.ID, time.Now())
}

// unreachable returns the refusal of a request to whose service this instance has lost all links.
func (f *requestState) unreachable() *verdict.Refusal {
	refusal := verdict.Refuse(verdict.EndpointsUnreachable, "no endpoint of service %s can be reached", f.service)
	refusal.RetryAfter = jittered(unreachableRetryAfter)
	return refusal
}

// relay passes the request to a peer once. It returns nil once the request is answered, else the failed attempt. The refusal is set if no peer
// is left to pass it to.
func (f *requestState) relay(ctx context.Context) (*failedAttempt, *verdict.Refusal) {
	now := time.Now()
	if f.server.Relay == nil || f.origin != nil || len(f.peersAsked) >= maxPeersAsked {
		return nil, f.unreachable()
	}
	peers := &f.server.relayPeers
	peer, ok := peers.choose(f.server.Members.Live(), f.server.Self.ID, f.peersAsked, now)
	if !ok {
		return nil, f.unreachable()
	}
	defer peers.done(peer.ID)
	f.peersAsked = append(f.peersAsked, peer.ID)
	f.server.Log.LogAttrs(context.Background(), slog.LevelInfo, "relay", slog.String("request_id", f.id()), slog.String("peer", string(peer.ID)),
		slog.String("service", f.service), slog.Uint64("configuration", f.snapshot.Version), slog.Int64("left_ms", time.Until(f.deadline).Milliseconds()))
	answer, err := f.server.Relay.Forward(ctx, peer, f.forwarded())
	if err != nil {
		if ctx.Err() == nil {
			peers.failed(peer.ID, time.Now())
		}
		f.tries++
		f.server.Counters.Add(relayedRequests, "reaction", "failed")
		return f.failedRelay(err), nil
	}
	defer func() { _ = answer.Body.Close() }()
	if version, err := strconv.ParseUint(answer.Header.Get(fieldConfiguration), 10, 64); err == nil {
		f.server.recordRelayedVersion(version)
	}
	if reason := answer.Header.Get(fieldDeclined); reason != "" {
		peers.declined(peer.ID, time.Now())
		f.server.Counters.Add(relayedRequests, "reaction", "declined")
		return &failedAttempt{
			verdict: verdict.NotRun, reason: verdict.RetryNotSent, status: answer.Status, err: fmt.Errorf("peer %s declined: %s", peer.ID, reason),
		}, nil
	}
	f.tries++
	peers.took(peer.ID, time.Now())
	f.server.Counters.Add(relayedRequests, "reaction", "taken")
	return f.receiveRelayed(answer), nil
}

// recordRelayedVersion records the configuration with which a peer has answered. Later requests go to no peer with an older one: callers of one
// instance must not see a version and then an older one.
func (s *Server) recordRelayedVersion(version uint64) {
	for {
		highest := s.relayedVersion.Load()
		if version <= highest || s.relayedVersion.CompareAndSwap(highest, version) {
			return
		}
	}
}

// forwarded returns the request as it is passed to a peer.
func (f *requestState) forwarded() *link.ForwardedRequest {
	header := link.EndToEnd(f.request.Header)
	resumeAfter := f.call.LastEvent
	if f.stream != nil && f.stream.lastID != "" {
		resumeAfter = f.stream.lastID
	}
	f.server.CallerProtocol.Relay(header, time.Until(f.timeLimit())-relayMargin, resumeAfter)
	header.Set("Host", f.call.Host)
	header.Set(fieldConfiguration, strconv.FormatUint(max(f.snapshot.Version, f.server.relayedVersion.Load()), 10))
	header.Set(fieldRuns, strconv.Itoa(f.runs))
	if f.stream != nil && f.stream.headerSent {
		header.Set(fieldService, f.service)
	}
	return &link.ForwardedRequest{
		RequestID: f.call.ID, Customer: f.customerName(), Method: f.call.Method, Path: f.call.Target, Header: header, Body: f.body, Hops: 1,
	}
}

func (f *requestState) customerName() string {
	if f.customer == nil {
		return ""
	}
	return f.customer.Name
}

// failedRelay converts an error of Forward into a failed attempt.
func (f *requestState) failedRelay(err error) *failedAttempt {
	failed := &failedAttempt{reason: verdict.RetryConnection, verdict: verdict.MayHaveRun, err: err}
	var failure *link.Failure
	if errors.As(err, &failure) {
		failed.verdict, failed.reason, failed.err = failure.Verdict, failure.Reason, failure.Err
	}
	if failed.verdict == verdict.NotRun {
		failed.reason = verdict.RetryNotSent
		return failed
	}
	f.recordLostRelay(err)
	return failed
}

// receiveRelayed forwards the answer of a peer that has taken the request. It returns nil once the request is answered.
func (f *requestState) receiveRelayed(answer *link.Answer) *failedAttempt {
	whole := &link.EndpointAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body, Length: answer.Length}
	if answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStreamType) {
		failed := f.forwardStream(unobserved{}, whole)
		if failed != nil {
			f.recordLostRelay(failed.err)
		}
		return failed
	}
	failed := &failedAttempt{status: answer.Status, reason: verdict.RetryTruncated}
	if f.stream != nil && f.stream.headerSent {
		failed.verdict, failed.reason, failed.err = verdict.MayHaveRun, verdict.RetryServerError, errNotResumed
		f.recordVerdict(verdict.MayHaveRun)
		return failed
	}
	body, err := intake.ReadAll(f.account, answer.Body, answer.Length, maxBufferedBytes)
	switch {
	case errors.Is(err, intake.ErrTooLong), errors.Is(err, intake.ErrFull):
		f.recordVerdict(verdict.MayHaveRun)
		return f.forwardLong(whole, body, failed)
	case err != nil:
		f.recordLostRelay(err)
		failed.err = err
		return failed
	}
	peers := link.ForwardVerdict(answer)
	f.recordVerdict(peers)
	if (promisesNotRun(answer.Status) || peers == verdict.NotRun) && f.verdict != verdict.NotRun {
		f.refuse(verdict.Uncertain(verdict.UpstreamError, "the request may have run before a peer refused it with %d", answer.Status))
		return nil
	}
	f.writeBuffered(&bufferedAnswer{status: answer.Status, header: answer.Header, body: body})
	return nil
}

// recordLostRelay records that a peer's answer has ended early. A peer that aborts its answer has used up the attempts or the time that the
// request had. One that was lost counts as one attempt: it may have made more, but hardly ever has.
func (f *requestState) recordLostRelay(err error) {
	f.recordVerdict(verdict.MayHaveRun)
	if errors.Is(err, link.ErrAborted) {
		f.runs = max(f.runs, f.route.MaxAttempts)
	}
}
