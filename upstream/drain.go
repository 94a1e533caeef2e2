package upstream

import "time"

const (
	// drainWindow is the age up to which completed requests count for the rate of a queue.
	drainWindow = 2 * time.Second
	// drainSamples is how many of them are kept, minDrainSamples how many are needed.
	drainSamples    = 128
	minDrainSamples = 10
)

// drain records when the last requests of a service were completed at this instance, each of which made room for another one.
type drain struct {
	ends  [drainSamples]time.Time
	next  int // index of the oldest in ends once all are used
	count int
}

func (d *drain) record(now time.Time) {
	d.ends[d.next] = now
	d.next = (d.next + 1) % drainSamples
	d.count = min(d.count+1, drainSamples)
}

// rate returns the completed requests per second; false if too few are recent.
func (d *drain) rate(now time.Time) (float64, bool) {
	recent, oldest := 0, now
	for _, end := range d.ends[:d.count] {
		if age := now.Sub(end); age > drainWindow {
			continue
		}
		recent++
		if end.Before(oldest) {
			oldest = end
		}
	}
	elapsed := now.Sub(oldest).Seconds()
	if recent < minDrainSamples || elapsed == 0 {
		return 0, false
	}
	return float64(recent) / elapsed, true
}

// Forecast returns how long a request that begins to wait for the service now is expected to wait, behind those that are not less urgent. It
// returns false if too few requests of the service were completed lately.
func (t *Table) Forecast(service string, priority int) (time.Duration, bool) {
	q := t.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	rate, known := q.drain.rate(time.Now())
	if !known {
		return 0, false
	}
	ahead := 0
	for _, w := range q.waiters {
		if w.priority <= priority {
			ahead++
		}
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second)), true
}
