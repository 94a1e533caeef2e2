package canary

import (
	"math"
	"time"
)

const (
	// paceEvents is the number of events of a stream from whose times its pace is known.
	paceEvents = 5
	// The buckets of a pace histogram begin at paceMin, each paceRatio times above the one before.
	paceMin     = time.Millisecond
	paceRatio   = 1.05
	paceBuckets = 150
	// minOldPaces is the number of paces of the old version below which they are not compared.
	minOldPaces = 30
	// paceDeviations is the number of standard deviations by which the count of slow paces must exceed the expected one.
	paceDeviations = 3.5
	// idleLoad is the largest number of other requests at an endpoint that counts as idle. An idle endpoint of a sound version
	// answers about as fast as the fastest tenth of the old version's answers, at most idleSlack times slower. A share of
	// idleSlowShare may be slower for other reasons, such as long prompts of requests that follow.
	idleLoad      = 1
	idleSlack     = 1.2
	idleSlowShare = 0.12
	// minIdlePaces is the number of paces at idle endpoints from which they are compared.
	minIdlePaces = 6
)

// paceHistogram counts streams by pace: the mean time between their first events. Unlike the time to the first byte, it does not depend on
// the prompt and on queued work, so that a version that is a few times slower shows.
type paceHistogram [paceBuckets]uint32

func (h *paceHistogram) add(pace time.Duration) {
	bucket := int(math.Log(float64(max(pace, paceMin))/float64(paceMin)) / math.Log(paceRatio))
	h[min(bucket, paceBuckets-1)]++
}

func (h *paceHistogram) merge(counts []uint32) {
	for i := range min(len(counts), paceBuckets) {
		h[i] += counts[i]
	}
}

func (h *paceHistogram) total() (total int) {
	for _, count := range h {
		total += int(count)
	}
	return total
}

// quantile returns the bucket that holds the quantile q, 0 to 1.
func (h *paceHistogram) quantile(q float64) int {
	rest := q * float64(h.total())
	for bucket, count := range h {
		rest -= float64(count)
		if rest < 0 {
			return bucket
		}
	}
	return paceBuckets - 1
}

// above returns the number of paces in the buckets after the given one.
func (h *paceHistogram) above(bucket int) (count int) {
	for _, n := range h[min(bucket+1, paceBuckets):] {
		count += int(n)
	}
	return count
}

// paces are the paces of both versions. Those of the new version are counted while it has the canary share: its endpoints then have
// less load than those of the old version.
type paces struct {
	old, new, newIdle paceHistogram
}

func (p *paces) merge(o *paces) {
	p.old.merge(o.old[:])
	p.new.merge(o.new[:])
	p.newIdle.merge(o.newIdle[:])
}

// slower reports whether the new version is significantly slower: more than half of its paces are above the old version's median, or many of those at
// idle endpoints are not near the old version's fastest.
func (p *paces) slower() bool {
	if p.old.total() < minOldPaces {
		return false
	}
	if exceeds(p.new.above(p.old.quantile(0.5)), p.new.total(), 0.5) {
		return true
	}
	idle := p.newIdle.total()
	slack := int(math.Round(math.Log(idleSlack) / math.Log(paceRatio)))
	return idle >= minIdlePaces && exceeds(p.newIdle.above(p.old.quantile(0.1)+slack), idle, idleSlowShare)
}

// exceeds reports whether count of total is significantly more than the expected share.
func exceeds(count, total int, share float64) bool {
	expected := share * float64(total)
	return float64(count) > expected+paceDeviations*math.Sqrt(expected*(1-share)) && total > 0
}

// ObservePace records the pace of a stream. idle reports that the endpoint had hardly any other requests when it began.
func (r *Rollouts) ObservePace(service, version string, pace time.Duration, idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byService[service]
	if ro == nil || ro.ended() {
		return
	}
	if version != ro.order.Target {
		ro.paces.old.add(pace)
		return
	}
	if ro.stage.Share == 0 || ro.stage.Share >= stressShare {
		return
	}
	ro.paces.new.add(pace)
	if idle {
		ro.paces.newIdle.add(pace)
	}
	r.evaluate(ro)
}

// sumPaces adds the paces of all instances.
func (ro *rollout) sumPaces() *paces {
	sum := ro.paces
	for _, peer := range ro.peerPaces {
		sum.merge(peer)
	}
	return &sum
}

// isPaced reports whether the service answers with streams, so that the versions' paces can be compared.
func (ro *rollout) isPaced() bool {
	observed := ro.sumPaces()
	return observed.old.total() >= minOldPaces
}
