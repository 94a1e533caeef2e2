package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/verdict"
)

// repeatingEndpoint rejects the first request on each connection that it accepts, if first is set, and runs all others. Before it
// answers a request that it runs, it writes the rejection again, copies times; withID tells whether the copies carry the id.
type repeatingEndpoint struct {
	status int
	copies int
	withID bool
	conns  atomic.Int64
	runs   atomic.Int64
}

func (e *repeatingEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	first := e.conns.Add(1) == 1
	go e.serve(far, first)
	return near, nil
}

func (e *repeatingEndpoint) serve(conn net.Conn, rejects bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	stale := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(idHeader)
		if rejects {
			rejects = false
			rejection := func(idLine string) string {
				return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy", e.status, http.StatusText(e.status), idLine)
			}
			idLine := idHeader + ": " + id + "\r\n"
			_, _ = io.WriteString(conn, rejection(idLine))
			if !e.withID {
				idLine = ""
			}
			stale = strings.Repeat(rejection(idLine), e.copies)
			continue
		}
		e.runs.Add(1)
		// In pieces, as a slow network would deliver them.
		for len(stale) > 0 {
			n := min(len(stale), 50)
			if _, err := io.WriteString(conn, stale[:n]); err != nil {
				return
			}
			stale = stale[n:]
		}
		if _, err := io.WriteString(conn, okAnswer(id, "ran")); err != nil {
			return
		}
	}
}

// matchNamed matches answers by the id that they echo, if any.
func matchNamed(answer http.Header, id string) Match {
	if answer.Get(idHeader) == "" {
		return Unnamed
	}
	return matchID(answer, id)
}

var rejectionStatuses = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout,
	http.StatusBadRequest, http.StatusInternalServerError,
}

// sendTwice sends the requests first and second, one after the other, and checks that the second one gets the answer to its own run.
func sendTwice(t *testing.T, endpoint *repeatingEndpoint, first, second string) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client := NewEndpointClientWith(endpoint.dial, matchNamed)
		defer client.Close()
		answer, err := client.Send(t.Context(), newEndpointRequest(first, "/"))
		c.Assert(err, qt.IsNil)
		c.Check(answer.Status, qt.Equals, endpoint.status)
		readAndClose(c, answer)
		answer, err = client.Send(t.Context(), newEndpointRequest(second, "/"))
		c.Assert(err, qt.IsNil)
		c.Check(answer.Status, qt.Equals, http.StatusOK)
		c.Check(readAndClose(c, answer), qt.Equals, "ran")
		c.Check(endpoint.runs.Load(), qt.Equals, int64(1))
	})
}

// TestRepeatedRejectionOfSameRequest guards against work that runs twice: an earlier rejection of a request, written once more, must
// not be taken as the answer to the next attempt of that request.
func TestRepeatedRejectionOfSameRequest(t *testing.T) {
	for _, status := range rejectionStatuses {
		for _, copies := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%d/%d copies", status, copies), func(t *testing.T) {
				sendTwice(t, &repeatingEndpoint{status: status, copies: copies, withID: true}, "a", "a")
			})
		}
	}
}

// TestRepeatedRejectionWithoutID guards against work that runs twice: an earlier rejection that names no request must not be taken
// as the answer to the request that waits on the connection.
func TestRepeatedRejectionWithoutID(t *testing.T) {
	for _, status := range rejectionStatuses {
		for _, copies := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%d/%d copies", status, copies), func(t *testing.T) {
				sendTwice(t, &repeatingEndpoint{status: status, copies: copies}, "a", "b")
			})
		}
	}
}

// TestUnnamedAfterOtherAnswer checks that on a new connection only the first answer may lack the request's id.
func TestUnnamedAfterOtherAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const unnamed = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		for before, status := range map[string]int{"": http.StatusServiceUnavailable, okAnswer("other", "not yours"): http.StatusOK} {
			endpoint := &scriptedEndpoint{script: func(_, id string) string { return before + unnamed + okAnswer(id, "ran") }}
			client := NewEndpointClientWith(endpoint.dial, matchNamed)
			answer, err := client.Send(t.Context(), newEndpointRequest("a", "/"))
			c.Assert(err, qt.IsNil)
			c.Check(answer.Status, qt.Equals, status)
			c.Check(answer.Body.Close(), qt.IsNil)
			client.Close()
		}
	})
}

// TestManyRepeatedAnswers guards against answers that are lost though they arrive: any number of copies of an earlier answer that
// stays within the bounds of an answer's head is skipped.
func TestManyRepeatedAnswers(t *testing.T) {
	for _, copies := range []int{1, 2, 3, 30} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			sendTwice(t, &repeatingEndpoint{status: http.StatusServiceUnavailable, copies: copies, withID: true}, "a", "b")
		})
	}
}

// TestConnectionsOfOneRequest checks that an attempt uses an idle connection that has not carried its request, opens another one only
// if there is none, and that a connection which has carried maxCarried requests is replaced.
func TestConnectionsOfOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		client, endpoint := scriptedClient(func(_, id string) string { return okAnswer(id, "done") })
		defer client.Close()
		send := func(id string) *EndpointAnswer {
			answer, err := client.Send(t.Context(), newEndpointRequest(id, "/"))
			c.Assert(err, qt.IsNil)
			return answer
		}
		first, second := send("a"), send("b")
		readAndClose(c, second)
		readAndClose(c, first) // used most recently
		readAndClose(c, send("a"))
		c.Check(endpoint.conns.Load(), qt.Equals, int64(2))
		readAndClose(c, send("a"))
		c.Check(endpoint.conns.Load(), qt.Equals, int64(3))
		for n := range 3 * maxCarried {
			readAndClose(c, send(fmt.Sprint(n)))
		}
		c.Check(endpoint.conns.Load(), qt.Equals, int64(4))
	})
}

// TestDispatcherRepeatedRejection guards against work that runs twice: net/http matches answers by their order only, so that a
// repeated rejection is taken as the answer to the next attempt on the connection. It must not count as not run.
func TestDispatcherRepeatedRejection(t *testing.T) {
	for name, withID := range map[string]bool{"with the attempt's id": true, "without an id": false} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
			t.Run(fmt.Sprintf("%s/%d", name, status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					endpoint := &declaringEndpoint{status: status, copyWithID: withID}
					dispatcher := NewDispatcherWith(endpoint.dial)
					defer dispatcher.Close()
					for _, id := range []string{"first", "second"} {
						attempt := newAttempt("10.0.0.1:80", false)
						attempt.ID = id
						_, err := dispatcher.Do(t.Context(), attempt)
						var failure *Failure
						c.Assert(errors.As(err, &failure), qt.IsTrue)
						if id == "first" {
							c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
							synctest.Wait() // until the connection is idle
							continue
						}
						c.Check(failure.Verdict, qt.Equals, verdict.MayHaveRun)
						c.Check(failure.Reason, qt.Equals, verdict.RetryWrongAttempt)
					}
					c.Check(endpoint.runs.Load(), qt.Equals, int64(1))
				})
			})
		}
	}
}

// declaringEndpoint rejects the first attempt on a connection, and answers the next one, which it runs, with a copy of that.
type declaringEndpoint struct {
	status     int
	copyWithID bool
	runs       atomic.Int64
}

func (e *declaringEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		reader := bufio.NewReader(far)
		rejection := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			text := func(idLine string) string {
				return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%s: not_run\r\nContent-Length: 4\r\n\r\nbusy", e.status, http.StatusText(e.status), idLine, HeaderVerdict)
			}
			idLine := HeaderAttemptID + ": " + request.Header.Get(HeaderAttemptID) + "\r\n"
			if rejection != "" {
				e.runs.Add(1)
				_, _ = io.WriteString(far, rejection)
				continue
			}
			_, _ = io.WriteString(far, text(idLine))
			if !e.copyWithID {
				idLine = ""
			}
			rejection = text(idLine)
		}
	}()
	return near, nil
}
