package entry_test

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/decide"
)

// benchTargets runs the benchmark against four targets: the engine directly; a proxy that only copies,
// whose overhead is the least possible with net/http; an entry instance; and an entry instance that
// forwards to one in another zone.
func benchTargets(b *testing.B, handler http.HandlerFunc, body string, run func(b *testing.B, send func() int)) {
	c := qt.New(b)
	f := newTestInstance(c, "a", nil)
	f.add("small-engines", "small@v1", handler)
	direct := httptest.NewServer(handler)
	defer direct.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	proxy := httptest.NewServer(copyingProxy(client, direct.URL))
	defer proxy.Close()
	forwarding, serving, _ := twoZones(c, decide.NewPicker(decide.DefaultSettings()))
	serving.add("small-engines", "small@v1", handler)
	targets := []struct{ name, url string }{{"direct", direct.URL}, {"hop", proxy.URL}, {"proxied", f.url}, {"forwarded", forwarding.url}}
	for _, target := range targets {
		b.Run(target.name, func(b *testing.B) {
			run(b, func() int {
				request, _ := http.NewRequest(http.MethodPost, target.url+"/v1/chat/completions", strings.NewReader(body))
				request.Header.Set("Authorization", "Bearer sk-acme")
				response, err := client.Do(request)
				if err != nil {
					b.Error(err)
					return 0
				}
				defer response.Body.Close()
				n, err := io.Copy(io.Discard, response.Body)
				if err != nil || response.StatusCode != http.StatusOK {
					b.Errorf("status %d: %v", response.StatusCode, err)
				}
				return int(n)
			})
		})
	}
}

// copyingProxy returns a handler that copies requests to url and answers back, and does nothing else.
func copyingProxy(client *http.Client, url string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		request, _ := http.NewRequest(r.Method, url+r.URL.Path, bytes.NewReader(body))
		request.Header = r.Header.Clone()
		response, err := client.Do(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		maps.Copy(w.Header(), response.Header)
		_, _ = io.Copy(w, response.Body)
	}
}

// BenchmarkRequest measures the latency of sequential requests that are not streamed.
func BenchmarkRequest(b *testing.B) {
	body := `{"model":"assistant","messages":[{"role":"user","content":"` + strings.Repeat("word ", 100) + `"}]}`
	benchTargets(b, engine("v1"), body, func(b *testing.B, send func() int) {
		latencies := make([]time.Duration, 0, b.N)
		for b.Loop() {
			start := time.Now()
			send()
			latencies = append(latencies, time.Since(start))
		}
		slices.Sort(latencies)
		b.ReportMetric(float64(latencies[len(latencies)/2].Nanoseconds())/1000, "p50-µs")
		b.ReportMetric(float64(latencies[len(latencies)*99/100].Nanoseconds())/1000, "p99-µs")
	})
}

// BenchmarkTokens measures the throughput of parallel streams with one token per event. The engine
// flushes each token, or several at once as a batching engine does when its reader is slow.
func BenchmarkTokens(b *testing.B) {
	const tokens = 1000
	for _, batch := range []int{1, 20} {
		b.Run(map[int]string{1: "single", 20: "batched"}[batch], func(b *testing.B) {
			token := []byte(streamEvent("word "))
			handler := func(w http.ResponseWriter, r *http.Request) {
				_ = chatBody(w, r, "v1")
				control := http.NewResponseController(w)
				for i := range tokens {
					_, _ = w.Write(token)
					if i%batch == batch-1 {
						_ = control.Flush()
					}
				}
				_, _ = io.WriteString(w, strings.Join(streamEvents[3:], ""))
			}
			benchTargets(b, handler, `{"model":"assistant","stream":true}`, func(b *testing.B, send func() int) {
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						send()
					}
				})
				b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
			})
		})
	}
}
