package canary

import "time"

// A roll-out leaves all requests on the old version for the first half of its duration: a session may only move in
// the second half, and its requests may reach any instance. Then the new version gets a small canary share, which
// yields the evidence against a bad version at idle endpoints, next a larger share on few endpoints, which yields that at load, and
// at last all requests. Ages are fractions of the roll-out's duration.
const (
	// canaryAt is the age at which the new version gets the canary share, which is canaryExposureShare of the
	// allowed exposure. Over three tenths of the duration that uses less than a fifth of the allowed exposure.
	canaryAt            = 0.5
	canaryExposureShare = 0.6
	// stressShare is the least share of the requests that the new version gets in the stress stage, maxStressShare the largest; the allowed
	// exposure decides. They go to stressSpread of its endpoints, or to as many as have room for them. Each of these then has a few times
	// its usual load, which reveals faults that a small share hides.
	stressShare    = 0.2
	maxStressShare = 1. / 3
	stressSpread   = 0.05
	// stressPeriod is the period of the stress stage's bursts. For the stage's share of each period all requests without
	// a session go to the new version, then none. Spread evenly, they would leave endpoints with few slots idle; in shorter bursts much of each
	// would pass before the load is there.
	stressPeriod = 3 * time.Second
	// fullSpread is the share of the new version's endpoints that serve all requests of a service other than of streams until the roll-out
	// completes: their load shows more than that of all endpoints would.
	fullSpread = 1. / 3
	// pacedStressAt is the age at which the stress stage begins for a service of streams. Their paces are compared at idle endpoints, so the
	// canary stage must yield enough of them. Roll-outs of some ten seconds need at least a tenth of their duration for the stress stage.
	pacedStressAt = 0.8
	// minStressAt is the earliest age at which the stress stage begins for other services. Their idle endpoints tell little that
	// loaded ones do not, so as much of the allowed exposure as possible goes to the stress stage.
	minStressAt = 0.55
	// plannedExposure is the share of the allowed exposure that the schedule uses, and plannedSlack that of the allowed number of requests.
	// The rest is a reserve for retries and uneven traffic.
	plannedExposure = 0.93
	plannedSlack    = 0.8
	// minFullAt and maxFullAt bound the age at which the new version gets all requests. After maxFullAt no time
	// would be left to complete the roll-out. Where the allowed exposure would require a later age, only the
	// evidence limits the exposure to a bad version.
	minFullAt = 0.85
	maxFullAt = 0.94
	// completion is the time from the stage with all requests to the completion: minFullHold, and the driver's reaction and the store's answer
	// to two writes.
	completion = minFullHold + 3*driverPeriod
	// completeAt is the earliest age at which the roll-out completes and the old version is no longer used. The
	// remaining time allows for a store that is slow or briefly unavailable.
	completeAt = 0.9
	// overdueAt is the age at which the roll-out completes though many attempts at the new version still wait for
	// their answers, for example those of instances that have stopped.
	overdueAt = 1.15
)

// Minimum times for which a share is held, also by a driver that is behind schedule. In these times a service with
// a few requests per second answers enough of them for the evidence, and requests at the old version finish.
const (
	minCanaryHold = 1500 * time.Millisecond
	minStressHold = 1200 * time.Millisecond
	minFullHold   = 550 * time.Millisecond
)

// Exposure is what a bad version may get by the end of its roll-out, whether its faults are detected or not: a share of its service's requests, 0
// to 1, and a number of requests beyond that.
type Exposure struct {
	Share float64
	Slack float64
}

// planned returns the share of the requests that the schedule may use, if a roll-out has about this number of requests; 0 if that is unknown.
func (e Exposure) planned(requests float64) float64 {
	share := plannedExposure * e.Share
	if requests > 0 {
		share += plannedSlack * e.Slack / requests
	}
	return min(share, 1)
}

// schedule holds the ages at which the stages after the canary stage begin, and the share of the stress stage.
type schedule struct {
	stressAt    float64
	stressShare float64
	fullAt      float64
}

// newSchedule returns the schedule of a roll-out. With even traffic, a version whose faults are not detected has then got at most the exposure, a share
// of all requests, at the end of the duration:
//
//	canaryShare*(stressAt-canaryAt) + stressShare*(fullAt-stressAt) + (1-fullAt) = exposure
//
// The exposure that a late change to all requests leaves goes to the stress stage, which is long for services other than of streams.
func newSchedule(exposure, canaryShare float64, duration time.Duration, paced bool) schedule {
	late := min(maxFullAt, max(minFullAt, 1-completion.Seconds()/duration.Seconds()))
	s := schedule{stressAt: pacedStressAt}
	if !paced {
		at := (1 - (1-stressShare)*late - canaryShare*canaryAt - exposure) / (stressShare - canaryShare)
		s.stressAt = min(max(at, minStressAt), pacedStressAt)
	}
	left := exposure - canaryShare*(s.stressAt-canaryAt) - (1 - late)
	s.stressShare = min(max(left/(late-s.stressAt), stressShare), maxStressShare)
	at := (1 - exposure + canaryShare*(s.stressAt-canaryAt) - s.stressShare*s.stressAt) / (1 - s.stressShare)
	s.fullAt = min(max(at, late), maxFullAt)
	return s
}

// firstShare returns the canary share. It stays below stressShare, so that shares only grow.
func (e Exposure) firstShare() float64 { return min(canaryExposureShare*e.Share, stressShare/2) }

// schedule returns the roll-out's schedule, by the requests that its service has had so far.
func (ro *rollout) schedule(elapsed time.Duration, exposure Exposure) schedule {
	sum := ro.sum()
	requests := 0.0
	if elapsed > 0 {
		requests = float64(sum.oldAnswers+sum.newAnswers) * ro.order.Duration.Seconds() / elapsed.Seconds()
	}
	paced := ro.isPaced()
	if paced {
		requests = 0 // sessions differ in their number of requests, which takes up the slack
	}
	return newSchedule(exposure.planned(requests), exposure.firstShare(), ro.order.Duration, paced)
}

// next returns the stage that the roll-out's age and evidence call for under an allowed exposure. ok is false if
// the stage does not change and the store has it.
func (ro *rollout) next(now time.Time, exposure Exposure) (stage Stage, ok bool) {
	elapsed := ro.elapsed(now)
	stage = Stage{
		OrderRevision: ro.order.Revision, State: Running, Share: ro.stage.Share, ElapsedMS: elapsed.Milliseconds(), Seed: ro.statedSeed(),
	}
	if ro.ended() {
		stage.State = ro.stage.State
		return stage, ro.lost()
	}
	age := float64(elapsed) / float64(max(ro.order.Duration, 1))
	held := now.Sub(ro.stageAt)
	switch {
	case ro.rejected:
		stage.State, stage.Share = Reverted, 0
	case ro.stage.Share == 0:
		if age >= canaryAt {
			stage.Share = exposure.firstShare()
		}
	case ro.stage.Share < stressShare:
		if planned := ro.schedule(elapsed, exposure); held >= minCanaryHold && age >= planned.stressAt {
			stage.Share = planned.stressShare
		}
	case ro.stage.Share < 1:
		if held >= minStressHold && age >= ro.schedule(elapsed, exposure).fullAt {
			stage.Share = 1
		}
	case age >= completeAt && held >= minFullHold && (ro.keepsUp() || age >= overdueAt):
		stage.State = Completed
	}
	changed := stage.State != ro.stage.State || stage.Share != ro.stage.Share
	if changed && (stage.Share == 1 || stage.State == Completed) && ro.logEvidence() >= doubtAt {
		stage.State, stage.Share = Reverted, 0
	}
	return stage, changed || ro.lost()
}
