package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestForecast checks the expected wait against completions of a known rate, with waiting requests of two priorities, and that it is unknown
// without recent completions.
func TestForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newTable(report("x", "app", "a"))
		complete := func(n int) {
			for range n {
				grant, _ := table.Place(&Need{Service: "app"})
				time.Sleep(10 * time.Millisecond)
				grant.Done(Answered)
			}
		}
		complete(minDrainSamples - 1)
		_, known := table.Forecast("app", 0)
		c.Check(known, qt.IsFalse)
		complete(200)
		near := func(priority int, want time.Duration) {
			c.Helper()
			expected, known := table.Forecast("app", priority)
			c.Check(known, qt.IsTrue)
			c.Check(expected > want*9/10 && expected < want*11/10, qt.IsTrue, qt.Commentf("%v", expected))
		}
		near(0, 10*time.Millisecond)
		for n := range 49 {
			go table.Wait(t.Context(), "app", n%2, time.Now(), time.Second)
		}
		synctest.Wait()
		near(0, 260*time.Millisecond) // behind 25 of its own priority
		near(1, 500*time.Millisecond)
		time.Sleep(drainWindow + time.Millisecond)
		_, known = table.Forecast("app", 0)
		c.Check(known, qt.IsFalse)
	})
}
