package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"plumbarrow.example/plumbarrow/link"
	"plumbarrow.example/plumbarrow/verdict"
)

// copyHeader copies the end-to-end part of an answer's header.
func copyHeader(to, from http.Header) {
	named := from["Connection"]
	for name, values := range from {
		if link.HopByHop(name) || name == "Content-Length" || namedIn(named, name) {
			continue
		}
		to[name] = slices.Clone(values)
	}
}

func namedIn(connection []string, name string) bool {
	for _, list := range connection {
		for one := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(one), name) {
				return true
			}
		}
	}
	return false
}

// deliverHeld sends a whole answer. A failure whose status would promise that the request has not run
// becomes a gateway's failure: the endpoint gave no such promise.
func (f *flow) deliverHeld(held *heldAnswer) {
	if promisesNotRun(held.status) {
		f.refuse(verdict.Uncertain(verdict.UpstreamError, "the endpoint answered %d", held.status))
		return
	}
	copyHeader(f.writer.Header(), held.header)
	f.writer.Header().Set("Content-Length", strconv.Itoa(len(held.body)))
	f.status = held.status
	control := http.NewResponseController(f.writer)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	f.writer.WriteHeader(held.status)
	if _, err := f.writer.Write(held.body); err != nil {
		f.gone = true
		f.server.Log.Debug("answer not written", "request_id", f.id(), "error", err)
	}
}

// passLong passes on an answer that is too long to be held. One that breaks off ends with the
// caller's connection.
func (f *flow) passLong(answer *link.Incoming, begun []byte, failed *failedAttempt) *failedAttempt {
	if promisesNotRun(answer.Status) {
		failed.reason = verdict.RetryServerError
		return failed
	}
	copyHeader(f.writer.Header(), answer.Header)
	if answer.Length >= 0 {
		f.writer.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	f.status = answer.Status
	f.writer.WriteHeader(answer.Status)
	if _, err := f.writer.Write(begun); err != nil {
		f.abort("the caller left")
	}
	if _, err := io.Copy(f.writer, answer.Body); err != nil {
		f.abort("the answer broke off")
	}
	f.outcome = verdict.Ran
	return nil
}

// abort cuts the caller's connection, so that an answer that is not whole cannot be taken for one.
func (f *flow) abort(why string) {
	f.refusal = verdict.Uncertain(verdict.UpstreamTruncated, "%s", why)
	panic(http.ErrAbortHandler)
}

// refuse answers a request that got no endpoint's answer. A status that promises that the request has
// not run is only sent if that is so.
func (f *flow) refuse(refusal *verdict.Refusal) {
	refusal.Verdict = verdict.Worst(refusal.Verdict, f.outcome)
	f.refusal = refusal
	f.server.Counters.Refused(refusal.Reason)
	if f.stream != nil && f.stream.begun {
		panic(http.ErrAbortHandler)
	}
	f.status = statusOf(refusal)
	if refusal.Reason == verdict.CallerGone {
		panic(http.ErrAbortHandler)
	}
	header := f.writer.Header()
	f.server.Callers.Refuse(header, f.call, refusal)
	if refusal.RetryAfter > 0 && promisesNotRun(f.status) {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 2, 64))
	}
	if f.gone || refusal.Reason == verdict.BodyTooLarge {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := refusal.Detail + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	f.writer.WriteHeader(f.status)
	_, _ = io.WriteString(f.writer, body)
}

// statusOf is the status of a refusal. Without a run, what has no status of its own is 503, else it
// is a gateway's failure.
func statusOf(refusal *verdict.Refusal) int {
	status := refusal.Reason.Status()
	if refusal.Verdict == verdict.NotRun {
		if status >= http.StatusInternalServerError {
			return http.StatusServiceUnavailable
		}
		return status
	}
	if refusal.Reason == verdict.DeadlineExceeded {
		return http.StatusGatewayTimeout
	}
	if status < http.StatusInternalServerError || promisesNotRun(status) {
		return http.StatusBadGateway
	}
	return status
}
