package replica

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"plumbarrow.example/plumbarrow/standin/kv"
)

// operation is one operator's edit in TestRacingOperators.
type operation struct {
	Zone, Region int
	After        time.Duration
	Lost         int // answers lost
	Dropped      int // writes dropped
	Failed       int // writes refused
	Down         time.Duration
	Crash        time.Duration // of the proposing instance after this time; 0 for none
}

// TestRacingOperators: operators change entries concurrently while the store loses answers, drops
// writes and fails, and proposing instances crash. A change reported accepted must be in the
// history exactly once, and one reported refused must not; no accepted change may be lost to
// another operator's. Repeating a change with its id, at another instance, must resolve its outcome
// and change nothing that was accepted.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		operations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
			return operation{
				Zone: rapid.IntRange(0, 2).Draw(t, "zone"), Region: rapid.IntRange(2, 4).Draw(t, "region"),
				After: time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Millisecond,
				Lost:  rapid.IntRange(0, 3).Draw(t, "lost"), Dropped: rapid.IntRange(0, 2).Draw(t, "dropped"),
				Failed: rapid.IntRange(0, 2).Draw(t, "failed"),
				Down:   time.Duration(rapid.SampledFrom([]int{0, 0, 1, 40}).Draw(t, "down")) * time.Second,
				Crash:  time.Duration(rapid.SampledFrom([]int{0, 0, 30, 50, 70, 90, 400}).Draw(t, "crash")) * time.Millisecond,
			}
		}), 1, 8).Draw(rt, "operations")
		var failed string
		synctest.Test(t, func(t *testing.T) { failed = runRace(newFleet(t.Context(), 0), operations) })
		if failed != "" {
			rt.Fatal(failed)
		}
	})
}

func runRace(f *fleet, operations []operation) string {
	first := f.proposer().Propose(f.ctx, Proposal{ChangeID: "first", Document: zonesDocument(1, 1, 1)})
	if first.Outcome != OutcomeAccepted {
		return fmt.Sprintf("first: %+v", first)
	}
	results := make([]Result, len(operations))
	done := make(chan int)
	for i, operation := range operations {
		go func() {
			time.Sleep(operation.After)
			f.store.SetFaults(kv.Faults{Delay: 20 * time.Millisecond, LostAnswers: operation.Lost, DroppedWrites: operation.Dropped,
				FailedWrites: operation.Failed, Down: operation.Down > 0})
			time.AfterFunc(operation.Down, func() { f.store.SetFaults(kv.Faults{Delay: 20 * time.Millisecond}) })
			ctx, cancel := context.WithCancel(f.ctx)
			if operation.Crash > 0 {
				time.AfterFunc(operation.Crash, cancel)
			}
			results[i] = f.proposer().Propose(ctx, Proposal{ChangeID: fmt.Sprint(i), Base: 1, Document: operation.document()})
			cancel()
			done <- i
		}()
	}
	for range operations {
		<-done
	}
	f.store.SetFaults(kv.Faults{})
	if failed := checkRace(f, operations, results); failed != "" {
		return failed
	}
	return checkRepeats(f, operations, results)
}

// checkRepeats proposes each change again with the same change id.
func checkRepeats(f *fleet, operations []operation, results []Result) string {
	for i, operation := range operations {
		repeated := f.proposer().Propose(f.ctx, Proposal{ChangeID: fmt.Sprint(i), Base: 1, Document: operation.document()})
		previous := results[i]
		if repeated.Outcome == OutcomeUnknown || previous.Outcome == OutcomeAccepted && previous.Detail == "" && repeated.Revision != previous.Revision {
			return fmt.Sprintf("operation %d: %+v, repeated: %+v", i, previous, repeated)
		}
	}
	return checkHistoryUnique(f)
}

// checkHistoryUnique returns a failure if a change id is in the history twice.
func checkHistoryUnique(f *fleet) string {
	records, err := f.proposer().History(f.ctx, 100)
	if err != nil {
		return err.Error()
	}
	seen := make(map[string]bool)
	for _, record := range records {
		if seen[record.ChangeID] {
			return "twice in the history: " + record.ChangeID
		}
		seen[record.ChangeID] = true
	}
	return ""
}

func (o operation) document() []byte {
	regions := []int{1, 1, 1}
	regions[o.Zone] = o.Region
	return zonesDocument(regions...)
}

func checkRace(f *fleet, operations []operation, results []Result) string {
	records, err := f.proposer().History(context.Background(), 100)
	if err != nil {
		return err.Error()
	}
	accepted := make(map[string]int)
	for _, record := range records {
		accepted[record.ChangeID]++
	}
	_, data, err := f.proposer().Document(context.Background(), 0)
	if err != nil {
		return err.Error()
	}
	for i, result := range results {
		count := accepted[fmt.Sprint(i)]
		unchanged := result.Detail == "no change"
		switch {
		case count > 1, result.Outcome == OutcomeAccepted && count == 0 && !unchanged, result.Outcome == OutcomeRefused && count > 0:
			return fmt.Sprintf("operation %d: %+v, %d times in the history", i, result, count)
		}
		want := fmt.Sprintf("name = \"z%d\"\nregion = \"r%d\"", operations[i].Zone, operations[i].Region)
		if result.Outcome == OutcomeAccepted && !strings.Contains(string(data), want) {
			return fmt.Sprintf("operation %d: accepted, but not in the document:\n%s", i, data)
		}
	}
	return ""
}
