// Package telemetry holds the metrics of a daemon. Each daemon has a separate set, so that several can
// run in one process.
package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"plumbarrow.example/plumbarrow/verdict"
)

// Counters are the counters, gauges and histograms of one daemon. Safe for concurrent use.
type Counters struct {
	set *metrics.Set
}

// New returns an empty set of metrics.
func New() *Counters { return &Counters{set: metrics.NewSet()} }

// Refused counts a refused request by reason.
func (c *Counters) Refused(reason verdict.Reason) {
	c.Add("plumbarrow_refusals_total", "reason", string(reason))
}

// Retried counts an additional attempt by reason: a retry, a hedged request or a cascade step.
func (c *Counters) Retried(reason verdict.Reason) {
	c.Add("plumbarrow_retries_total", "reason", string(reason))
}

// Add increments a counter with one label.
func (c *Counters) Add(name, label, value string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value)).Inc()
}

// Inc increments a counter without labels.
func (c *Counters) Inc(name string) { c.set.GetOrCreateCounter(name).Inc() }

// AddN adds n to the counter with the name.
func (c *Counters) AddN(name string, n int) { c.set.GetOrCreateCounter(name).Add(n) }

// Value returns a counter's value. With an empty label it is the counter without labels.
func (c *Counters) Value(name, label, value string) uint64 {
	if label != "" {
		name = fmt.Sprintf("%s{%s=%q}", name, label, value)
	}
	return c.set.GetOrCreateCounter(name).Get()
}

// Gauge registers a gauge whose value f returns at each scrape.
func (c *Counters) Gauge(name string, f func() float64) { c.set.GetOrCreateGauge(name, f) }

// Observe adds a duration in seconds to a histogram.
func (c *Counters) Observe(name string, seconds float64) {
	c.set.GetOrCreateHistogram(name).Update(seconds)
}

// Write writes all metrics in Prometheus text format.
func (c *Counters) Write(w io.Writer) { c.set.WritePrometheus(w) }
