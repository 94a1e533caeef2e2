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

func overHTTP(t *testing.T, handler http.Handler) (address string) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestConsulFaults checks what each fault of the service makes of a write, and that the error is
// true: after ErrUnavailable and ErrConflict nothing was written, by ErrOutcomeUnknown it may be.
func TestConsulFaults(t *testing.T) {
	for _, one := range []struct {
		name    string
		faults  kv.Faults
		expect  infra.Version
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
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			service := kv.New()
			client := infra.NewConsul(overHTTP(t, service.Handler()), nil)
			first, err := client.Swap(t.Context(), "a/key", 0, []byte("old"))
			c.Assert(err, qt.IsNil)
			service.Fail(one.faults)
			version, err := client.Swap(t.Context(), "a/key", first*one.expect, []byte("new"))
			c.Assert(errors.Is(err, one.err), qt.IsTrue, qt.Commentf("%v", err))
			service.Fail(kv.Faults{})
			entry, err := client.Get(t.Context(), "a/key")
			c.Assert(err, qt.IsNil)
			c.Assert(string(entry.Value) == "new", qt.Equals, one.written)
			if one.err == nil {
				c.Assert(version, qt.Equals, entry.Version)
			}
			c.Assert(service.Calls()[kv.OpSwap], qt.Equals, 2) // the adapter never repeats a write
		})
	}
}

// TestConsulAnswers checks what answers that the stand-in never gives make of a write and a read.
func TestConsulAnswers(t *testing.T) {
	for _, one := range []struct {
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
		t.Run(one.name, func(t *testing.T) {
			var calls atomic.Int32
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				w.WriteHeader(one.status)
				_, _ = w.Write([]byte(one.body))
			})
			client := infra.NewConsul(overHTTP(t, handler), nil)
			_, err := client.Swap(t.Context(), "key", 0, []byte("v"))
			qt.Assert(t, errors.Is(err, one.write), qt.IsTrue, qt.Commentf("%v", err))
			_, err = client.Get(t.Context(), "key")
			qt.Assert(t, errors.Is(err, one.read), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, calls.Load(), qt.Equals, int32(2))
		})
	}
}

// TestConsulUnreachable: nothing listens, so nothing was sent.
func TestConsulUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	listener.Close()
	_, err = infra.NewConsul(address, nil).Swap(t.Context(), "key", 0, nil)
	qt.Assert(t, errors.Is(err, infra.ErrUnavailable), qt.IsTrue)
}

// TestConsulSilentConnection: every open connection has gone silent for good while new ones work.
// One call pays; the next one uses a new connection.
func TestConsulSilentConnection(t *testing.T) {
	service := kv.New()
	var silent atomic.Bool
	forever := make(chan struct{})
	var old sync.Map
	var arrived sync.WaitGroup // holds the first three requests until each has its own connection
	arrived.Add(3)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pooled := old.LoadOrStore(r.RemoteAddr, true); pooled && silent.Load() {
			<-forever
		} else if !pooled && !silent.Load() {
			arrived.Done()
			arrived.Wait()
		}
		service.Handler().ServeHTTP(w, r)
	})
	client := infra.NewConsul(overHTTP(t, handler), nil)
	t.Cleanup(func() { close(forever) })
	done := make(chan error)
	for range 3 { // three pooled connections
		go func() { _, err := client.Swap(t.Context(), "key", 0, nil); done <- err }()
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

// TestConsulWatch: a watch returns a change, ErrNotFound only once the wait is over while the key
// is missing, the unchanged entry after the wait, and whatever differs when the service's index
// has gone backwards.
func TestConsulWatch(t *testing.T) {
	c := qt.New(t)
	service := kv.New()
	client := infra.NewConsul(overHTTP(t, service.Handler()), nil)
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
	service.Fail(kv.Faults{SilentWatches: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Watch(ctx, "key", version, time.Millisecond)
	c.Assert(errors.Is(err, infra.ErrUnavailable), qt.IsTrue)
}

// TestConsulWatchMissing: the published interface answers a query without an index at once, also
// for a missing key, and gives the index to wait for.
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
	entry, err := infra.NewConsul(overHTTP(t, handler), nil).Watch(t.Context(), "key", 0, time.Minute)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, entry.Version, qt.Equals, infra.Version(13))
	qt.Assert(t, calls.Load(), qt.Equals, int32(2))
}

// TestConsulLease: one holder at a time, a fence that grows with each change of holder and not with
// renewals, an expiry that never lies after the store's, every call counted.
func TestConsulLease(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int32
	client := infra.NewConsul(overHTTP(t, kv.New().Handler()), func(string) { calls.Add(1) })
	asked := time.Now()
	first, err := client.Acquire(t.Context(), "lease", "one", 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(calls.Load(), qt.Equals, int32(3)) // session, lock, read of the fence
	c.Assert(first.Expires.Before(asked.Add(10*time.Second)), qt.IsFalse)
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
	c.Assert(client.Release(t.Context(), first), qt.IsNil) // a lease that is lost
	_, err = client.Acquire(t.Context(), "lease", "one", 10*time.Second)
	c.Assert(errors.Is(err, infra.ErrLeaseLost), qt.IsTrue)
}

// TestRaterAndWeights checks the two small adapters against the stand-ins.
func TestRaterAndWeights(t *testing.T) {
	c := qt.New(t)
	judge := rater.New()
	client := infra.NewHTTPRater(overHTTP(t, judge.Handler()), nil)
	_, err := client.Rate(t.Context(), "r1", "prompt", "answer")
	c.Assert(err, qt.IsNil)
	judge.Set(true, 0)
	_, err = client.Rate(t.Context(), "r1", "prompt", "answer")
	c.Assert(err, qt.ErrorMatches, "rate: status 503")

	store := infra.NewHTTPWeights(overHTTP(t, weights.New(0.001, 1, 100).Handler()), nil)
	got, err := store.Weights(t.Context(), "m", "v1")
	c.Assert(err, qt.IsNil)
	c.Assert(got.Bytes, qt.Equals, int64(100))
	_, err = store.Weights(t.Context(), "m", "v1")
	var limited *infra.RateLimited
	c.Assert(errors.As(err, &limited), qt.IsTrue)
	c.Assert(limited.RetryAfter, qt.Equals, time.Second)
}
