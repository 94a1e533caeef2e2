package zone_test

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of property tests, so that runs are reproducible, and fails on
// leaked goroutines.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			os.Exit(2)
		}
	}
	goleak.VerifyTestMain(m)
}
