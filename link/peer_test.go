package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"

	"plumbarrow.example/plumbarrow/intake"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// forwardFunc adapts a function to ForwardHandler.
type forwardFunc func(ctx context.Context, w http.ResponseWriter, forwarded *ForwardedRequest) verdict.Verdict

func (f forwardFunc) ServeForwarded(ctx context.Context, w http.ResponseWriter, forwarded *ForwardedRequest) verdict.Verdict {
	return f(ctx, w, forwarded)
}

var peer = machine.Member{ID: "entry-2", Incarnation: "i2", Zone: "b", Address: "p:1"}

// servePeer serves one peer in memory. stop shuts it down and waits for it.
func servePeer(c *qt.C, network *pipeNetwork, handler ForwardHandler, callers *intake.Guard) (dialer *PeerDialer, stop func()) {
	mux := drpcmux.New()
	c.Assert(NewLiveness(peer).Register(mux), qt.IsNil)
	c.Assert(NewForwardServer(handler, 1<<20, callers).Register(mux), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- ServePeers(ctx, network, mux) }()
	dialer = NewPeerDialerWith(network.dial)
	return dialer, func() {
		cancel()
		c.Assert(<-served, qt.IsNil)
		dialer.Close()
	}
}

// TestSilentPeer checks that a call on a peer connection whose path is lost fails after callTimeout, and
// that the next call opens a new connection.
func TestSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newPipeNetwork()
		dialer, stop := servePeer(c, network, nil, nil)
		defer stop()
		for range 2 {
			incarnation, err := Ping(t.Context(), dialer, peer)
			c.Assert(err, qt.IsNil)
			c.Assert(incarnation, qt.Equals, peer.Incarnation)
		}
		c.Assert(network.dials.Load(), qt.Equals, int64(1))
		network.lastConn.Load().silent.Store(true)
		start := time.Now()
		_, err := Ping(t.Context(), dialer, peer)
		c.Assert(err, qt.IsNotNil)
		c.Assert(time.Since(start), qt.Equals, callTimeout)
		_, err = Ping(t.Context(), dialer, peer)
		c.Assert(err, qt.IsNil)
		c.Assert(network.dials.Load(), qt.Equals, int64(2))
	})
}

func forwardedRequest() *ForwardedRequest {
	return &ForwardedRequest{
		RequestID: "r1", Customer: "acme", Method: http.MethodPost, Path: "/bookings?x=1",
		Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(strings.Repeat("body", 50_000)), Hops: 1,
	}
}

// TestFrozenMember guards against requests that wait long for an instance which accepts connections and does not run: nothing was sent to it, so
// that another one can still serve in time.
func TestFrozenMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newPipeNetwork()
		network.silent.Store(true)
		dialer, stop := servePeer(c, network, forwardFunc(nil), nil)
		defer stop()
		started := time.Now()
		_, err := NewRelayClient(dialer).Forward(t.Context(), peer, forwardedRequest())
		var failure *Failure
		c.Assert(errors.As(err, &failure), qt.IsTrue)
		c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
		c.Check(time.Since(started), qt.Equals, relayConfirmTimeout) // virtual time
	})
}

// TestForwardedBytes guards against requests and answers that fail on the way between instances because a field or the path is not UTF-8.
func TestForwardedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var received *ForwardedRequest
		echo := func(_ context.Context, w http.ResponseWriter, forwarded *ForwardedRequest) verdict.Verdict {
			received = forwarded
			w.Header().Set("X-Name", forwarded.Header.Get("X-Name"))
			return verdict.Ran
		}
		dialer, stop := servePeer(c, newPipeNetwork(), forwardFunc(echo), nil)
		defer stop()
		sent := forwardedRequest()
		sent.Path, sent.RequestID = "/caf\xe9", "r\xff"
		for _, name := range []string{"caf\xe9", "caf\u00e9", "\u65e5", "\xff\x80"} {
			sent.Header.Set("X-Name", name)
			answer, err := NewForwardClient(dialer).Forward(t.Context(), peer, sent)
			c.Assert(err, qt.IsNil)
			_, _ = io.Copy(io.Discard, answer.Body)
			c.Check(answer.Header.Get("X-Name"), qt.Equals, name)
			c.Check(received.Header.Get("X-Name"), qt.Equals, name)
			c.Check(received.Path, qt.Equals, sent.Path)
			c.Check(received.RequestID, qt.Equals, sent.RequestID)
			_ = answer.Body.Close()
		}
	})
}

// TestForward checks the verdict and reason that the sender of a forwarded request gets in each way that
// the request can end. A planned stop of the serving instance must not truncate the answer.
func TestForward(t *testing.T) {
	complete := func(ctx context.Context, w http.ResponseWriter, forwarded *ForwardedRequest) verdict.Verdict {
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusCreated)
		for range 3 {
			time.Sleep(5 * time.Second) // longer than frameTimeout; keep-alives prevent the timeout
			_, _ = io.WriteString(w, forwarded.Customer+strings.Repeat("x", 40_000))
			w.(http.Flusher).Flush()
		}
		return verdict.Ran
	}
	for _, test := range []struct {
		name    string
		handler forwardFunc
		silent  bool                                    // from the first dial
		during  func(network *pipeNetwork, stop func()) // after the answer's head arrived
		verdict verdict.Verdict
		reason  verdict.Reason // "" for a complete answer
	}{
		{"complete", complete, false, nil, verdict.Ran, ""},
		{"stop meanwhile", complete, false, func(_ *pipeNetwork, stop func()) { go stop() }, verdict.Ran, ""},
		{"unreachable", complete, true, nil, verdict.NotRun, verdict.RetrySilent},
		{"path lost within the answer", complete, false, func(n *pipeNetwork, _ func()) { n.lastConn.Load().silent.Store(true) }, verdict.MayHaveRun, verdict.RetrySilent},
		{"link reset within the answer", complete, false, func(n *pipeNetwork, _ func()) { n.lastConn.Load().Close() }, verdict.MayHaveRun, verdict.RetryConnection},
		{"status of no answer", func(_ context.Context, w http.ResponseWriter, _ *ForwardedRequest) verdict.Verdict {
			w.WriteHeader(0)
			return verdict.Ran
		}, false, nil, verdict.MayHaveRun, verdict.RetryConnection},
		{"field of no answer", func(_ context.Context, w http.ResponseWriter, _ *ForwardedRequest) verdict.Verdict {
			w.Header()["X Foo"] = []string{"1"}
			w.WriteHeader(http.StatusOK)
			return verdict.Ran
		}, false, nil, verdict.MayHaveRun, verdict.RetryConnection},
		{"aborted", func(_ context.Context, w http.ResponseWriter, _ *ForwardedRequest) verdict.Verdict {
			_, _ = io.WriteString(w, "part")
			panic(http.ErrAbortHandler)
		}, false, nil, verdict.MayHaveRun, verdict.RetryConnection},
		{"panic", func(_ context.Context, w http.ResponseWriter, _ *ForwardedRequest) verdict.Verdict { // must not end the process
			_, _ = io.WriteString(w, "part")
			panic("a fault")
		}, false, nil, verdict.MayHaveRun, verdict.RetryConnection},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := newPipeNetwork()
				network.silent.Store(test.silent)
				dialer, stop := servePeer(c, network, test.handler, nil)
				stop = sync.OnceFunc(stop)
				answer, err := NewForwardClient(dialer).Forward(t.Context(), peer, forwardedRequest())
				if err == nil && test.during != nil {
					test.during(network, stop)
				}
				var body []byte
				if err == nil {
					body, err = io.ReadAll(answer.Body)
				}
				if test.reason == "" {
					c.Assert(err, qt.IsNil)
					c.Assert(answer.Status, qt.Equals, http.StatusCreated)
					c.Assert(len(body), qt.Equals, 3*40_004)
					c.Assert(ForwardVerdict(answer), qt.Equals, test.verdict)
				} else {
					var failure *Failure
					c.Assert(errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
					c.Assert(failure.Verdict, qt.Equals, test.verdict)
					c.Assert(failure.Reason, qt.Equals, test.reason)
				}
				if answer != nil {
					answer.Body.Close()
				}
				stop() // waits for a stop in progress
				synctest.Wait()
			})
		})
	}
}
