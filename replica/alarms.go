package replica

import (
	"time"

	"plumbarrow.example/plumbarrow/contract"
)

// alarmInterval is the least time between two logged alarms; the counters count all.
const alarmInterval = 30 * time.Second

// standing compares a change with the configuration in force.
type standing uint8

const (
	newer standing = iota
	equal
	older
	different // another document at the same revision
)

func (r *Replica) compare(revision contract.Revision, digest string) standing {
	force := r.current.Load()
	switch {
	case revision > force.revision():
		return newer
	case revision < force.revision():
		return older
	case force != nil && digest != force.record.Digest:
		return different
	}
	return equal
}

// lowerHead raises an alarm: the store was reset. Nothing is reverted.
func (r *Replica) lowerHead(head contract.Revision) {
	r.counters.Inc("plumbarrow_configuration_lower_head_total")
	if r.alarmDue() {
		r.log.Error("the store shows a lower head than the configuration in force; keeping it",
			"head", head, "in_force", r.current.Load().revision())
	}
}

// otherDocument raises an alarm: two documents carry one revision, so the store was reset.
func (r *Replica) otherDocument(revision contract.Revision, source string) {
	r.counters.Inc("plumbarrow_configuration_digest_mismatch_total")
	if r.alarmDue() {
		r.log.Error("two documents carry the same revision; keeping the one in force", "revision", revision, "source", source)
	}
}

func (r *Replica) alarmDue() bool {
	now := time.Now().UnixNano()
	last := r.alarmed.Load()
	return now-last >= int64(alarmInterval) && r.alarmed.CompareAndSwap(last, now)
}
