package canary

import (
	"encoding/json"
	"slices"
	"strings"

	"plumbarrow.example/plumbarrow/mirror"
)

// RevertedPrefix begins the keys of the documents that name a service's reverted versions. They outlast the orders and the instances:
// the endpoints of a reverted version stay in discovery for a while.
const RevertedPrefix = "plumbarrow/reverted/"

// maxReverted bounds the reverted versions that are kept of a service; the oldest ones are dropped.
const maxReverted = 16

// revertedDocument is the value at a key with RevertedPrefix.
type revertedDocument struct {
	Versions []string `json:"versions"` // in the order in which they were reverted
}

// ApplyReverted takes a service's reverted versions as the store has them, still encoded; the key begins with RevertedPrefix.
func (r *Rollouts) ApplyReverted(document mirror.Document) {
	service := strings.TrimPrefix(document.Key, RevertedPrefix)
	var stored revertedDocument
	if err := json.Unmarshal(document.Value, &stored); err != nil && !document.Deleted {
		r.log.Warn("decoding reverted versions failed", "key", document.Key, "revision", document.Revision, "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if document.Deleted {
		stored.Versions = nil // a tombstone may keep the last value
	}
	r.stored[service] = r.stored[service].next(document.Era, stored.Versions)
	for _, version := range stored.Versions {
		r.reverted[service] = withVersion(r.reverted[service], version)
	}
}

// withVersion returns the versions with another one at the end.
func withVersion(versions []string, version string) []string {
	if slices.Contains(versions, version) {
		return versions
	}
	versions = append(slices.Clone(versions), version)
	return versions[max(0, len(versions)-maxReverted):]
}

// withoutVersion returns the versions without one.
func withoutVersion(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version })
}

// recordEnd adds the target of a roll-out that went back to the service's reverted versions, and removes one that completed. The caller
// holds the lock.
func (r *Rollouts) recordEnd(ro *rollout) {
	service := ro.order.Service
	switch {
	case ro.stage.State == Completed:
		r.reverted[service] = withoutVersion(r.reverted[service], ro.order.Target)
	case ro.stage.State == Reverted || ro.rejected:
		r.reverted[service] = withVersion(r.reverted[service], ro.order.Target)
	}
}

// revertedAfter returns the write of the service's reverted versions that belongs to a transition. ok is false if it changes none.
func (r *Rollouts) revertedAfter(next transition) (put mirror.Put, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := next.order
	versions := r.reverted[order.Service]
	switch next.stage.State {
	case Reverted:
		versions = withVersion(versions, order.Target)
	case Completed:
		if !slices.Contains(versions, order.Target) {
			return mirror.Put{}, false
		}
		versions = withoutVersion(versions, order.Target)
	default:
		return mirror.Put{}, false
	}
	return revertedPut(order.Service, versions), true
}
