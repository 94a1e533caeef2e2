package canary

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"plumbarrow.example/plumbarrow/mirror"
)

// rewriteWindow is how long after the store came back from an older copy an order with the content of the known one is the known one,
// written again by the operators.
const rewriteWindow = 5 * time.Second

// ended reports whether the stage is a roll-out's last.
func (s Stage) ended() bool { return s.State == Completed || s.State == Reverted }

// behind reports whether the stage is an earlier one than other of the same roll-out.
func (s Stage) behind(other Stage) bool {
	return !s.ended() && (other.ended() || s.Share < other.Share)
}

// seed returns the number by which sessions are assigned to versions.
func (s Stage) seed() uint64 { return cmp.Or(s.Seed, s.OrderRevision) }

// restatedBy reports whether the order is that of the roll-out, as a restored store has it or as it was written there again.
func (ro *rollout) restatedBy(order Order, now time.Time) bool {
	if order.Target != ro.order.Target || order.Duration != ro.order.Duration {
		return false
	}
	return order.Era > ro.order.Era || !ro.restatedAt.IsZero() && now.Sub(ro.restatedAt) < rewriteWindow
}

// restate continues the roll-out under its order's present position. The caller holds the lock.
func (r *Rollouts) restate(ro *rollout, order Order) {
	if order.Era > ro.order.Era {
		ro.restatedAt = time.Now()
	}
	ro.order = order
	r.setStage(ro)
	r.log.Info("roll-out order restated", "service", order.Service, "target", order.Target, "order", order.Revision, "era", order.Era,
		"state", string(ro.stage.State))
}

// lost reports whether the store has an earlier stage than the one in force, or none.
func (ro *rollout) lost() bool {
	return ro.stage.State != "" && (ro.stored.State == "" || ro.stored.behind(ro.stage))
}

// statedSeed returns the value of Stage.Seed for the roll-out's present order.
func (ro *rollout) statedSeed() uint64 {
	if ro.seed == ro.order.Revision {
		return 0
	}
	return ro.seed
}

// storedReverted are a service's reverted versions as the store has them.
type storedReverted struct {
	era      uint64
	versions []string
	lost     []string // versions that the store of an era before had
}

// next returns what is known after the store's document changed to versions in an era.
func (s storedReverted) next(era uint64, versions []string) storedReverted {
	lost := s.lost
	if era > s.era {
		lost = append(slices.Clone(lost), s.versions...)
	}
	return storedReverted{era: era, versions: versions, lost: slices.DeleteFunc(slices.Clone(lost), func(version string) bool {
		return slices.Contains(versions, version)
	})}
}

// lostReverted returns the documents of reverted versions to be written again, because the store lost some.
func (r *Rollouts) lostReverted() []mirror.Put {
	r.mu.Lock()
	defer r.mu.Unlock()
	var puts []mirror.Put
	for service, stored := range r.stored {
		versions := stored.versions
		for _, version := range stored.lost {
			if slices.Contains(r.reverted[service], version) {
				versions = withVersion(versions, version)
			}
		}
		if len(versions) > len(stored.versions) {
			puts = append(puts, revertedPut(service, versions))
		}
	}
	return puts
}

func revertedPut(service string, versions []string) mirror.Put {
	value, err := json.Marshal(revertedDocument{Versions: versions})
	if err != nil {
		panic(err) // strings always encode
	}
	return mirror.Put{Key: RevertedPrefix + service, Value: value}
}
