package replica

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/standin/kv"
)

// step is one step of the state machine. Faults accumulate until a later step ends them.
type step struct {
	Kind string
	Node int // the instance; for partition and heal, an instance of the zone
	Zone int // the entry of the document that a proposal changes
	N    int
	Wait time.Duration // afterwards
}

var stepKinds = []string{"propose", "propose", "propose", "crash", "start", "cut", "uncut", "silent", "speak",
	"partition", "heal", "down", "up", "slow", "lost answers", "dropped writes"}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			Node: rapid.IntRange(0, 5).Draw(t, "node"),
			Zone: rapid.IntRange(0, 1).Draw(t, "zone"),
			N:    rapid.IntRange(1, 9).Draw(t, "n"),
			Wait: time.Duration(rapid.IntRange(0, 8_000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 5, 40).Draw(t, "steps")
}

// TestStateMachine runs random changes and faults over two zones of three instances with lossy peers. An
// instance must never go back to a lower revision, hold an invalid document, or hold a document
// that differs from another instance's at the same revision. Once the faults end, the newest
// accepted revision must be in force at all instances within propagationLimit.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		loss := rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(rt, "loss")
		var failed string
		synctest.Test(t, func(t *testing.T) { failed = runMachine(newFleet(t.Context(), loss), steps) })
		if failed != "" {
			rt.Fatal(failed)
		}
	})
}

func nodeID(i int) (id, zone string) {
	zone = string(rune('a' + i/3))
	return fmt.Sprint(zone, i%3+1), zone
}

func runMachine(f *fleet, steps []step) string {
	base := contract.Revision(0)
	for i := range 6 {
		f.add(nodeID(i))
	}
	var faults kv.Faults
	for _, s := range steps {
		switch s.Kind {
		case "propose":
			go f.proposer().Propose(f.ctx, Proposal{ChangeID: NewChangeID(), Base: base, Document: zonesDocument(1+s.Zone*s.N, 1+(1-s.Zone)*s.N)})
			if head, _, err := readHead(f.ctx, f.store); err == nil {
				base = head.Revision()
			}
		case "down", "up":
			faults.Down = s.Kind == "down"
		case "slow":
			faults.Delay = time.Duration(s.N) * 200 * time.Millisecond
		case "lost answers":
			faults.LostAnswers = s.N
		case "dropped writes":
			faults.DroppedWrites = s.N
		default:
			f.injectFault(s)
		}
		f.store.SetFaults(faults)
		time.Sleep(s.Wait)
	}
	return f.checkRecovery()
}

func (f *fleet) injectFault(s step) {
	id, zone := nodeID(s.Node)
	switch s.Kind {
	case "crash":
		f.crash(machine.InstanceID(id))
		return
	case "start":
		f.crash(machine.InstanceID(id))
		f.add(id, zone)
		return
	}
	f.locked(func() {
		n := f.nodes[machine.InstanceID(id)]
		switch s.Kind {
		case "cut", "uncut":
			n.storeUnreachable = s.Kind == "cut"
		case "silent", "speak":
			n.silentWatches = s.Kind == "silent"
		case "partition", "heal":
			f.partitionedZones[zone] = s.Kind == "partition"
		}
	})
}

// checkRecovery ends all faults but lossy peers and silent watches, lets running proposals end, and
// checks that one more change is in force at all instances in time.
func (f *fleet) checkRecovery() string {
	f.store.SetFaults(kv.Faults{})
	f.locked(func() {
		for _, n := range f.nodes {
			n.storeUnreachable = false
		}
		clear(f.partitionedZones)
	})
	time.Sleep(proposeTimeout + propagationLimit)
	result := f.proposer().Replace(f.ctx, "last", "tester", zonesDocument(99, 99))
	if result.Outcome != OutcomeAccepted {
		return fmt.Sprintf("last change: %+v", result)
	}
	time.Sleep(propagationLimit)
	if lagging := f.lagging(result.Revision); len(lagging) > 0 {
		return fmt.Sprintf("revision %d is not in force at %v", result.Revision, lagging)
	}
	if len(f.violations) > 0 {
		return fmt.Sprint(f.violations)
	}
	return ""
}
