package entry

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/decide"
	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

const chatPath = "/v1/chat/completions"

// chatFlow is the state of one chat completion request.
type chatFlow struct {
	bodyBytes int // size of the caller's request body
	*requestState
	context echo.Context
	chat    *openai.ChatBody
	live    *liveSink // nil for an answer that is not streamed
	// abandoned reports that the caller disconnected or read too slowly after its stream had begun.
	abandoned bool
}

func (s *Server) chat(c echo.Context) error {
	snapshot, customer, err := s.authenticate(c)
	if err != nil {
		return err
	}
	if err := checkHeader(c.Request()); err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	chat, err := openai.ParseChat(body)
	if err != nil {
		return verdict.Refuse(verdict.BadRequest, "the body is not a chat request: %v", err)
	}
	route, known := snapshot.ModelRoute(chat.Parsed.Model, customer.Name)
	if !known {
		return verdict.Refuse(verdict.UnknownModel, "model %q is not known", chat.Parsed.Model)
	}
	if route == nil {
		return verdict.Refuse(verdict.ModelNotAllowed, "customer %s may not use model %s", customer.Name, chat.Parsed.Model)
	}
	if err := s.checkConfirmed(route); err != nil {
		return err
	}
	request := s.newRequest(c, customer, route, len(body))
	if refusal := s.checkStop(request); refusal != nil {
		return refusal
	}
	if customer.MonthlyBudget > 0 {
		// The budget is enforced by reservation, which needs an upper bound on the output tokens.
		chat.SetDefaultMaxTokens(s.Settings.MaxOutputTokens)
	}
	request.MaxOutputTokens = max(chat.Parsed.MaxTokens, chat.Parsed.MaxCompletionTokens) * max(chat.Parsed.N, 1)
	session, err := readSession(c.Request().Header.Get(link.HeaderSession), customer,
		s.signingKeys(&snapshot.Document.Sessions), s.Pins, time.Now())
	if err != nil {
		return err
	}
	flow := &chatFlow{bodyBytes: len(body), requestState: s.newRequestState(c, snapshot, request, session), context: c, chat: chat}
	serve := func() error { return flow.serveHere(c.Request().Context()) }
	if !snapshot.ZoneInService(s.Self.Zone) {
		return s.forwardOrServe(flow.requestState, c, "", body, serve)
	}
	err = serve()
	if zone, otherZone := otherZoneOf(err); otherZone {
		return s.forwardOrServe(flow.requestState, c, zone, body, serve)
	}
	return err
}

// serveHere serves the request in this zone. An error that asks for another zone is returned as it
// is; any other error ends a stream that has begun with an error event.
func (f *chatFlow) serveHere(ctx context.Context) error {
	err := f.serve(ctx)
	if _, otherZone := otherZoneOf(err); err == nil || otherZone {
		return err
	}
	return f.endWithError(err)
}

func (s *Server) newRequest(c echo.Context, customer *contract.Customer, route *contract.Route, bodyBytes int) *decide.Request {
	now := time.Now()
	return &decide.Request{
		ID:           requestID(c),
		Customer:     customer,
		Route:        route,
		Method:       c.Request().Method,
		Idempotent:   route.Idempotent(c.Request().Method),
		PromptTokens: bodyBytes / bytesPerToken,
		Arrived:      now,
		Deadline:     now.Add(route.Deadline()),
		Hops:         exchangeOf(c).record.Hops,
	}
}

// endWithError returns err with the worst verdict of all attempts, and sends it as an error event if
// the stream has begun.
func (f *chatFlow) endWithError(err error) error {
	err = f.fail(err)
	if f.live != nil && f.live.begun {
		f.live.fail(err)
	}
	return err
}

// maxCost returns the most that the request may cost, in micro-units. For a customer with a
// budget each body byte counts as one prompt token, since no token is shorter than a byte.
func (f *chatFlow) maxCost() int64 {
	prompt := f.request.PromptTokens
	if f.request.Customer.MonthlyBudget > 0 {
		prompt = f.bodyBytes
	}
	return maxCost(f.snapshot, f.request.Route, prompt, cmp.Or(f.request.MaxOutputTokens, f.server.Settings.MaxOutputTokens))
}

// serve reserves the request's cost, runs the route's cascade and delivers its answer.
func (f *chatFlow) serve(ctx context.Context) error {
	release, err := f.server.Bills.Admit(ctx, f.request.Customer, f.maxCost())
	if err != nil {
		return err
	}
	defer release()
	if f.chat.Parsed.Stream {
		f.live = newLiveSink(f.context, f.server.Settings.writeTimeout(), f.setHeader)
	}
	f.countFirstAttempt()
	return f.cascade(ctx)
}

// setHeader sets the answer's version header and the token that continues the session.
func (f *chatFlow) setHeader(a *attempt) {
	version := a.placed.choice.Version
	f.session.setPin(version)
	sessions := &f.snapshot.Document.Sessions
	header := f.context.Response().Header()
	header.Set(link.HeaderVersion, version.String())
	issued := f.session.issue(f.request.Customer.Name, f.server.signingKeys(sessions), sessionLifetime(sessions), time.Now())
	if issued != "" {
		header.Set(link.HeaderSession, issued)
	}
}

// endStream sends the buffered events of a stream, if any, and its terminator.
func (f *chatFlow) endStream(answer *stepAnswer) error {
	f.live.begin(answer.chatAnswer.attempt)
	if answer.buffered != nil {
		for _, data := range answer.buffered.events {
			if err := f.live.event(data, false); err != nil {
				return err
			}
		}
	}
	return f.live.done()
}

// deliver records the bill, then sends the answer. Of a stream that was sent live only the
// terminator is left to send.
func (f *chatFlow) deliver(ctx context.Context, answer *stepAnswer) error {
	if err := f.bill(ctx); err != nil {
		return err
	}
	f.record.Verdict = verdict.Ran
	if f.live != nil {
		return f.endStream(answer)
	}
	f.setHeader(answer.chatAnswer.attempt)
	control := http.NewResponseController(f.context.Response().Writer)
	_ = control.SetWriteDeadline(time.Now().Add(f.server.Settings.writeTimeout()))
	if err := f.context.Blob(http.StatusOK, echo.MIMEApplicationJSON, answer.chatAnswer.body); err != nil {
		return writeRefusal(err)
	}
	_ = control.SetWriteDeadline(time.Time{})
	return nil
}
