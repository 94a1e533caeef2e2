package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/entry"
	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/link"
)

// faultyService runs bookings and fails as scripted. It counts runs by request id and by key.
type faultyService struct {
	mu     sync.Mutex
	script []string
	runs   map[string]int
}

var behaviours = []string{"serve", "abort before", "abort after", "decline", "run and cut", "run and 502", "503"}

func (s *faultyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	behaviour := "serve"
	if len(s.script) > 0 {
		behaviour, s.script = s.script[0], s.script[1:]
	}
	switch behaviour {
	case "serve", "abort after", "run and cut", "run and 502":
		s.runs[r.Header.Get(link.HeaderRequestID)]++
		s.runs[r.Header.Get(link.HeaderIdempotencyKey)]++
	}
	s.mu.Unlock()
	switch behaviour {
	case "serve":
		_, _ = io.WriteString(w, "booked")
	case "decline":
		w.Header().Set(link.HeaderVerdict, "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "run and cut":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
	case "run and 502":
		w.WriteHeader(http.StatusBadGateway)
	case "503":
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

// TestVerdictsAreTrue sends non-idempotent requests and repeats of their keys to two entry instances
// that share their claims, while the service fails in every scripted way. No key may run twice, no
// request refused as not run may have run, and a request that is answered must have run once.
func TestVerdictsAreTrue(t *testing.T) {
	c := qt.New(t)
	service := &faultyService{}
	claims := ledger.NewMemory()
	var instances []*testInstance
	for range 2 {
		f := newTestInstance(c, "a", func(parts *entry.Parts) { parts.Claims = claims })
		f.add("booking", "", service.ServeHTTP)
		f.add("booking", "", service.ServeHTTP)
		instances = append(instances, f)
	}
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		service.script = rapid.SliceOfN(rapid.SampledFrom(behaviours), 0, 8).Draw(t, "script")
		service.runs = make(map[string]int)
		for i, send := range rapid.SliceOfN(rapid.IntRange(0, 5), 1, 8).Draw(t, "sends") {
			key := fmt.Sprintf("%d-%d", round, send%3)
			r := instances[send/3].send(http.MethodPost, "/bookings", "{}", link.HeaderIdempotencyKey, key)
			id := r.header.Get(link.HeaderRequestID)
			service.mu.Lock()
			byRequest, byKey := service.runs[id], service.runs[key]
			service.mu.Unlock()
			if byKey > 1 {
				t.Fatalf("send %d: key %s ran %d times", i, key, byKey)
			}
			if r.status != http.StatusOK && r.refusal().Verdict == "not_run" && byRequest > 0 {
				t.Fatalf("send %d: refused as not run, ran %d times: %s", i, byRequest, r.body)
			}
			if r.status == http.StatusOK && byKey != 1 {
				t.Fatalf("send %d: answered, ran %d times", i, byKey)
			}
		}
	})
}
