package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
)

// Proposer puts changes of the configuration into force.
type Proposer interface {
	// Propose applies edit to the newest accepted document and swaps it in. A change id that was
	// accepted before is not applied a second time. An error means refused or unknown; a repeat
	// with the same id is safe.
	Propose(ctx context.Context, changeID string, edit func(*contract.Document) error) error
}

const (
	guardInterval = time.Second
	// proposeStagger is the time that each further member of a zone waits before it proposes a
	// withdrawal, so that one proposal usually does.
	proposeStagger = 2 * time.Second
	proposeTimeout = 5 * time.Second
)

// Guard watches the evidence. A version found bad is quarantined at this instance at once, without
// asking anyone, and its withdrawal from the fleet is proposed until it is in force. Safe for
// concurrent use.
type Guard struct {
	settings Settings
	evidence *Evidence
	source   contract.Source
	members  machine.Members
	proposer Proposer
	counters *telemetry.Counters
	log      *slog.Logger

	mu          sync.Mutex
	quarantined map[contract.VersionID]quarantine
	onChange    func(contract.Restrictions)
}

// quarantine of one version at this instance.
type quarantine struct {
	since time.Time
	// revision of the configuration under which the version was found bad. It is part of the change
	// id, so that a version made active again can be withdrawn again.
	revision contract.Revision
	// inForce says that the accepted configuration has withdrawn the version since.
	inForce bool
}

// NewGuard returns a guard without quarantines. source gives the accepted configuration without
// this guard's restrictions.
func NewGuard(settings Settings, evidence *Evidence, source contract.Source, members machine.Members, proposer Proposer, counters *telemetry.Counters, log *slog.Logger) *Guard {
	return &Guard{
		settings:    settings,
		evidence:    evidence,
		source:      source,
		members:     members,
		proposer:    proposer,
		counters:    counters,
		log:         log,
		quarantined: make(map[contract.VersionID]quarantine),
		onChange:    func(contract.Restrictions) {},
	}
}

// OnChange calls f with the restrictions in force whenever they change. It is set before Run.
func (g *Guard) OnChange(f func(contract.Restrictions)) { g.onChange = f }

// Restrictions returns the versions in quarantine, for contract.Snapshot.Restrict.
func (g *Guard) Restrictions() contract.Restrictions {
	g.mu.Lock()
	defer g.mu.Unlock()
	withdrawn := make(map[contract.VersionID]bool, len(g.quarantined))
	for version := range g.quarantined {
		withdrawn[version] = true
	}
	return contract.Restrictions{VersionsWithdrawn: withdrawn}
}

// Run tests the evidence every second until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	ticker := time.NewTicker(guardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.check(ctx)
		}
	}
}

// check quarantines what the evidence speaks against and proposes what is due.
func (g *Guard) check(ctx context.Context) {
	snapshot := g.source.Current()
	if snapshot == nil {
		return
	}
	g.evidence.Apply(snapshot)
	alarm := math.Log(1 / g.settings.FalseAlarm)
	for _, finding := range g.evidence.Findings() {
		if finding.LogEvidence >= alarm {
			g.quarantine(finding, snapshot.Revision)
		}
	}
	g.follow(snapshot)
	for version, one := range g.due(time.Now()) {
		g.withdraw(ctx, version, one.revision)
	}
}

// follow notes which withdrawals are in force, and ends the quarantine of a version that operators
// made active again after its withdrawal.
func (g *Guard) follow(snapshot *contract.Snapshot) {
	released := false
	g.mu.Lock()
	for version, one := range g.quarantined {
		withdrawn := Withdrawn(snapshot, version)
		if one.inForce && !withdrawn {
			delete(g.quarantined, version)
			released = true
			continue
		}
		one.inForce = withdrawn
		g.quarantined[version] = one
	}
	g.mu.Unlock()
	if released {
		g.onChange(g.Restrictions())
	}
}

func (g *Guard) quarantine(finding Finding, revision contract.Revision) {
	g.mu.Lock()
	_, known := g.quarantined[finding.Version]
	if !known {
		g.quarantined[finding.Version] = quarantine{since: time.Now(), revision: revision}
	}
	g.mu.Unlock()
	if known {
		return
	}
	g.counters.Add("plumbarrow_quarantines_total", "version", finding.Version.String())
	g.log.Warn("version quarantined", "version", finding.Version, "predecessor", finding.Predecessor,
		"log_evidence", finding.LogEvidence, "seen", finding.Next, "predecessor_seen", finding.Previous)
	g.onChange(g.Restrictions())
}

// due returns the quarantined versions whose withdrawal this instance should propose now.
func (g *Guard) due(now time.Time) map[contract.VersionID]quarantine {
	rank := g.rank()
	g.mu.Lock()
	defer g.mu.Unlock()
	due := make(map[contract.VersionID]quarantine)
	for version, one := range g.quarantined {
		if !one.inForce && now.Sub(one.since) >= time.Duration(rank)*proposeStagger {
			due[version] = one
		}
	}
	return due
}

// rank is the place of this instance among the live members of its zone.
func (g *Guard) rank() int {
	self := g.members.Self()
	rank := 0
	for _, member := range g.members.Live() {
		if member.Zone == self.Zone && member.ID < self.ID {
			rank++
		}
	}
	return rank
}

// withdraw proposes a withdrawal once.
func (g *Guard) withdraw(ctx context.Context, version contract.VersionID, revision contract.Revision) {
	limited, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome := "accepted"
	changeID := fmt.Sprintf("withdraw-%s-%d", version, revision)
	if err := g.proposer.Propose(limited, changeID, Withdraw(version)); err != nil {
		outcome = "failed"
		g.log.Warn("withdrawal not accepted yet", "version", version, "error", err)
	}
	g.counters.Add("plumbarrow_withdrawals_total", "outcome", outcome)
}

// Release lifts the quarantine of a version at this instance, by an operator's order.
func (g *Guard) Release(version contract.VersionID) {
	g.mu.Lock()
	delete(g.quarantined, version)
	g.mu.Unlock()
	g.onChange(g.Restrictions())
}

// Quarantined lists the versions in quarantine by name.
func (g *Guard) Quarantined() []contract.VersionID {
	g.mu.Lock()
	defer g.mu.Unlock()
	byName := func(a, b contract.VersionID) int { return strings.Compare(a.String(), b.String()) }
	return slices.SortedFunc(maps.Keys(g.quarantined), byName)
}
