package rollout

import (
	"math"
	"math/bits"
	"sync"
)

const (
	// restartAttempts of the newer version pass between two starts of a detector.
	restartAttempts = 50
	// startsPerAge is how many starts are kept whose ages, in restarts, have the same number of
	// binary digits.
	startsPerAge = 2
)

// detector watches one comparison for a version that turns bad while it serves. It runs the test
// anew from later and later starts, so that a long healthy past does not outweigh a bad present; the
// n-th start may use 1/(n(n+1)) of the false alarms, which add up to one (an e-detector by spending;
// Shin, Ramdas and Rinaldo, 2023). Recent starts are kept densely, older ones ever more thinly.
type detector struct {
	mu     sync.Mutex
	starts []testStart // oldest first
	number int         // starts so far
}

// testStart is a point from which a test runs.
type testStart struct {
	number         int
	previous, next Tally
}

// look returns the logarithm of the evidence against the version, from the start that shows most,
// less what that start may spend.
func (d *detector) look(settings Settings, previous, next Tally) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restart(previous, next)
	most := math.Inf(-1)
	for _, start := range d.starts {
		share := math.Log(float64(start.number) * float64(start.number+1))
		log := Worse(settings, previous.since(start.previous), next.since(start.next)) - share
		most = max(most, log)
	}
	return most
}

// restart adds a start when enough was seen since the last one. The first one is at nothing.
func (d *detector) restart(previous, next Tally) {
	if len(d.starts) == 0 {
		d.number = 1
		d.starts = []testStart{{number: 1}}
	}
	if last := d.starts[len(d.starts)-1]; next.since(last.next).Attempts < restartAttempts {
		return
	}
	d.number++
	d.starts = append(d.starts, testStart{d.number, previous, next})
	d.thin()
}

// thin drops starts that lie close together for their age, but never the first. Of each age it keeps
// the oldest, which are the next to reach a greater age.
func (d *detector) thin() {
	kept := d.starts[:1]
	var perAge [bits.UintSize + 1]int
	for _, start := range d.starts[1:] {
		age := bits.Len(uint(d.number - start.number))
		if perAge[age] < startsPerAge {
			perAge[age]++
			kept = append(kept, start)
		}
	}
	d.starts = kept
}

// since is what was counted after an earlier tally. Sources that were forgotten in between can make
// the difference negative; it then counts as nothing.
func (t Tally) since(earlier Tally) Tally {
	difference := Tally{
		Attempts:   less(t.Attempts, earlier.Attempts),
		Failures:   less(t.Failures, earlier.Failures),
		FirstBytes: less(t.FirstBytes, earlier.FirstBytes),
		Slow:       less(t.Slow, earlier.Slow),
	}
	for i := range difference.Ratings {
		difference.Ratings[i] = less(t.Ratings[i], earlier.Ratings[i])
	}
	if !difference.plausible() {
		return Tally{}
	}
	return difference
}

// less is a-b, or 0 if that is negative.
func less(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
