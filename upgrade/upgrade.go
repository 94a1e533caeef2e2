// Package upgrade decides whether a build may join a fleet of another one. docs/UPGRADE.md is the contract between builds.
package upgrade

import (
	"fmt"
	"time"
)

// Protocol is the version of the messages between instances and of their documents in the store. It rises with each behaviour that a peer has to know
// of. Instances state it in their registration; 0 stands for builds before it existed.
const Protocol = 1

// OldestProtocol is the oldest protocol with which this build shares a fleet.
const OldestProtocol = 0

const (
	// maxAge is the age of an instance's copy up to which it follows the store as it should. Beyond, instances call the store themselves.
	maxAge = 1300 * time.Millisecond
	// maxLag is the lag behind the first instance that changes may have.
	maxLag = time.Second
)

// Member is what an instance says of itself and of the fleet.
type Member struct {
	Name          string
	Ready         bool
	Protocol      int
	Configuration uint64        // version in force
	Age           time.Duration // of its copy of the store's documents; negative if unknown
	Lag           time.Duration // of the last changes behind the first instance
	Listed        map[int]int   // number of the instances that it sees, by protocol
}

// Finding is a reason against replacing an instance now.
type Finding struct {
	Member string // empty for the fleet
	Detail string
}

// String returns the finding in one line.
func (f Finding) String() string {
	if f.Member == "" {
		return f.Detail
	}
	return f.Member + ": " + f.Detail
}

// Check returns what speaks against the next replacement of an instance by one of the given protocol, which shares a fleet with those from oldest on.
func Check(protocol, oldest int, members []Member) []Finding {
	var findings []Finding
	add := func(member, format string, values ...any) {
		findings = append(findings, Finding{Member: member, Detail: fmt.Sprintf(format, values...)})
	}
	if len(members) == 0 {
		add("", "no instance answers")
	}
	versions := make(map[uint64]bool)
	unasked := make(map[int]bool)
	for i := range members {
		member := &members[i]
		versions[member.Configuration] = true
		if !member.Ready {
			add(member.Name, "is not ready")
		}
		if member.Age < 0 || member.Age > maxAge {
			add(member.Name, "its copy of the store is %d ms old, at most %d", member.Age.Milliseconds(), maxAge.Milliseconds())
		}
		if member.Lag > maxLag {
			add(member.Name, "the last changes took effect %d ms after the first instance, at most %d", member.Lag.Milliseconds(), maxLag.Milliseconds())
		}
		if member.Protocol < oldest {
			add(member.Name, "protocol %d does not share a fleet with %d, which needs %d at least", member.Protocol, protocol, oldest)
		}
		for listed := range member.Listed {
			if listed < oldest {
				unasked[listed] = true
			}
		}
	}
	for listed := range unasked {
		add("", "an instance of protocol %d is registered, which does not share a fleet with %d", listed, protocol)
	}
	if len(versions) > 1 {
		add("", "%d versions of the configuration are in force", len(versions))
	}
	return findings
}
