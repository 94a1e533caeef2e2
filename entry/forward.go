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
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// maxHops is how many entry instances may pass a request on.
const maxHops = 1

// forward sends the request to an entry instance of the zone, or of any zone in service if zone is
// empty. That instance makes the claim, the bill and the answer.
func (s *Server) forward(w *work, c echo.Context, zone string, body []byte) error {
	if w.request.Hops >= maxHops {
		return w.fail(verdict.Refuse(verdict.HopLimit, "the request has passed %d entry instances", w.request.Hops))
	}
	var last error = verdict.Refuse(verdict.ZoneOutOfService, "zone %s is out of service and no other can be reached", s.Self.Zone)
	w.started()
	targets := s.forwardTargets(w, zone)
	for tries := 1; len(targets) > 0; tries++ {
		member := targets[tries%len(targets)]
		head := &link.ForwardHead{
			RequestID: w.request.ID,
			Customer:  w.request.Customer.Name,
			Method:    c.Request().Method,
			Path:      c.Request().URL.RequestURI(),
			Header:    forwardHeader(c.Request().Header),
			Body:      body,
			Hops:      w.request.Hops + 1,
		}
		w.note(decide.Note{Stage: "forward", Reason: string(member.ID)})
		w.record.ForwardedTo = string(member.ID)
		if s.Forwarded != nil {
			s.Forwarded(member.Zone, w.request.Route.Pools[0])
		}
		err := s.forwardTo(w, c, member, head)
		var failure *link.Failure
		if err == nil || !errors.As(err, &failure) {
			return err
		}
		w.outcome = verdict.Worst(w.outcome, failure.Verdict)
		last = err
		decision := decide.Retry(w.request, decide.Failed{
			Verdict:   failure.Verdict,
			Reason:    failure.Reason,
			Attempts:  tries,
			Delivered: c.Response().Committed,
		}, s.Retries, time.Now())
		w.note(decision.Notes...)
		if decision.Action == decide.Stop || c.Request().Context().Err() != nil {
			break
		}
		s.Counters.Retried(failure.Reason)
	}
	return w.fail(last)
}

// forwardHeader is the part of a caller's header that the serving instance needs.
func forwardHeader(caller http.Header) http.Header {
	header := link.RequestHeader(caller)
	if session := caller.Get(link.HeaderSession); session != "" {
		header.Set(link.HeaderSession, session)
	}
	return header
}

// forwardTargets returns a few instances, those in zones with the most spare capacity first.
func (s *Server) forwardTargets(w *work, zone string) []machine.Member {
	if s.Forwarder == nil || s.Members == nil {
		return nil
	}
	var targets []machine.Member
	for _, member := range s.Members.Live() {
		wanted := zone == "" && member.Zone != s.Self.Zone || zone != "" && member.Zone == zone
		if wanted && w.snapshot.ZoneInService(member.Zone) {
			targets = append(targets, member)
		}
	}
	w.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if s.Zones != nil {
		spare := spareByZone(s.Zones(), w.request.Route)
		slices.SortStableFunc(targets, func(a, b machine.Member) int { return spare[b.Zone] - spare[a.Zone] })
	}
	return targets
}

func spareByZone(loads []decide.ZoneLoad, route *contract.Route) map[string]int {
	spare := make(map[string]int, len(loads))
	for _, load := range loads {
		for _, pool := range route.Pools {
			spare[load.Zone] += load.Spare[pool]
		}
	}
	return spare
}

// forwardTo relays one instance's answer. A stream is relayed as it comes; other answers are held
// until they are whole.
func (s *Server) forwardTo(w *work, c echo.Context, member machine.Member, head *link.ForwardHead) error {
	answer, err := s.Forwarder.Forward(c.Request().Context(), member, head)
	if err != nil {
		return asFailure(err)
	}
	defer answer.Body.Close()
	if strings.HasPrefix(answer.Header.Get(echo.HeaderContentType), eventStream) {
		return s.relayEvents(w, c, answer)
	}
	held, err := io.ReadAll(io.LimitReader(answer.Body, heldBytes))
	if err != nil {
		return asFailure(err)
	}
	return s.relayBody(w, c, answer, held)
}

func beginForwarded(c echo.Context, answer *link.Answer) {
	for name, values := range answer.Header {
		c.Response().Header()[name] = values
	}
	c.Response().WriteHeader(answer.Status)
}

// relayEvents copies a stream. Its end is there only if the serving instance said so; else the
// stream ends with an error event.
func (s *Server) relayEvents(w *work, c echo.Context, answer *link.Answer) error {
	live := newLiveSink(c, s.Settings.writeTimeout(), nil)
	events := newEventReader(answer.Body)
	for {
		data, err := events.next()
		if errors.Is(err, io.EOF) && c.Response().Committed {
			w.record.Verdict = link.ForwardVerdict(answer)
			return nil
		}
		if err != nil {
			failure := streamFailure(err)
			if c.Response().Committed {
				live.fail(w.fail(failure))
			}
			return failure
		}
		if !c.Response().Committed {
			beginForwarded(c, answer)
		}
		if err := live.event(data, !events.pending()); err != nil {
			return err
		}
	}
}

// relayBody sends what is held of an answer and copies the rest. A rest that breaks off cuts the
// caller's connection.
func (s *Server) relayBody(w *work, c echo.Context, answer *link.Answer, held []byte) error {
	beginForwarded(c, answer)
	if _, err := c.Response().Write(held); err != nil {
		return writeRefusal(err)
	}
	from := &failureReader{reader: answer.Body}
	_, err := io.Copy(c.Response(), from)
	if from.err != nil {
		exchangeOf(c).aborted = true
		return asFailure(from.err)
	}
	if err != nil {
		return writeRefusal(err)
	}
	w.record.Verdict = link.ForwardVerdict(answer)
	return nil
}

// failureReader remembers the reader's error, to tell it from one of the writer.
type failureReader struct {
	reader io.Reader
	err    error
}

// Read implements io.Reader.
func (f *failureReader) Read(p []byte) (int, error) {
	n, err := f.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		f.err = err
	}
	return n, err
}

// ServeForwarded implements link.ForwardHandler.
func (s *Server) ServeForwarded(ctx context.Context, writer http.ResponseWriter, head *link.ForwardHead) verdict.Verdict {
	who := &identity{requestID: head.RequestID, customer: head.Customer, hops: head.Hops, outcome: verdict.MayHaveRun}
	request, err := http.NewRequestWithContext(withIdentity(ctx, who), head.Method, head.Path, bytes.NewReader(head.Body))
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return verdict.NotRun
	}
	request.Header = head.Header
	s.ServeHTTP(writer, request)
	return who.outcome
}
