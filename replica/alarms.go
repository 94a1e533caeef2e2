package replica

import (
	"time"

	"plumbarrow.example/plumbarrow/contract"
)

// alarmInterval is the minimum time between two logged alarms; the counters count all alarms.
const alarmInterval = 30 * time.Second

// comparison is the relation of a change to the configuration in force.
type comparison uint8

const (
	newer comparison = iota
	equal
	older
	digestMismatch // another document at the same revision
)

func (r *Replica) compareToCurrent(revision contract.Revision, digest string) comparison {
	active := r.current.Load()
	switch {
	case revision > active.revision():
		return newer
	case revision < active.revision():
		return older
	case active != nil && digest != active.record.Digest:
		return digestMismatch
	}
	return equal
}

// alarmLowerHead counts and logs a store whose head is below the revision in force: the store was
// reset. The configuration in force is kept.
func (r *Replica) alarmLowerHead(head contract.Revision) {
	r.counters.Inc("plumbarrow_configuration_lower_head_total")
	if r.alarmDue() {
		r.log.Error("store head is below the revision in force; keeping the configuration in force",
			"head", head, "in_force", r.current.Load().revision())
	}
}

// alarmDigestMismatch counts and logs two documents with the same revision: the store was reset.
// The document in force is kept.
func (r *Replica) alarmDigestMismatch(revision contract.Revision, source string) {
	r.counters.Inc("plumbarrow_configuration_digest_mismatch_total")
	if r.alarmDue() {
		r.log.Error("two documents carry the same revision; keeping the one in force", "revision", revision, "source", source)
	}
}

// alarmDue reports whether an alarm may be logged now, and if so starts a new alarmInterval.
func (r *Replica) alarmDue() bool {
	now := time.Now().UnixNano()
	last := r.lastAlarm.Load()
	return now-last >= int64(alarmInterval) && r.lastAlarm.CompareAndSwap(last, now)
}
