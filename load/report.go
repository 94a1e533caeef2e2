package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMaxMicros = int64(2 * time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// Quantiles are quantiles of a latency in milliseconds, and the number of measurements.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Report is the result of a run. It counts each sent request as whole, refused, broken, silent or
// without answer.
type Report struct {
	Mix      string         `json:"mix"`
	Seed     uint64         `json:"seed"`
	Rate     float64        `json:"rate"` // planned, in requests per second
	Elapsed  time.Duration  `json:"elapsed_ns"`
	Sent     int            `json:"sent"`
	Skipped  int            `json:"skipped"` // not sent, see Plan.MaxOutstanding
	Whole    int            `json:"whole"`
	Refused  map[string]int `json:"refused"`   // by reason and verdict; the broken ones are counted here too
	Broken   int            `json:"broken"`    // started, then ended with an explicit error
	Silent   int            `json:"silent"`    // incomplete without an explicit error, or failed without a reason
	NoAnswer int            `json:"no_answer"` // connection errors
	// Samples holds the outcome of every sent request, for Audit.
	Samples []Sample `json:"-"`

	firstByte *hdrhistogram.Histogram
	gaps      *hdrhistogram.Histogram
	total     *hdrhistogram.Histogram
}

func newReport(plan Plan) *Report {
	return &Report{
		Mix:       plan.Mix.Name,
		Seed:      plan.Seed,
		Rate:      plan.Rate,
		Refused:   make(map[string]int),
		firstByte: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		gaps:      hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		total:     hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
	}
}

func (r *Report) add(sample Sample) {
	r.Sent++
	r.Samples = append(r.Samples, sample)
	switch {
	case sample.Whole:
		r.Whole++
		record(r.firstByte, sample.FirstByte)
		record(r.total, sample.Total)
		for _, gap := range sample.Gaps {
			record(r.gaps, gap)
		}
	case sample.Reason != "" && sample.Status < 400:
		r.Broken++
		r.Refused[sample.Reason+" ("+sample.Verdict+", after the start)"]++
	case sample.Reason != "":
		r.Refused[sample.Reason+" ("+sample.Verdict+")"]++
	case sample.Status == 0:
		r.NoAnswer++
	default:
		r.Silent++
	}
}

func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(max(d.Microseconds(), 1), histogramMaxMicros))
}

// FirstByte returns the time to the first byte of complete answers.
func (r *Report) FirstByte() Quantiles { return quantiles(r.firstByte) }

// Gaps returns the time between streamed events of complete answers.
func (r *Report) Gaps() Quantiles { return quantiles(r.gaps) }

// Total returns the time to the end of complete answers.
func (r *Report) Total() Quantiles { return quantiles(r.total) }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "mix %s, seed %d: %d sent in %s (%.0f/s), %d skipped\n",
		r.Mix, r.Seed, r.Sent, r.Elapsed.Round(time.Millisecond), float64(r.Sent)/r.Elapsed.Seconds(), r.Skipped)
	fmt.Fprintf(w, "  whole answers  %d\n  refused        %d\n  cut off        %d explicit, %d silent\n  no answer      %d\n",
		r.Whole, r.Sent-r.Whole-r.Broken-r.Silent-r.NoAnswer, r.Broken, r.Silent, r.NoAnswer)
	for _, reason := range slices.Sorted(maps.Keys(r.Refused)) {
		fmt.Fprintf(w, "    %-48s %d\n", reason, r.Refused[reason])
	}
	line := func(name string, q Quantiles) {
		fmt.Fprintf(w, "  %-14s p50 %8.2f ms   p95 %8.2f ms   p99 %8.2f ms   max %8.2f ms   (%d)\n", name, q.P50, q.P95, q.P99, q.Max, q.Count)
	}
	line("first byte", r.FirstByte())
	line("between events", r.Gaps())
	line("whole answer", r.Total())
}
