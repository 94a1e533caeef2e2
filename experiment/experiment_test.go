package experiment

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The aims in these lists have tests of their own: KNOWN-RED.txt excludes whole tests from CI.
var (
	clairvoyantAims = []string{
		"steady: cost of the clairvoyant choice",
		"rater out: cost of the clairvoyant choice",
		"cheap model drifts: cost of the clairvoyant choice",
	}
	goodputAims = []string{"at 2 times capacity: best baseline's goodput of the router's"}
)

// aims runs the cost, overload and zones experiments once and returns their aims by text.
var aims = sync.OnceValues(func() (map[string]Aim, error) {
	all := make(map[string]Aim)
	for _, name := range []string{Cost, Overload, Zones} {
		report, err := Run(name, 1)
		if err != nil {
			return nil, err
		}
		for _, aim := range report.Aims {
			all[aim.Text] = aim
		}
	}
	return all, nil
})

func checkAim(t *testing.T, aim Aim) {
	t.Logf("%s: %.4g of %.4g, met %t", aim.Text, aim.Figure, aim.Bound, aim.Met)
	qt.Check(t, aim.Met, qt.IsTrue, qt.Commentf("%s: %g, at most %g", aim.Text, aim.Figure, aim.Bound))
}

func checkAims(t *testing.T, texts []string) {
	all, err := aims()
	qt.Assert(t, err, qt.IsNil)
	for _, text := range texts {
		aim, found := all[text]
		qt.Assert(t, found, qt.IsTrue, qt.Commentf("%s", text))
		checkAim(t, aim)
	}
}

// TestAims checks all aims of the cost, overload and zones experiments that have no test of their own.
func TestAims(t *testing.T) {
	all, err := aims()
	qt.Assert(t, err, qt.IsNil)
	for text, aim := range all {
		if !slices.Contains(clairvoyantAims, text) && !slices.Contains(goodputAims, text) {
			checkAim(t, aim)
		}
	}
}

// TestAimClairvoyantCost checks that the router's cascade costs at most 10 % more than a policy that
// knows every score in advance.
func TestAimClairvoyantCost(t *testing.T) { checkAims(t, clairvoyantAims) }

// TestAimGoodputAtTwiceCapacity checks that no baseline serves more requests than the router at twice
// the capacity.
func TestAimGoodputAtTwiceCapacity(t *testing.T) { checkAims(t, goodputAims) }

// TestSameSeedSameReport guards against results that depend on anything but the seed, such as map
// order or wall-clock time.
func TestSameSeedSameReport(t *testing.T) {
	var reports [2]Report
	for i := range reports {
		reports[i].addOverload(0.5, 7)
	}
	qt.Assert(t, reports[0], qt.DeepEquals, reports[1])
}

// totalExposure returns the requests that a regressed version serves until the sequential and until the
// fixed-sample test detect it, summed over ten roll-outs.
func totalExposure(bad regression) (sequential, fixed int) {
	const trials = 10
	random := rand.New(rand.NewPCG(1, 1))
	for range trials {
		s, f := exposureUntilDetection(bad, random)
		sequential += s
		fixed += f
	}
	return sequential, fixed
}

func checkExposure(t *testing.T, bad regression) {
	sequential, fixed := totalExposure(bad)
	qt.Check(t, sequential*4 <= fixed, qt.IsTrue, qt.Commentf("%s: %d of %d", bad.name, sequential, fixed))
}

// TestExposure checks that a version with a failure rate of 30 % serves at most a quarter as many
// requests until detection as under the fixed-sample test.
func TestExposure(t *testing.T) { checkExposure(t, regressions[1]) }

// TestAimExposureSmallRise checks the bound of TestExposure for a failure rate of 10 %.
func TestAimExposureSmallRise(t *testing.T) { checkExposure(t, regressions[0]) }

// TestAimExposureRatings checks the bound of TestExposure for ratings that are lower by 0.2.
func TestAimExposureRatings(t *testing.T) { checkExposure(t, regressions[3]) }

// TestNoFalseAlarms checks that 20 healthy roll-outs, one in 500 of the experiment's, raise no false
// alarm in the sequential test.
func TestNoFalseAlarms(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	alarms := int64(0)
	for range healthyTrials / 500 {
		s, _ := healthyRollout(random)
		alarms += s
	}
	qt.Check(t, alarms, qt.Equals, int64(0))
}
