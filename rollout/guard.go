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

// Proposer proposes changes of the configuration.
type Proposer interface {
	// Propose applies edit to the newest accepted document and stores the result by
	// compare-and-swap. A change id that was accepted before is not applied a second time. An error
	// means that the change was refused or its outcome is unknown; repeating it with the same id is
	// safe.
	Propose(ctx context.Context, changeID string, edit func(*contract.Document) error) error
}

const (
	guardInterval = time.Second
	// proposeStagger is the time that each further member of a zone waits before it proposes a
	// withdrawal, so that one proposal usually suffices.
	proposeStagger = 2 * time.Second
	proposeTimeout = 5 * time.Second
)

// Guard checks the evidence. It quarantines a version found bad at this instance at once, without
// consulting other instances, and proposes its withdrawal from the fleet until the withdrawal is
// accepted. Safe for concurrent use.
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

// quarantine is the state of one quarantined version at this instance.
type quarantine struct {
	since time.Time
	// revision of the configuration under which the version was found bad. It is part of the change
	// id, so that a version made active again can be withdrawn again.
	revision contract.Revision
	// withdrawalAccepted is set while the accepted configuration withdraws the version.
	withdrawalAccepted bool
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

// OnChange sets the function that is called with the restrictions in force whenever they change. It
// must be called before Run. f runs in the goroutines of Run and of the callers of Release.
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

// Run checks the evidence every second until ctx ends.
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

// check quarantines versions whose evidence reaches the alarm level and proposes the withdrawals
// that are due.
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
	g.updateWithdrawals(snapshot)
	for version, quarantined := range g.dueWithdrawals(time.Now()) {
		g.withdraw(ctx, version, quarantined.revision)
	}
}

// updateWithdrawals records which withdrawals are accepted, and ends the quarantine of a version
// that operators made active again after its withdrawal.
func (g *Guard) updateWithdrawals(snapshot *contract.Snapshot) {
	released := false
	g.mu.Lock()
	for version, entry := range g.quarantined {
		withdrawn := Withdrawn(snapshot, version)
		if entry.withdrawalAccepted && !withdrawn {
			delete(g.quarantined, version)
			released = true
			continue
		}
		entry.withdrawalAccepted = withdrawn
		g.quarantined[version] = entry
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
		"log_evidence", finding.LogEvidence, "seen", finding.VersionTally, "predecessor_seen", finding.PredecessorTally)
	g.onChange(g.Restrictions())
}

// dueWithdrawals returns the quarantined versions whose withdrawal this instance should propose now.
func (g *Guard) dueWithdrawals(now time.Time) map[contract.VersionID]quarantine {
	rank := g.rank()
	g.mu.Lock()
	defer g.mu.Unlock()
	due := make(map[contract.VersionID]quarantine)
	for version, entry := range g.quarantined {
		if !entry.withdrawalAccepted && now.Sub(entry.since) >= time.Duration(rank)*proposeStagger {
			due[version] = entry
		}
	}
	return due
}

// rank returns the position of this instance among the live members of its zone, from 0.
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
	proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome := "accepted"
	changeID := fmt.Sprintf("withdraw-%s-%d", version, revision)
	if err := g.proposer.Propose(proposeCtx, changeID, Withdraw(version)); err != nil {
		outcome = "failed"
		g.log.Warn("withdrawal proposal failed, will retry", "version", version, "change_id", changeID, "error", err)
	}
	g.counters.Add("plumbarrow_withdrawals_total", "outcome", outcome)
}

// Release ends the quarantine of a version at this instance, on an operator's request.
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
