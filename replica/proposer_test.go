package replica

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/standin/kv"
)

// runProposerTest runs a test of proposals against an empty store, in virtual time.
func runProposerTest(t *testing.T, test func(c *qt.C, f *fleet)) {
	synctest.Test(t, func(t *testing.T) { test(qt.New(t), newFleet(t.Context(), 0)) })
}

// TestProposeFaults checks the reported outcome of a proposal under one fault of the store at each
// of its steps.
func TestProposeFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  kv.Faults
		outcome Outcome
		head    contract.Revision
	}{
		{"none", kv.Faults{}, OutcomeAccepted, 2},
		{"answers lost after the write", kv.Faults{LostAnswers: 5}, OutcomeAccepted, 2},
		{"writes dropped without an answer", kv.Faults{DroppedWrites: 5}, OutcomeAccepted, 2},
		{"writes refused", kv.Faults{FailedWrites: 5}, OutcomeAccepted, 2},
		{"store down", kv.Faults{Down: true}, OutcomeRefused, 1},
		{"head write dropped, then store down", kv.Faults{Hook: failHeadSwap(infra.ErrOutcomeUnknown)}, OutcomeUnknown, 1},
		{"head write refused for good", kv.Faults{Hook: failHeadSwap(infra.ErrUnavailable)}, OutcomeRefused, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runProposerTest(t, func(c *qt.C, f *fleet) {
				propose(c, f, 0, zonesDocument(1, 1))
				f.store.SetFaults(tc.faults)
				proposal := Proposal{ChangeID: "change", Base: 1, Document: zonesDocument(1, 2)}
				result := f.proposer().Propose(f.ctx, proposal)
				c.Assert(result.Outcome, qt.Equals, tc.outcome, qt.Commentf("%+v", result))
				f.store.SetFaults(kv.Faults{})
				head, _, err := readHead(f.ctx, f.store)
				c.Assert(err, qt.IsNil)
				c.Assert(head.Revision(), qt.Equals, tc.head)
				again := f.proposer().Propose(f.ctx, proposal) // the same change id resolves the outcome
				c.Assert(again.Outcome, qt.Equals, OutcomeAccepted)
				c.Assert(again.Revision, qt.Equals, contract.Revision(2))
			})
		})
	}
}

// TestLostAnswerOverwritten guards against reporting an accepted change as refused: its answer is
// lost, and before it is read back another operator changes the same entry, or so many changes
// follow that the first has left the head.
func TestLostAnswerOverwritten(t *testing.T) {
	for _, later := range []int{1, maxRecords + 1} {
		runProposerTest(t, func(c *qt.C, f *fleet) {
			propose(c, f, 0, zonesDocument(1, 1))
			swapped := false
			var hook func(op kv.Op, key string) error
			hook = func(op kv.Op, key string) error {
				switch {
				case op == kv.OpSwap && key == HeadKey:
					swapped = true
					f.store.SetFaults(kv.Faults{LostAnswers: 1, Hook: hook})
				case op == kv.OpGet && key == HeadKey && swapped:
					f.store.SetFaults(kv.Faults{})
					for i := range later {
						propose(c, f, contract.Revision(2+i), zonesDocument(1, 5+i))
					}
				}
				return nil
			}
			f.store.SetFaults(kv.Faults{Hook: hook})
			result := f.proposer().Propose(f.ctx, Proposal{ChangeID: "change", Base: 1, Document: zonesDocument(1, 2)})
			c.Assert(result.Outcome, qt.Equals, OutcomeAccepted, qt.Commentf("%+v", result))
			c.Assert(result.Revision, qt.Equals, contract.Revision(2))
		})
	}
}

// failHeadSwap returns a hook that fails each swap of the head with err.
func failHeadSwap(err error) func(kv.Op, string) error {
	return func(op kv.Op, key string) error {
		if op == kv.OpSwap && key == HeadKey {
			return err
		}
		return nil
	}
}

// TestProposeRefused checks which proposals are refused, and for which reason.
func TestProposeRefused(t *testing.T) {
	runProposerTest(t, func(c *qt.C, f *fleet) {
		propose(c, f, 0, zonesDocument(1, 1))
		propose(c, f, 1, zonesDocument(1, 2))
		try := func(base contract.Revision, document []byte) Result {
			return f.proposer().Propose(f.ctx, Proposal{ChangeID: NewChangeID(), Base: base, Document: document})
		}
		c.Assert(try(2, []byte("no TOML")).Reason, qt.Equals, ReasonInvalid)
		c.Assert(try(2, []byte("[[zones]]\nname = 1")).Findings[0].Line, qt.Equals, 2)
		c.Assert(try(2, nil).Findings[0].Problem, qt.Equals, "no zone is configured")
		c.Assert(try(7, zonesDocument(3, 3)).Reason, qt.Equals, ReasonBase)
		result := try(1, zonesDocument(1, 3))
		c.Assert(result.Reason, qt.Equals, ReasonConflict)
		c.Assert(fmt.Sprint(result.Conflicts), qt.Equals, `[zones "z1"]`)
		result = try(1, zonesDocument(7, 1))
		c.Assert(result.Rebased, qt.IsTrue)
		_, document, err := f.proposer().Document(f.ctx, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(string(document), qt.Equals, string(zonesDocument(7, 2)))
		c.Assert(try(3, zonesDocument(7, 2)).Detail, qt.Equals, "no change")
	})
}

// TestRestrictiveEdit checks that withdrawing the last version is accepted although it leaves a
// route unserved, and does not block later changes of other entries. An operator's own change with
// this effect is refused.
func TestRestrictiveEdit(t *testing.T) {
	runProposerTest(t, func(c *qt.C, f *fleet) {
		document := append(zonesDocument(1), `
[[models]]
name = "m"
[[models.versions]]
name = "v1"
[[pools]]
name = "p"
model = "m"
`...)
		propose(c, f, 0, document)
		id := contract.VersionID{Model: "m", Name: "v1"}
		withdraw := Edit{ChangeID: "w", Restrictive: true, Apply: func(document *contract.Document) error {
			document.Models[0].Versions[0].State = contract.VersionWithdrawn
			return nil
		}}
		withdrawn, err := contract.EditDocument(document, withdraw.Apply)
		c.Assert(err, qt.IsNil)
		c.Assert(f.proposer().Propose(f.ctx, Proposal{ChangeID: "x", Base: 1, Document: withdrawn}).Reason, qt.Equals, ReasonInvalid)
		c.Assert(f.proposer().Edit(f.ctx, withdraw).Outcome, qt.Equals, OutcomeAccepted)
		n := f.add("a1", "a")
		time.Sleep(time.Second)
		c.Assert(n.Current().Versions[id].State, qt.Equals, contract.VersionWithdrawn)
		next := strings.Replace(string(withdrawn), `"r1"`, `"r9"`, 1)
		c.Assert(propose(c, f, 2, []byte(next)), qt.Equals, contract.Revision(3))
	})
}

// TestHistoryBounded checks that after many changes the head, the parts and the calls are bounded
// and the history is complete.
func TestHistoryBounded(t *testing.T) {
	runProposerTest(t, func(c *qt.C, f *fleet) {
		const changes, contents = 200, 20
		for i := range changes {
			content := i
			if i < changes/2 {
				content = i % contents // a document returns while the head still refers to its parts
			}
			propose(c, f, contract.Revision(i), zonesDocument(content, 1))
		}
		calls := f.store.Calls()
		c.Logf("store calls per change: %.2f writes, %.2f reads, %.2f deletes", float64(calls[kv.OpSwap])/changes,
			float64(calls[kv.OpGet])/changes, float64(calls[kv.OpDelete])/changes)
		head, _, err := readHead(f.ctx, f.store)
		c.Assert(err, qt.IsNil)
		value, err := json.Marshal(head)
		c.Assert(err, qt.IsNil)
		c.Logf("head: %d bytes with %d changes", len(value), len(head.Records))
		c.Assert(len(head.Records) <= maxRecords, qt.IsTrue)
		parts, err := f.store.List(f.ctx, partPrefix)
		c.Assert(err, qt.IsNil)
		distinct := make(map[string]bool)
		for _, record := range head.Records {
			distinct[record.Digest] = true
			_, _, err := f.proposer().Document(f.ctx, record.Revision)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(parts, qt.HasLen, len(distinct))
		records, err := f.proposer().History(f.ctx, changes)
		c.Assert(err, qt.IsNil)
		c.Assert(records, qt.HasLen, changes)
		first := records[changes-1]
		c.Assert(first.Revision, qt.Equals, contract.Revision(1))
		again := f.proposer().Propose(f.ctx, Proposal{ChangeID: first.ChangeID, Base: 0, Document: zonesDocument(0, 1)})
		c.Assert(again.Outcome, qt.Equals, OutcomeAccepted) // long after it left the head
		c.Assert(again.Revision, qt.Equals, contract.Revision(1))
	})
}

// TestSweep checks that an unreferenced part is deleted by the second sweep unless it was written
// again in between, and that referenced parts stay.
func TestSweep(t *testing.T) {
	runProposerTest(t, func(c *qt.C, f *fleet) {
		propose(c, f, 0, zonesDocument(1, 1))
		for _, text := range []string{"left behind", "needed again"} {
			_, err := writePart(f.ctx, f.store, []byte(text))
			c.Assert(err, qt.IsNil)
		}
		s := &sweeper{store: f.store}
		for _, want := range []int{0, 1, 1} {
			deleted, err := s.sweep(f.ctx)
			c.Assert(err, qt.IsNil)
			c.Assert(deleted, qt.Equals, want)
			if want == 0 {
				_, err := writePart(f.ctx, f.store, []byte("needed again"))
				c.Assert(err, qt.IsNil)
			}
		}
		_, _, err := f.proposer().Document(f.ctx, 1)
		c.Assert(err, qt.IsNil)
	})
}

// TestManyParts checks a document whose compressed form needs more than one part.
func TestManyParts(t *testing.T) {
	runProposerTest(t, func(c *qt.C, f *fleet) {
		document := append(zonesDocument(1), "[[customers]]\nname = \"c\"\nkey_hashes = [\n"...)
		for i := range 9_000 {
			document = fmt.Appendf(document, "%q,\n", contract.HashKey(fmt.Sprint(i)))
		}
		propose(c, f, 0, append(document, "]\n"...))
		head, _, err := readHead(f.ctx, f.store)
		c.Assert(err, qt.IsNil)
		c.Assert(len(head.newest().Parts), qt.Equals, 2)
		n := f.add("a1", "a")
		time.Sleep(time.Second)
		c.Assert(n.Current().Customers["c"].KeyHashes, qt.HasLen, 9_000)
	})
}
