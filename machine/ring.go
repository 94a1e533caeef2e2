package machine

import (
	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
)

// Ring assigns keys to members by rendezvous hashing: when a member joins or leaves, only its own
// keys move. Immutable; safe for concurrent use.
type Ring struct {
	members map[string]Member
	hash    *rendezvous.Rendezvous
}

// NewRing returns a ring over the members.
func NewRing(members []Member) *Ring {
	ids := make([]string, len(members))
	byID := make(map[string]Member, len(members))
	for i, member := range members {
		ids[i] = string(member.ID)
		byID[ids[i]] = member
	}
	return &Ring{members: byID, hash: rendezvous.New(ids, xxhash.Sum64String)}
}

// Len returns the number of members.
func (r *Ring) Len() int { return len(r.members) }

// Owner returns the member that owns the key; ok is false if the ring is empty.
func (r *Ring) Owner(key string) (member Member, ok bool) {
	if len(r.members) == 0 {
		return Member{}, false
	}
	return r.members[r.hash.Lookup(key)], true
}

// gained reports whether the ring has a member that the other one lacks.
func (r *Ring) gained(other *Ring) bool {
	for id := range r.members {
		if !other.Has(InstanceID(id)) {
			return true
		}
	}
	return false
}

// Has reports whether the ring has the member.
func (r *Ring) Has(id InstanceID) bool {
	_, ok := r.members[string(id)]
	return ok
}

// Rank returns how many live members come before this instance in an order that depends on the key and on which all instances with the same
// members agree.
func Rank(key string, members Members) int {
	rank := 0
	weight := xxhash.Sum64String(key + string(members.Self().ID))
	for _, member := range members.Live() {
		if xxhash.Sum64String(key+string(member.ID)) > weight {
			rank++
		}
	}
	return rank
}
