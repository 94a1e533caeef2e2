package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// maxHops is the number of times a request may be forwarded between entry instances. decide.MaxHops
// is the same limit for the picker.
const maxHops = 1

// forward sends the request to an entry instance of the zone, or of any other zone in service if zone
// is empty. That instance claims the idempotency key, records the bill and answers. If its zone
// declines the request, the instances of the remaining zones are tried; other failures are left to
// the retry policy.
func (s *Server) forward(r *requestState, c echo.Context, zone string, body []byte) error {
	if r.request.Hops >= maxHops {
		return r.fail(verdict.Refuse(verdict.HopLimit, "the request has passed %d entry instances", r.request.Hops))
	}
	var lastErr error = verdict.Refuse(verdict.ZoneOutOfService, "zone %s is out of service and no other can be reached", s.Self.Zone)
	r.countFirstAttempt()
	targets := s.forwardTargets(r, zone)
	for tries := 1; len(targets) > 0; tries++ {
		member := targets[tries%len(targets)]
		forwarded := &link.ForwardedRequest{
			RequestID: r.request.ID,
			Customer:  r.request.Customer.Name,
			Method:    c.Request().Method,
			Path:      c.Request().URL.RequestURI(),
			Header:    headerToForward(c.Request().Header),
			Body:      body,
			Hops:      r.request.Hops + 1,
		}
		r.note(decide.Note{Stage: "forward", Reason: string(member.ID)})
		r.record.ForwardedTo = string(member.ID)
		if s.RecordForwarded != nil {
			s.RecordForwarded(member.Zone, r.request.Route.Pools[0])
		}
		err := s.forwardTo(r, c, member, forwarded)
		if errors.As(err, new(errForwardDeclined)) {
			lastErr = err
			targets = slices.DeleteFunc(targets, func(other machine.Member) bool { return other.Zone == member.Zone })
			continue
		}
		var failure *link.Failure
		if err == nil || !errors.As(err, &failure) {
			return err
		}
		r.worstVerdict = verdict.Worst(r.worstVerdict, failure.Verdict)
		lastErr = err
		decision := decide.Retry(r.request, decide.FailedAttempt{
			Verdict:   failure.Verdict,
			Reason:    failure.Reason,
			Attempts:  tries,
			Delivered: c.Response().Committed,
			Pool:      r.request.Route.Pools[0],
		}, s.RetryBudget, time.Now())
		r.note(decision.Notes...)
		if decision.Action == decide.Stop || c.Request().Context().Err() != nil {
			break
		}
		s.Counters.Retried(failure.Reason)
	}
	if errors.As(lastErr, new(errForwardDeclined)) {
		return lastErr
	}
	return r.fail(lastErr)
}

// headerToForward returns the part of the caller's header that the serving instance needs.
func headerToForward(caller http.Header) http.Header {
	header := link.RequestHeader(caller)
	if session := caller.Get(link.HeaderSession); session != "" {
		header.Set(link.HeaderSession, session)
	}
	return header
}

// forwardTargets returns the live instances to which the request may be forwarded, in random order,
// sorted by the spare capacity of their zones, the highest first.
func (s *Server) forwardTargets(r *requestState, zone string) []machine.Member {
	if s.Forwarder == nil || s.Members == nil {
		return nil
	}
	var targets []machine.Member
	for _, member := range s.Members.Live() {
		wanted := zone == "" && member.Zone != s.Self.Zone || zone != "" && member.Zone == zone
		if wanted && r.snapshot.ZoneInService(member.Zone) {
			targets = append(targets, member)
		}
	}
	r.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if s.Zones != nil {
		spare := spareByZone(s.Zones(), r.request.Route)
		slices.SortStableFunc(targets, func(a, b machine.Member) int { return spare[b.Zone] - spare[a.Zone] })
	}
	return targets
}

// spareByZone returns, by zone, the number of requests that the route's pools could start now.
func spareByZone(loads []decide.ZoneLoad, route *contract.Route) map[string]int {
	spare := make(map[string]int, len(loads))
	for _, load := range loads {
		for _, pool := range route.Pools {
			spare[load.Zone] += load.Spare[pool]
		}
	}
	return spare
}

// forwardTo forwards the request to one instance and relays its answer. A stream is relayed as it
// arrives. Of any other answer the first maxBufferedBytes are read before anything is sent, so that
// a failure up to there can be retried.
func (s *Server) forwardTo(r *requestState, c echo.Context, member machine.Member, forwarded *link.ForwardedRequest) error {
	answer, err := s.Forwarder.Forward(c.Request().Context(), member, forwarded)
	if err != nil {
		return asFailure(err)
	}
	defer answer.Body.Close()
	if strings.HasPrefix(answer.Header.Get(echo.HeaderContentType), eventStream) {
		return s.relayEvents(r, c, answer)
	}
	buffered, err := readStart(intake.FromContext(c.Request().Context()), answer)
	if err != nil && !errors.Is(err, errContinues) {
		return asFailure(err)
	}
	if err := forwardDeclined(answer, buffered); err != nil {
		return err
	}
	return s.relayBody(r, c, answer, buffered)
}

func writeForwardedHead(c echo.Context, answer *link.Answer) {
	for name, values := range answer.Header {
		c.Response().Header()[name] = values
	}
	c.Response().WriteHeader(answer.Status)
}

// relayEvents copies a stream of events. If the peer connection fails within the stream, the stream
// ends with an error event; it is complete only at the end that the serving instance signals.
func (s *Server) relayEvents(r *requestState, c echo.Context, answer *link.Answer) error {
	live := newLiveSink(c, s.Settings.writeTimeout(), nil)
	events := newEventReader(intake.FromContext(c.Request().Context()), answer.Body)
	defer events.close()
	for {
		data, err := events.next()
		if errors.Is(err, io.EOF) && c.Response().Committed {
			r.record.Verdict = link.ForwardVerdict(answer)
			return nil
		}
		if err != nil {
			failure := streamFailure(err)
			if c.Response().Committed {
				live.fail(r.fail(failure))
			}
			return failure
		}
		if !c.Response().Committed {
			writeForwardedHead(c, answer)
		}
		if err := live.event(data, !events.pending()); err != nil {
			return err
		}
	}
}

// relayBody sends the buffered part of an answer and copies the rest. If the rest fails, the caller's
// connection is cut, so that the caller can't take the answer for complete.
func (s *Server) relayBody(r *requestState, c echo.Context, answer *link.Answer, buffered []byte) error {
	writeForwardedHead(c, answer)
	if _, err := c.Response().Write(buffered); err != nil {
		return writeRefusal(err)
	}
	body := &errorReader{reader: answer.Body}
	_, err := io.Copy(c.Response(), body)
	if body.err != nil {
		exchangeOf(c).aborted = true
		return asFailure(body.err)
	}
	if err != nil {
		return writeRefusal(err)
	}
	r.record.Verdict = link.ForwardVerdict(answer)
	return nil
}

// errorReader keeps the reader's error, to tell it from an error of the writer in io.Copy.
type errorReader struct {
	reader io.Reader
	err    error
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// brokenBody is a body that cannot be read.
type brokenBody struct{ err error }

// Read implements io.Reader.
func (b brokenBody) Read([]byte) (int, error) { return 0, b.err }

// ServeForwarded implements link.ForwardHandler.
func (s *Server) ServeForwarded(ctx context.Context, writer http.ResponseWriter, received *link.ForwardedRequest) verdict.Verdict {
	body := io.Reader(bytes.NewReader(received.Body))
	if received.BodyError != nil {
		body = brokenBody{received.BodyError}
	}
	forwarded := &forwardedRequest{requestID: received.RequestID, customer: received.Customer, hops: received.Hops, verdict: verdict.MayHaveRun}
	request, err := http.NewRequestWithContext(withForwardedRequest(ctx, forwarded), received.Method, received.Path, body)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return verdict.NotRun
	}
	request.Header = received.Header
	s.ServeHTTP(writer, request)
	return forwarded.verdict
}
