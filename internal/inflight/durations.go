package inflight

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// generationTime is the time after which a generation of durations stops growing. The latest two generations count.
	generationTime = 10 * time.Second
	// highQuantile and lowQuantile are the quantiles that Durations.High and Durations.Low return.
	highQuantile = 0.99
	lowQuantile  = 0.05
	// minLowSamples is the number of recent durations below which Durations.Low is not known.
	minLowSamples = 20
	lowLifetime   = 100 * time.Millisecond
)

// Durations records how long recent requests of each kind took. The zero value is ready to use. Safe for concurrent use.
type Durations struct {
	mu       sync.Mutex
	started  time.Time // of the current generation
	current  map[string]*metrics.Histogram
	previous map[string]*metrics.Histogram
	lows     map[string]lowDuration
}

// lowDuration is a result of Durations.Low. Each request asks for it several times, so that it is kept for lowLifetime.
type lowDuration struct {
	value      time.Duration
	known      bool
	computedAt time.Time
}

// Record adds the duration of a request that ended now.
func (d *Durations) Record(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(time.Now())
	histogram := d.current[kind]
	if histogram == nil {
		histogram = &metrics.Histogram{}
		d.current[kind] = histogram
	}
	histogram.Update(took.Seconds())
}

// High returns a duration that few recent requests of the kind exceeded; false if none is known.
func (d *Durations) High(kind string) (time.Duration, bool) {
	_, upper, count := quantile(d.recent(kind), highQuantile)
	return asDuration(upper), count > 0
}

// Low returns a duration that few recent requests of the kind fell below, as of at most lowLifetime ago; false if too few are known.
func (d *Durations) Low(kind string) (time.Duration, bool) {
	now := time.Now()
	d.mu.Lock()
	low, ok := d.lows[kind]
	d.mu.Unlock()
	if ok && now.Sub(low.computedAt) < lowLifetime {
		return low.value, low.known
	}
	low = lowDuration{computedAt: now}
	if lower, _, count := quantile(d.recent(kind), lowQuantile); count >= minLowSamples {
		low.value, low.known = asDuration(lower), true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lows == nil {
		d.lows = make(map[string]lowDuration)
	}
	d.lows[kind] = low
	return low.value, low.known
}

// rotate starts a new generation if the current one is too old. d.mu must be held.
func (d *Durations) rotate(now time.Time) {
	age := now.Sub(d.started)
	switch {
	case d.current == nil || age > 2*generationTime:
		d.previous = nil
	case age > generationTime:
		d.previous = d.current
	default:
		return
	}
	d.current, d.started = make(map[string]*metrics.Histogram), now
	clear(d.lows)
}

// recent returns the durations of the kind that count now.
func (d *Durations) recent(kind string) *metrics.Histogram {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(time.Now())
	merged := &metrics.Histogram{}
	for _, generation := range []map[string]*metrics.Histogram{d.previous, d.current} {
		if histogram := generation[kind]; histogram != nil {
			merged.Merge(histogram)
		}
	}
	return merged
}

// quantile returns the bounds in seconds of the bucket that holds the quantile q, and the number of all values.
func quantile(histogram *metrics.Histogram, q float64) (lower, upper float64, count uint64) {
	histogram.VisitNonZeroBuckets(func(_ string, n uint64) { count += n })
	rank, seen, found := uint64(math.Ceil(q*float64(count))), uint64(0), ""
	histogram.VisitNonZeroBuckets(func(bucket string, n uint64) {
		if seen < rank {
			found = bucket
		}
		seen += n
	})
	lower, upper = boundsOf(found)
	return lower, upper, count
}

// boundsOf returns the bounds of a histogram's bucket "LOWER...UPPER", in seconds.
func boundsOf(bucket string) (lower, upper float64) {
	lowerText, upperText, _ := strings.Cut(bucket, "...")
	lower, _ = strconv.ParseFloat(lowerText, 64)
	upper, err := strconv.ParseFloat(upperText, 64)
	if err != nil {
		return 0, 0
	}
	return lower, min(upper, math.MaxInt32)
}

func asDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
