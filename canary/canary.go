// Package canary brings new versions of services in. The share of requests that a new version gets
// grows in stages, which the driver writes to the store and every instance follows; evidence that it
// is worse than the old one takes it out at once.
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

// StagePrefix is where the stages of roll-outs are kept, by service.
const StagePrefix = "plumbarrow/rollout/"

// Order is the operators' order to bring a version in.
type Order struct {
	Service  string
	Target   string // the new version
	Duration time.Duration
	// Revision is the store's revision of the order. It tells orders apart.
	Revision uint64
}

// State of a roll-out.
type State string

// States of roll-outs.
const (
	Running   State = "running"
	Completed State = "completed"
	Reverted  State = "reverted"
)

// Stage is how far a roll-out has come.
type Stage struct {
	Order uint64 `json:"order"` // revision of the order
	State State  `json:"state"`
	// Share of the requests that the new version gets, 0 to 1. It only grows.
	Share float64 `json:"share"`
	// ElapsedMS is the roll-out's age in milliseconds when the stage was written.
	ElapsedMS int64 `json:"elapsed_ms"`
}

// rollout is one roll-out as this instance sees it.
type rollout struct {
	order    Order
	seenAt   time.Time
	stage    Stage
	stageAt  time.Time // when this instance saw the stage
	revision uint64    // of the stage's document
	own      tally
	peers    map[machine.InstanceID]tally
	oldDelay average // of answers of the old version, see Attempt.delay
	before   tally   // counted before the stage
	distrust bool    // the evidence says that the version is bad
}

// Rollouts holds the roll-outs of all services. Safe for concurrent use.
type Rollouts struct {
	exposure float64 // see New
	counters *telemetry.Counters
	log      *slog.Logger

	mu        sync.Mutex
	byService map[string]*rollout // by service
	stages    map[string]staged   // by service, also without an order yet
}

type staged struct {
	stage    Stage
	revision uint64
	at       time.Time
}

// New returns no roll-outs. exposure is the part of a service's requests, 0 to 1, that a bad version may get
// by its deadline, whether its faults are seen or not.
func New(exposure float64, counters *telemetry.Counters, log *slog.Logger) *Rollouts {
	return &Rollouts{
		exposure: exposure, counters: counters, log: log,
		byService: make(map[string]*rollout), stages: make(map[string]staged),
	}
}

// Apply takes over the newest order of a service.
func (r *Rollouts) Apply(order Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byService[order.Service]
	if known != nil && known.order.Revision >= order.Revision {
		return
	}
	one := &rollout{order: order, seenAt: time.Now(), peers: make(map[machine.InstanceID]tally)}
	r.byService[order.Service] = one
	r.adopt(one)
	r.log.Info("roll-out ordered", "service", order.Service, "target", order.Target, "duration_ms", order.Duration.Milliseconds(), "order", order.Revision)
}

// Withdraw takes back the order of a service.
func (r *Rollouts) Withdraw(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byService, service)
}

// ApplyStage takes over a stage's document.
func (r *Rollouts) ApplyStage(document mirror.Document) {
	service := strings.TrimPrefix(document.Key, StagePrefix)
	var stage Stage
	if document.Deleted {
		return
	}
	if err := json.Unmarshal(document.Value, &stage); err != nil {
		r.log.Warn("stage not decoded", "key", document.Key, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stages[service] = staged{stage: stage, revision: document.Revision, at: time.Now()}
	if one := r.byService[service]; one != nil {
		r.adopt(one)
	}
}

// adopt gives a roll-out the stage that belongs to its order. The caller holds the lock.
func (r *Rollouts) adopt(one *rollout) {
	found := r.stages[one.order.Service]
	one.revision = found.revision
	if found.stage.Order != one.order.Revision || found.stage == one.stage {
		return
	}
	one.stage, one.stageAt = found.stage, found.at
	one.before = one.sum()
	r.log.Info("roll-out stage", "service", one.order.Service, "target", one.order.Target, "state", string(one.stage.State),
		"share", one.stage.Share, "revision", found.revision)
}

// elapsed is the roll-out's age.
func (one *rollout) elapsed(now time.Time) time.Duration {
	if one.stage.Order == 0 {
		return now.Sub(one.seenAt)
	}
	return time.Duration(one.stage.ElapsedMS)*time.Millisecond + now.Sub(one.stageAt)
}

// Choice says which version of a service a request may use.
type Choice struct {
	// Only is the version that it has to use, Without one that it must not; either may be empty.
	Only    string
	Without string
	// Spread is the part of the version's endpoints that get its requests; 0 means all.
	Spread float64
}

// Choose returns the version that a request has to use. Requests of one session get the same answer at
// every instance, and since shares only grow, a session moves at most once.
func (r *Rollouts) Choose(service, session, request string) Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := r.byService[service]
	if one == nil {
		return Choice{}
	}
	target := Choice{Only: one.order.Target, Spread: one.spread()}
	other := Choice{Without: one.order.Target}
	switch {
	case one.stage.State == Completed:
		return target
	case one.stage.State == Reverted || one.distrust:
		return other
	case session == "" && one.underStress():
		if one.inPiece(time.Now()) {
			return target
		}
		return other
	case share(one.order.Revision, cmp.Or(session, request)) < one.stage.Share:
		return target
	default:
		return other
	}
}

// underStress says whether the new version has the stage of twice the load.
func (one *rollout) underStress() bool {
	return one.stage.State == Running && one.stage.Share == stressShare
}

// spread is the part of the new version's endpoints that get its requests; 0 means all. The caller holds
// the lock.
func (one *rollout) spread() float64 {
	if one.underStress() {
		return stressShare / 2
	}
	return 0
}

// inPiece says whether requests without a session go to the new version now.
func (one *rollout) inPiece(now time.Time) bool {
	piece := time.Duration(stressShare * float64(stressPeriod))
	return now.Sub(one.stageAt)%stressPeriod < piece
}

// share maps a session to [0, 1), differently for each roll-out.
func share(order uint64, key string) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(order >> (8 * i))
	}
	_, _ = digest.Write(bytes[:])
	return float64(digest.Sum64()>>11) / (1 << 53)
}
