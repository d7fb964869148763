package remotelease

import (
	"flag"
	"os"
	"testing"
)

// The same draws in every run, so that CI says the same each time; others by
// -rapid.seed (0: any), more by -rapid.checks.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}
