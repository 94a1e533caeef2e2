package upstream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPacerDay guards against requests lost to rounding: over a day, asked at each due time, a pacer admits the rate without drift.
func TestPacerDay(t *testing.T) {
	for _, requests := range []int64{1, 3, 10, 33, 70, 200, 427} { // in ten seconds
		c := qt.New(t)
		var p pacer
		rate, start := float64(requests)/10, time.Now()
		p.take(rate, start)
		due, admitted := requests*8_640, int64(0)
		for n := range due {
			// The due time in whole nanoseconds, which do not accumulate the rounding of an interval.
			at := (n + 1) * 10 * int64(time.Second) / requests
			if p.take(rate, start.Add(time.Duration(at))) {
				admitted++
			}
		}
		c.Check(admitted, qt.Equals, due, qt.Commentf("rate %v", rate))
	}
	c := qt.New(t)
	var none pacer
	none.take(0, time.Now())
	c.Check(none.take(0, time.Now().Add(24*time.Hour)), qt.IsFalse)
}
