package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/upstream"
)

// TestWaitingDuringStop guards against requests that are cut off without an answer at the end of a planned stop because they still
// wait for capacity: they are refused at the stage that admits no more of their kind, with a verdict that is true.
func TestWaitingDuringStop(t *testing.T) {
	for name, test := range map[string]struct {
		route  string
		script []answer
		stage  StopStage
		status int // 0 if the request still waits
	}{
		"stream, closed to streams": {"stream", nil, ClosedToStreams, http.StatusServiceUnavailable},
		"stream, closed to all":     {"once", nil, ClosedToAll, http.StatusServiceUnavailable},
		"plain, closed to streams":  {"book", nil, ClosedToStreams, 0},
		"plain, closed to all":      {"book", nil, ClosedToAll, http.StatusServiceUnavailable},
		"after a run":               {"read", []answer{connectionLost()}, ClosedToAll, http.StatusBadGateway},
		"after a run, to streams":   {"stream", []answer{connectionLost()}, ClosedToStreams, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(test.script...)
				occupy := func() {
					for _, blocked := f.table.Place(&upstream.Need{Service: "app"}); blocked == upstream.NotBlocked; {
						_, blocked = f.table.Place(&upstream.Need{Service: "app"})
					}
					for _, id := range []machine.EndpointID{"e1", "e2", "e3"} { // full also without the request itself
						f.table.Apply(upstream.Report{ID: id, Service: "app", Address: string(id), Zone: "a", Slots: 1})
					}
				}
				if len(test.script) > 0 {
					test.script[0].onArrival = occupy
					f.sender.script = test.script
				} else {
					occupy()
				}
				done := make(chan callerAnswer, 1)
				go func() { done <- f.call(test.route) }()
				time.Sleep(500 * time.Millisecond)
				f.server.SetStopStage(test.stage)
				time.Sleep(200 * time.Millisecond)
				select {
				case seen := <-done:
					c.Check(seen.status, qt.Equals, test.status)
					c.Check(seen.header.Get("Retry-After") != "", qt.Equals, test.status == http.StatusServiceUnavailable)
				default:
					c.Check(test.status, qt.Equals, 0)
					<-done
				}
			})
		})
	}
}

// TestSilenceOnLastAttempt guards against a sound stream that is cut because its engine pauses: silence ends an attempt only while
// another attempt may follow.
func TestSilenceOnLastAttempt(t *testing.T) {
	c := qt.New(t)
	f := newFixture(brokenStream(""), connectionLost(), events(lastEvents))
	seen := f.call("stream")
	c.Check(seen.body, qt.Equals, firstEvents+lastEvents)
	c.Assert(f.sender.sent, qt.HasLen, 3)
	for n, out := range f.sender.sent {
		c.Check(out.ProgressTimeout > 0, qt.Equals, n < 2)
		c.Check(out.FirstByteTimeout > 0, qt.Equals, n < 2)
	}
	f = newFixture(events(firstEvents + lastEvents))
	f.call("once")
	c.Check(f.sender.sent[0].ProgressTimeout, qt.Equals, time.Duration(0))
}
