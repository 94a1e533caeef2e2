package upstream

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// TestRev3LimitsOfCutOff shows which part of a stated limit and of a cold rate is left if 4 of 7 instances use no endpoint.
func TestRev3LimitsOfCutOff(t *testing.T) {
	c := qt.New(t)
	members := instances(7)
	for _, rate := range []float64{3, 14, 70} {
		all, left := 0.0, 0.0
		for n, member := range members {
			r := instanceColdRate(99, rate, member.ID, members)
			all += r
			if n >= 4 {
				left += r
			}
		}
		c.Logf("cold rate %.0f: all %.2f, by the 3 that reach the endpoints %.2f", rate, all, left)
	}
	_ = machine.Member{}
}
