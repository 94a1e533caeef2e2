package canary

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/mirror"
)

// rollbackFailures is the number of failures of a bad version after which the platform counts the time until it is out
// of service.
const rollbackFailures = 50

// TestRejectionInLargeFleet checks that all instances take a bad version out of service before rollbackFailures, though
// each instance answers few requests and exchanges tallies with few others. The driver is away throughout, so that no
// stage reverts the version.
func TestRejectionInLargeFleet(t *testing.T) {
	for _, size := range []int{12, 60, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRejection(t, size) })
		})
	}
}

func checkRejection(t *testing.T, size int) {
	const (
		fanout   = 4
		interval = 250 * time.Millisecond
		perRound = 15 // answers of the new version in the whole fleet
	)
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, uint64(size)))
	order := Order{Service: "app", Target: "v2", Duration: time.Minute, Revision: 7}
	stage := mirror.Document{Key: StagePrefix + "app", Value: []byte(`{"order":7,"state":"running","share":0.1,"elapsed_ms":30000}`), Revision: 8}
	fleet := make([]*Rollouts, size)
	for i := range fleet {
		fleet[i] = New(exposure, telemetry.New(), slog.New(slog.DiscardHandler))
		fleet[i].Apply(order)
		fleet[i].ApplyStage(stage)
	}
	failures := 0
	for round := range 120 {
		inService := 0
		for _, rollouts := range fleet {
			if targetShare(rollouts) > 0 {
				inService++
			}
		}
		if inService == 0 {
			c.Logf("%d instances: out of service after %d failures", size, failures)
			return
		}
		for range perRound {
			at := fleet[random.IntN(size)]
			for range 9 {
				at.Observe("app", "v1", Attempt{FirstByte: 50 * time.Millisecond, Expected: 50 * time.Millisecond})
			}
			if targetShare(at) == 0 {
				continue
			}
			failed := round%2 == 0
			at.Observe("app", "v2", Attempt{Failed: failed, FirstByte: 50 * time.Millisecond, Expected: 50 * time.Millisecond})
			if failed {
				failures++
			}
		}
		c.Assert(failures < rollbackFailures, qt.IsTrue, qt.Commentf("in service at %d of %d instances after %d failures", inService, size, failures))
		for i, rollouts := range fleet {
			for range min(fanout, size-1) {
				peer := random.IntN(size)
				exchange(rollouts, fleet[peer], i, peer)
			}
		}
		time.Sleep(interval)
	}
	t.Fatal("the version is still in service")
}

// exchange passes the tallies of two instances to each other.
func exchange(a, b *Rollouts, indexA, indexB int) {
	messageA, messageB := a.Message(machine.Member{}), b.Message(machine.Member{})
	b.Receive(machine.Member{ID: machine.InstanceID(fmt.Sprint(indexA))}, messageA)
	a.Receive(machine.Member{ID: machine.InstanceID(fmt.Sprint(indexB))}, messageB)
}
