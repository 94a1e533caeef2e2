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

// chatFlow is one chat request.
type chatFlow struct {
	bodyBytes int // of the caller's request
	*work
	context echo.Context
	chat    *openai.ChatBody
	live    *liveSink // nil for an answer that is not streamed
	// abandoned says that the caller left within a stream.
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
	route, known := snapshot.ModelRoute(chat.Read.Model, customer.Name)
	if !known {
		return verdict.Refuse(verdict.UnknownModel, "model %q is not known", chat.Read.Model)
	}
	if route == nil {
		return verdict.Refuse(verdict.ModelNotAllowed, "customer %s may not use model %s", customer.Name, chat.Read.Model)
	}
	if err := s.confirmed(route); err != nil {
		return err
	}
	request := s.newRequest(c, customer, route, len(body))
	if customer.MonthlyBudget > 0 {
		// A budget holds only if the most that a request may cost is known before it runs.
		chat.Bound(s.Settings.MaxOutputTokens)
	}
	request.MaxOutputTokens = max(chat.Read.MaxTokens, chat.Read.MaxCompletionTokens) * max(chat.Read.N, 1)
	session, err := readSession(c.Request().Header.Get(link.HeaderSession), customer,
		s.signingKeys(&snapshot.Document.Sessions), s.Pins, time.Now())
	if err != nil {
		return err
	}
	flow := &chatFlow{bodyBytes: len(body), work: s.newWork(snapshot, request, session, &exchangeOf(c).record), context: c, chat: chat}
	serve := func() error { return flow.serveHere(c.Request().Context()) }
	if !snapshot.ZoneInService(s.Self.Zone) {
		return s.forwardOr(flow.work, c, "", body, serve)
	}
	err = serve()
	if zone, elsewhere := elsewhereOf(err); elsewhere {
		return s.forwardOr(flow.work, c, zone, body, serve)
	}
	return err
}

// serveHere serves the request in this zone; an answer that has begun and fails ends in an error
// event.
func (f *chatFlow) serveHere(ctx context.Context) error {
	err := f.serve(ctx)
	if _, elsewhere := elsewhereOf(err); err == nil || elsewhere {
		return err
	}
	return f.broken(err)
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

// broken ends an answer that has begun with an error event.
func (f *chatFlow) broken(err error) error {
	err = f.fail(err)
	if f.live != nil && f.live.begun {
		f.live.fail(err)
	}
	return err
}

// reserve is the most that the request may cost. For a customer with a budget it counts a token a
// byte, since none is shorter.
func (f *chatFlow) reserve() int64 {
	prompt := f.request.PromptTokens
	if f.request.Customer.MonthlyBudget > 0 {
		prompt = f.bodyBytes
	}
	return reserve(f.snapshot, f.request.Route, prompt, cmp.Or(f.request.MaxOutputTokens, f.server.Settings.MaxOutputTokens))
}

// serve runs the route's cascade and delivers its answer.
func (f *chatFlow) serve(ctx context.Context) error {
	settle, err := f.server.Bills.Admit(ctx, f.request.Customer, f.reserve())
	if err != nil {
		return err
	}
	defer settle()
	if f.chat.Read.Stream {
		f.live = newLiveSink(f.context, f.server.Settings.writeTimeout(), f.head)
	}
	f.started()
	return f.cascade(ctx)
}

// head sets the header of the answer, with the token that continues the session.
func (f *chatFlow) head(t *trial) {
	version := t.placed.choice.Version
	f.session.keep(version)
	sessions := &f.snapshot.Document.Sessions
	header := f.context.Response().Header()
	header.Set(link.HeaderVersion, version.String())
	issued := f.session.issue(f.request.Customer.Name, f.server.signingKeys(sessions), sessionLifetime(sessions), time.Now())
	if issued != "" {
		header.Set(link.HeaderSession, issued)
	}
}

// endLive sends what is held of a stream, and its end.
func (f *chatFlow) endLive(answer *stepAnswer) error {
	f.live.begin(answer.whole.trial)
	if answer.held != nil {
		for _, data := range answer.held.events {
			if err := f.live.event(data, false); err != nil {
				return err
			}
		}
	}
	return f.live.done()
}

// deliver bills the request and releases the answer, or its end if it was streamed live.
func (f *chatFlow) deliver(ctx context.Context, answer *stepAnswer) error {
	if err := f.bill(ctx); err != nil {
		return err
	}
	f.record.Verdict = verdict.Ran
	if f.live != nil {
		return f.endLive(answer)
	}
	f.head(answer.whole.trial)
	control := http.NewResponseController(f.context.Response().Writer)
	_ = control.SetWriteDeadline(time.Now().Add(f.server.Settings.writeTimeout()))
	if err := f.context.Blob(http.StatusOK, echo.MIMEApplicationJSON, answer.whole.body); err != nil {
		return writeRefusal(err)
	}
	_ = control.SetWriteDeadline(time.Time{})
	return nil
}
