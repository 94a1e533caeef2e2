package canary

import (
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/mirror"
)

// TestAgeAfterLateStages guards against good versions that are completed after their deadline: each stage reached the instances some time after it was
// written, and the roll-out's age lagged by the sum of these times.
func TestAgeAfterLateStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rollouts := New(exposure, telemetry.New(), slog.New(slog.DiscardHandler))
		rollouts.Apply(Order{Service: "app", Target: "v2", Duration: duration, Revision: 1})
		ro := rollouts.byService["app"]
		began := time.Now()
		for revision, share := range []float64{0.05, 0.1, 0.2} {
			time.Sleep(3 * time.Second)
			stage := Stage{OrderRevision: 1, State: Running, Share: share, ElapsedMS: ro.elapsed(time.Now()).Milliseconds()}
			value, err := json.Marshal(stage)
			c.Assert(err, qt.IsNil)
			time.Sleep(200 * time.Millisecond) // the watch
			rollouts.ApplyStage(mirror.Document{Key: StagePrefix + "app", Value: value, Revision: uint64(revision + 2)})
		}
		c.Check(ro.elapsed(time.Now()), qt.Equals, time.Since(began))
	})
}
