package infra_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/standin/kv"
	"plumbarrow.example/plumbarrow/standin/rater"
	"plumbarrow.example/plumbarrow/standin/weights"
)

func serveHTTP(t *testing.T, handler http.Handler) (address string) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestConsulFaults checks the error of a write for each fault of the service, and that the error is correct:
// after ErrUnavailable or ErrConflict nothing was written; after ErrOutcomeUnknown the value may be written.
func TestConsulFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		faults  kv.Faults
		expect  infra.StoreVersion
		err     error
		written bool
	}{
		{"none", kv.Faults{}, 1, nil, true},
		{"another version", kv.Faults{}, 7, infra.ErrConflict, false},
		{"down", kv.Faults{Down: true}, 1, infra.ErrUnavailable, false},
		{"refused", kv.Faults{FailedWrites: 1}, 1, infra.ErrUnavailable, false},
		{"dropped", kv.Faults{DroppedWrites: 1}, 1, infra.ErrOutcomeUnknown, false},
		{"answer lost", kv.Faults{LostAnswers: 1}, 1, infra.ErrOutcomeUnknown, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			service := kv.New()
			client := infra.NewConsul(serveHTTP(t, service.Handler()), nil)
			first, err := client.CompareAndSwap(t.Context(), "a/key", 0, []byte("old"))
			c.Assert(err, qt.IsNil)
			service.SetFaults(test.faults)
			version, err := client.CompareAndSwap(t.Context(), "a/key", first*test.expect, []byte("new"))
			c.Assert(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
			service.SetFaults(kv.Faults{})
			entry, err := client.Get(t.Context(), "a/key")
			c.Assert(err, qt.IsNil)
			c.Assert(string(entry.Value) == "new", qt.Equals, test.written)
			if test.err == nil {
				c.Assert(version, qt.Equals, entry.Version)
			}
			c.Assert(service.Calls()[kv.OpSwap], qt.Equals, 2) // the adapter never repeats a write
		})
	}
}

// TestConsulMalformedResponses checks the errors of a write and a read for responses that the stand-in service
// never gives.
func TestConsulMalformedResponses(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		write  error
		read   error
	}{
		{"truncated", 200, `{"Results":[{"KV":{"Modi`, infra.ErrOutcomeUnknown, infra.ErrUnavailable},
		{"empty", 200, ``, infra.ErrOutcomeUnknown, infra.ErrUnavailable},
		{"no result", 200, `{"Results":[]}`, infra.ErrOutcomeUnknown, infra.ErrUnavailable},
		{"too long", 200, `[` + strings.Repeat(" ", 3<<20) + `]`, infra.ErrOutcomeUnknown, infra.ErrUnavailable},
		{"gateway error", 502, ``, infra.ErrOutcomeUnknown, infra.ErrUnavailable},
		{"gateway timeout", 504, ``, infra.ErrOutcomeUnknown, infra.ErrUnavailable},
		{"no leader", 500, `No cluster leader`, infra.ErrOutcomeUnknown, infra.ErrUnavailable},
		{"rate limit", 429, ``, infra.ErrUnavailable, infra.ErrUnavailable},
		{"too large", 413, ``, infra.ErrUnavailable, infra.ErrUnavailable},
		{"redirect", 307, ``, infra.ErrOutcomeUnknown, infra.ErrUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int32
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			})
			client := infra.NewConsul(serveHTTP(t, handler), nil)
			_, err := client.CompareAndSwap(t.Context(), "key", 0, []byte("v"))
			qt.Assert(t, errors.Is(err, test.write), qt.IsTrue, qt.Commentf("%v", err))
			_, err = client.Get(t.Context(), "key")
			qt.Assert(t, errors.Is(err, test.read), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, calls.Load(), qt.Equals, int32(2))
		})
	}
}

// TestConsulUnreachable checks that a refused connection is ErrUnavailable, since nothing was sent.
func TestConsulUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	_, err = infra.NewConsul(address, nil).CompareAndSwap(t.Context(), "key", 0, nil)
	qt.Assert(t, errors.Is(err, infra.ErrUnavailable), qt.IsTrue)
}

// TestConsulSilentConnection guards against repeated timeouts after all pooled connections have died silently,
// while new ones work: only one call may time out, and the next one must use a new connection.
func TestConsulSilentConnection(t *testing.T) {
	service := kv.New()
	var silent atomic.Bool
	blocked := make(chan struct{})
	var knownConns sync.Map
	var connected sync.WaitGroup // blocks the first three requests until each has its own connection
	connected.Add(3)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pooled := knownConns.LoadOrStore(r.RemoteAddr, true); pooled && silent.Load() {
			<-blocked
		} else if !pooled && !silent.Load() {
			connected.Done()
			connected.Wait()
		}
		service.Handler().ServeHTTP(w, r)
	})
	client := infra.NewConsul(serveHTTP(t, handler), nil)
	t.Cleanup(func() { close(blocked) })
	done := make(chan error)
	for range 3 { // opens three connections that are then pooled
		go func() { _, err := client.CompareAndSwap(t.Context(), "key", 0, nil); done <- err }()
	}
	for range 3 {
		<-done
	}
	silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Get(ctx, "key")
	qt.Assert(t, errors.Is(err, infra.ErrUnavailable), qt.IsTrue)
	_, err = client.Get(t.Context(), "key")
	qt.Assert(t, err, qt.IsNil)
}

// TestConsulWatch checks that a watch returns a changed entry at once, also if the service's index has gone
// backwards; ErrNotFound for a missing key and the unchanged entry only after the wait; and ErrUnavailable if
// the service does not answer.
func TestConsulWatch(t *testing.T) {
	c := qt.New(t)
	service := kv.New()
	client := infra.NewConsul(serveHTTP(t, service.Handler()), nil)
	_, err := client.Watch(t.Context(), "key", 0, 20*time.Millisecond)
	c.Assert(errors.Is(err, infra.ErrNotFound), qt.IsTrue)
	version := service.Put("key", []byte("v"))
	entry, err := client.Watch(t.Context(), "key", 0, time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(entry.Version, qt.Equals, version)
	entry, err = client.Watch(t.Context(), "key", version, 20*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(entry.Version, qt.Equals, version)
	entry, err = client.Watch(t.Context(), "key", version+100, time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(entry.Version, qt.Equals, version)
	service.SetFaults(kv.Faults{SilentWatches: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Watch(ctx, "key", version, time.Millisecond)
	c.Assert(errors.Is(err, infra.ErrUnavailable), qt.IsTrue)
}

// TestConsulWatchMissing guards against polling a missing key in a loop. Consul answers a query without an index
// at once, also for a missing key, and returns the index with which the next query blocks.
func TestConsulWatchMissing(t *testing.T) {
	var calls atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set("X-Consul-Index", "12")
		if r.URL.Query().Get("index") == "12" {
			_, _ = w.Write([]byte(`[{"Key":"key","Value":"dg==","ModifyIndex":13}]`))
			return
		}
		w.WriteHeader(http.StatusNotFound)
	})
	entry, err := infra.NewConsul(serveHTTP(t, handler), nil).Watch(t.Context(), "key", 0, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, entry.Version, qt.Equals, infra.StoreVersion(13))
	qt.Assert(t, calls.Load(), qt.Equals, int32(2))
}

// TestConsulLease checks that a lease has one holder at a time, that the fencing token grows with each change of
// holder but not with renewals, that the expiry is never later than the store's, and that every call is counted.
func TestConsulLease(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	client := infra.NewConsul(serveHTTP(t, kv.New().Handler()), func(string) { calls.Add(1) })
	sentAt := time.Now()
	first, err := client.Acquire(t.Context(), "lease", "one", 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(calls.Load(), qt.Equals, int32(3)) // create session, acquire lock, read fencing token
	c.Assert(first.Expires.Before(sentAt.Add(10*time.Second)), qt.IsFalse)
	c.Assert(first.Expires.After(time.Now().Add(10*time.Second)), qt.IsFalse)
	_, err = client.Acquire(t.Context(), "lease", "two", 10*time.Second)
	c.Assert(errors.Is(err, infra.ErrLeaseLost), qt.IsTrue)
	renewed, err := client.Acquire(t.Context(), "lease", "one", 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(renewed.Fence, qt.Equals, first.Fence)
	c.Assert(client.Release(t.Context(), renewed), qt.IsNil)
	second, err := client.Acquire(t.Context(), "lease", "two", 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Fence > first.Fence, qt.IsTrue)
	c.Assert(client.Release(t.Context(), first), qt.IsNil) // already lost
	_, err = client.Acquire(t.Context(), "lease", "one", 10*time.Second)
	c.Assert(errors.Is(err, infra.ErrLeaseLost), qt.IsTrue)
}

// TestRaterAndWeights checks HTTPRater and HTTPWeights against the stand-in services.
func TestRaterAndWeights(t *testing.T) {
	c := qt.New(t)
	service := rater.New()
	client := infra.NewHTTPRater(serveHTTP(t, service.Handler()), nil)
	_, err := client.Rate(t.Context(), "r1", "prompt", "answer")
	c.Assert(err, qt.IsNil)
	service.Set(true, 0)
	_, err = client.Rate(t.Context(), "r1", "prompt", "answer")
	c.Assert(err, qt.ErrorMatches, "rate: status 503")

	store := infra.NewHTTPWeights(serveHTTP(t, weights.New(0.001, 1, 100).Handler()), nil)
	description, err := store.Weights(t.Context(), "m", "v1")
	c.Assert(err, qt.IsNil)
	c.Assert(description.Bytes, qt.Equals, int64(100))
	_, err = store.Weights(t.Context(), "m", "v1")
	var limited *infra.RateLimitError
	c.Assert(errors.As(err, &limited), qt.IsTrue)
	c.Assert(limited.RetryAfter, qt.Equals, time.Second)
}
