package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// origin is what the sender of a request that a peer has passed on says of it.
type origin struct {
	body          []byte
	bodyErr       error
	configuration uint64 // lowest version that may serve the request
	runs          int    // attempts before that may have run
	service       string // whose stream the caller already receives; empty without one
}

// ServeForwarded serves a request that a peer has passed on, and returns the verdict on it. It implements link.ForwardHandler. What this
// instance cannot serve either is declined with fieldDeclined.
func (s *Server) ServeForwarded(ctx context.Context, w http.ResponseWriter, forwarded *link.ForwardedRequest) verdict.Verdict {
	header := forwarded.Header
	from := &origin{body: forwarded.Body, bodyErr: forwarded.BodyError}
	from.configuration, _ = strconv.ParseUint(header.Get(fieldConfiguration), 10, 64)
	from.runs, _ = strconv.Atoi(header.Get(fieldRuns))
	from.service = header.Get(fieldService)
	host := header.Get("Host")
	for _, name := range append([]string{"Host"}, instanceFields...) {
		header.Del(name)
	}
	request := (&http.Request{
		Method: forwarded.Method, RequestURI: forwarded.Path, Host: host, Header: header, Body: http.NoBody, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	request.URL, _ = url.ParseRequestURI(forwarded.Path)
	if request.URL == nil {
		request.URL = &url.URL{Path: forwarded.Path}
	}
	s.Counters.Inc(relaysServed)
	return s.serve(w, request, from)
}

// checkOrigin returns the refusal of a request of a peer that another instance should take, else nil. It names the configuration in the answer.
func (f *requestState) checkOrigin() *verdict.Refusal {
	if f.origin == nil {
		return nil
	}
	f.writer.Header().Set(fieldConfiguration, strconv.FormatUint(f.snapshot.Version, 10))
	switch {
	case f.server.inFlight.Stopping():
		return stoppingRefusal()
	case f.snapshot.Version < f.origin.configuration:
		return verdict.Refuse(verdict.NoConfiguration, "this instance has configuration %d, the request needs %d", f.snapshot.Version, f.origin.configuration)
	default:
		return nil
	}
}

// checkRuns returns the refusal of a request of a peer whose attempts there leave no room for another one, else nil.
func (f *requestState) checkRuns() *verdict.Refusal {
	if f.origin == nil {
		return nil
	}
	if service := f.origin.service; service != "" && !f.route.Allows(service) {
		return verdict.Uncertain(verdict.UpstreamError, "the stream cannot go on: its route has left service %s", service)
	}
	return f.stillAllowed(f.route)
}

// declines reports whether a refusal tells a peer to pass the request to another instance.
func (f *requestState) declines(refusal *verdict.Refusal) bool {
	if f.origin == nil || refusal.Verdict != verdict.NotRun {
		return false
	}
	switch refusal.Reason {
	case verdict.EndpointsUnreachable, verdict.Stopping, verdict.InstanceFull, verdict.NoConfiguration, verdict.NoEndpoint:
		return true
	default:
		return false
	}
}
