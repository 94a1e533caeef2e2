// Package canary rolls out new versions of services. The share of requests that a new version gets grows in
// stages, which the driver writes to the store and every instance applies. The new version is taken out of service
// as soon as there is evidence that it is worse than the old one. Versions of models are rolled out by package
// rollout.
package canary

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror"
)

// StagePrefix is the key prefix of the stages in the store; the service's name follows.
const StagePrefix = "plumbarrow/rollout/"

// Order is the operators' order to roll out a version.
type Order struct {
	Service  string
	Target   string // the new version
	Duration time.Duration
	// Revision is the store revision of the order, which identifies it within an era.
	Revision uint64
	Era      uint64 // of the store, see mirror.Position
}

func (o *Order) position() mirror.Position { return mirror.Position{Era: o.Era, Revision: o.Revision} }

// State of a roll-out.
type State string

// States of roll-outs.
const (
	Running   State = "running"
	Completed State = "completed"
	Reverted  State = "reverted"
)

// Stage is the progress of a roll-out, as stored.
type Stage struct {
	OrderRevision uint64 `json:"order"` // revision of the order
	State         State  `json:"state"`
	// Share of the requests that the new version gets, 0 to 1. It only grows, unless the roll-out is rolled back.
	Share float64 `json:"share"`
	// ElapsedMS is the roll-out's age in milliseconds when the stage was written.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Seed is the number by which sessions are assigned to versions, if it is not the order's revision: that of the order when the roll-out
	// began, before a restored store.
	Seed uint64 `json:"seed,omitempty"`
}

// rollout is this instance's state of one roll-out.
type rollout struct {
	order        Order
	seenAt       time.Time // when this instance received the order
	stage        Stage
	stageAt      time.Time // when this instance received the stage
	seed         uint64    // see Stage.Seed
	stored       Stage     // the order's stage as the store has it; zero without one
	restatedAt   time.Time // when a restored store first had the order again; zero if none did
	local        tally
	peers        map[machine.InstanceID]tally
	paces        paces // seen by this instance
	peerPaces    map[machine.InstanceID]*paces
	oldLatency   ewma    // the old version's mean of Attempt.relativeLatency
	atStageStart tally   // counts of all instances when the stage began
	samples      samples // counted by this instance
	peerSamples  map[machine.InstanceID]samples
	total        samples // of this instance and its peers
	rejected     bool    // the evidence shows that the new version is worse
	// replaced is the roll-out that this one's order replaced, completed or in progress. Its share no longer changes; requests that do
	// not use the present target keep to it.
	replaced *rollout
	paced    bool // the service answers with streams, whose paces are compared
}

// Rollouts holds the roll-outs of all services. Safe for concurrent use.
type Rollouts struct {
	exposure Exposure
	counters *telemetry.Counters
	log      *slog.Logger

	mu        sync.Mutex
	byService map[string]*rollout
	stages    map[string]storedStage // by service; a stage may arrive before its order
	reverted  map[string][]string    // versions by service that no request may use, unless the present order names them
	stored    map[string]storedReverted
}

// storedStage is a stage with the position of its document and the time at which this instance received it.
type storedStage struct {
	stage    Stage
	revision uint64 // 0 if there is no document
	era      uint64
	at       time.Time
}

// New returns an empty set of roll-outs.
func New(exposure Exposure, counters *telemetry.Counters, log *slog.Logger) *Rollouts {
	return &Rollouts{
		exposure: exposure, counters: counters, log: log,
		byService: make(map[string]*rollout), stages: make(map[string]storedStage),
		reverted: make(map[string][]string), stored: make(map[string]storedReverted),
	}
}

// Apply starts the roll-out of an order, unless the service's present order is as new or newer. An order that was written again after
// the store came back from an older copy continues the roll-out.
func (r *Rollouts) Apply(order Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byService[order.Service]
	if known != nil && !order.position().After(known.order.position()) {
		return
	}
	if known != nil && known.restatedBy(order, time.Now()) {
		r.restate(known, order)
		return
	}
	ro := &rollout{order: order, seed: order.Revision, seenAt: time.Now(), peers: make(map[machine.InstanceID]tally), peerPaces: make(map[machine.InstanceID]*paces),
		samples: make(samples), total: make(samples), peerSamples: make(map[machine.InstanceID]samples)}
	if known != nil {
		r.recordEnd(known)
		ro.replaced = known.base()
	}
	r.byService[order.Service] = ro
	r.setStage(ro)
	r.log.Info("roll-out ordered", "service", order.Service, "target", order.Target, "duration_ms", order.Duration.Milliseconds(), "order", order.Revision)
}

// RemoveOrder removes the order of a service and its roll-out.
func (r *Rollouts) RemoveOrder(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byService[service]; known != nil {
		r.recordEnd(known)
	}
	delete(r.byService, service)
}

// ApplyStage decodes a stage's document and applies it to the service's roll-out.
func (r *Rollouts) ApplyStage(document mirror.Document) {
	service := strings.TrimPrefix(document.Key, StagePrefix)
	stored := storedStage{era: document.Era, at: time.Now()}
	if !document.Deleted {
		if err := json.Unmarshal(document.Value, &stored.stage); err != nil {
			r.log.Warn("decoding stage failed", "key", document.Key, "revision", document.Revision, "error", err)
			return
		}
		stored.revision = document.Revision
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stages[service] = stored
	if ro := r.byService[service]; ro != nil {
		r.setStage(ro)
	}
}

// setStage updates a roll-out from the stored stage of its service, if that stage belongs to the roll-out's order. A stage that is behind
// the one in force comes from an older copy of the store and is not applied. The caller holds the lock.
func (r *Rollouts) setStage(ro *rollout) {
	stored := r.stages[ro.order.Service]
	ro.stored = Stage{}
	if stored.revision == 0 || stored.era != ro.order.Era || stored.stage.OrderRevision != ro.order.Revision {
		return
	}
	ro.stored, ro.seed = stored.stage, stored.stage.seed()
	if stored.stage == ro.stage || stored.stage.behind(ro.stage) {
		return
	}
	ro.stage, ro.stageAt, ro.paced = stored.stage, stored.at, ro.isPaced()
	ro.atStageStart = ro.sum()
	r.recordEnd(ro)
	r.log.Info("roll-out stage applied", "service", ro.order.Service, "target", ro.order.Target, "state", string(ro.stage.State),
		"share", ro.stage.Share, "revision", stored.revision)
}

// elapsed returns the roll-out's age: since this instance received the order, or continued from the age that the stage's writer stored if that is
// more. Each of the two lags by the time that the store and its watch took.
func (ro *rollout) elapsed(now time.Time) time.Duration {
	seen := now.Sub(ro.seenAt)
	if ro.stage.OrderRevision == 0 {
		return seen
	}
	return max(seen, time.Duration(ro.stage.ElapsedMS)*time.Millisecond+now.Sub(ro.stageAt))
}

// ended reports whether the roll-out has completed or was rolled back.
func (ro *rollout) ended() bool { return ro.stage.State == Completed || ro.stage.State == Reverted }

// Choice restricts the versions of a service that a request may use.
type Choice struct {
	// RequiredVersion is the version that the request must use; empty for any.
	RequiredVersion string
	// ExcludedVersions are the versions that the request must not use. The slice must not be modified.
	ExcludedVersions []string
	// Spread is the share of the version's endpoints that serve its requests; 0 means all.
	Spread float64
}

// Choose returns which version a request may use. session is empty for a request without a session. Requests of one
// session get the same result at every instance. Since the share only grows, a session moves to the new version at
// most once. repeat reports that an earlier attempt of the request may have run.
func (r *Rollouts) Choose(service, session, request string, repeat bool) Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byService[service]
	reverted := r.reverted[service]
	if ro == nil {
		return Choice{ExcludedVersions: reverted}
	}
	target := Choice{RequiredVersion: ro.order.Target, Spread: ro.spread()}
	if len(reverted) > 0 {
		target.ExcludedVersions = withoutVersion(reverted, ro.order.Target)
	}
	other := ro.otherChoice(reverted, cmp.Or(session, request))
	switch {
	case ro.stage.State == Completed:
		return target
	case ro.stage.State == Reverted || ro.rejected:
		return other
	case session == "" && ro.underStress():
		// A repeated request is no evidence, so it does not use up exposure.
		if ro.inBurst(time.Now()) && !repeat {
			return target
		}
		return other
	case hashFraction(ro.seed, cmp.Or(session, request)) < ro.stage.Share:
		return target
	default:
		return other
	}
}

// base returns what requests that do not use the next order's target keep to: the roll-out, without the one that it replaced, if a
// share of the requests uses its target, else the one that it replaced. It is nil if no request uses either.
func (ro *rollout) base() *rollout {
	switch {
	case ro.stage.State != Completed && (ro.stage.State == Reverted || ro.rejected || ro.stage.Share == 0):
		return ro.replaced
	default:
		return &rollout{order: ro.order, seed: ro.seed, stage: ro.stage}
	}
}

// otherChoice returns the choice for a request that does not use the roll-out's target. key is the request's session or id.
func (ro *rollout) otherChoice(reverted []string, key string) Choice {
	excluded := withVersion(reverted, ro.order.Target)
	before := ro.replaced
	if before == nil || before.order.Target == ro.order.Target {
		return Choice{ExcludedVersions: excluded}
	}
	if hashFraction(before.seed, key) < before.stage.Share {
		return Choice{RequiredVersion: before.order.Target, ExcludedVersions: excluded}
	}
	return Choice{ExcludedVersions: withVersion(excluded, before.order.Target)}
}

// underStress reports whether the roll-out is in the stress stage, in which few of the new version's endpoints get several times
// their usual load.
func (ro *rollout) underStress() bool {
	return ro.stage.State == Running && ro.stage.Share >= stressShare && ro.stage.Share < 1
}

// spread returns the share of the new version's endpoints that serve its requests; 0 means all. The caller holds
// the lock.
func (ro *rollout) spread() float64 {
	switch {
	case ro.underStress():
		return stressSpread
	case ro.stage.State == Running && ro.stage.Share == 1 && !ro.paced:
		return fullSpread
	default:
		return 0
	}
}

// inBurst reports whether requests without a session go to the new version at the moment, see stressPeriod.
func (ro *rollout) inBurst(now time.Time) bool {
	burst := time.Duration(ro.stage.Share * float64(stressPeriod))
	return now.Sub(ro.stageAt)%stressPeriod < burst
}

// hashFraction hashes a session or request id to [0, 1), differently for each seed.
func hashFraction(seed uint64, key string) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(seed >> (8 * i))
	}
	_, _ = digest.Write(bytes[:])
	return float64(digest.Sum64()>>11) / (1 << 53)
}
