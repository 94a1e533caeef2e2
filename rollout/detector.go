package rollout

import (
	"math"
	"math/bits"
	"sync"
)

const (
	// restartAttempts is the number of attempts of the newer version between two starts of a
	// detector.
	restartAttempts = 50
	// startsPerAge is how many starts are kept per age class: ages, counted in starts, with the
	// same number of binary digits.
	startsPerAge = 2
)

// detector detects in one comparison that a version turns bad while it serves (change-point
// detection). It runs the test anew from later and later starts, so that a long healthy past does
// not outweigh recent failures. The n-th start may use 1/(n(n+1)) of the false alarm probability,
// which adds up to one (an e-detector by spending; Shin, Ramdas and Rinaldo, 2023). Recent starts
// are kept densely, older ones ever more sparsely.
type detector struct {
	mu         sync.Mutex
	starts     []testStart // oldest first
	startCount int         // starts so far, including dropped ones
}

// testStart is a point from which a test runs, with the tallies at that point.
type testStart struct {
	number         int
	previous, next Tally
}

// logEvidence updates the starts and returns the logarithm of the evidence against the version: the
// maximum over the starts, each less the penalty for its part of the false alarm probability.
func (d *detector) logEvidence(settings Settings, previous, next Tally) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restart(previous, next)
	strongest := math.Inf(-1)
	for _, start := range d.starts {
		penalty := math.Log(float64(start.number) * float64(start.number+1))
		evidence := CombinedLogEValue(settings, previous.since(start.previous), next.since(start.next)) - penalty
		strongest = max(strongest, evidence)
	}
	return strongest
}

// restart adds a start once restartAttempts of the newer version followed the last one. The first
// start is at zero counts.
func (d *detector) restart(previous, next Tally) {
	if len(d.starts) == 0 {
		d.startCount = 1
		d.starts = []testStart{{number: 1}}
	}
	if last := d.starts[len(d.starts)-1]; next.since(last.next).Attempts < restartAttempts {
		return
	}
	d.startCount++
	d.starts = append(d.starts, testStart{d.startCount, previous, next})
	d.prune()
}

// prune drops starts that lie close together for their age, but never the first. Of each age class
// it keeps the oldest starts, which are the next to move to the class above.
func (d *detector) prune() {
	kept := d.starts[:1]
	var perAge [bits.UintSize + 1]int
	for _, start := range d.starts[1:] {
		age := bits.Len(uint(d.startCount - start.number))
		if perAge[age] < startsPerAge {
			perAge[age]++
			kept = append(kept, start)
		}
	}
	d.starts = kept
}

// since returns the counts added after an earlier tally. A count that shrank because sources were
// dropped in between becomes 0; an implausible difference counts as an empty tally.
func (t Tally) since(earlier Tally) Tally {
	difference := Tally{
		Attempts:   saturatingSub(t.Attempts, earlier.Attempts),
		Failures:   saturatingSub(t.Failures, earlier.Failures),
		FirstBytes: saturatingSub(t.FirstBytes, earlier.FirstBytes),
		Slow:       saturatingSub(t.Slow, earlier.Slow),
	}
	for i := range difference.Ratings {
		difference.Ratings[i] = saturatingSub(t.Ratings[i], earlier.Ratings[i])
	}
	if !difference.plausible() {
		return Tally{}
	}
	return difference
}

// saturatingSub returns a-b, or 0 if that is negative.
func saturatingSub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
