package remotelease

import (
	"flag"
	"os"
	"testing"
)

// The same draws in every run, so that CI says the same each time; others by
// -rapid.seed (0: any), more by -rapid.checks.
func TestMain(m *testing.M) {
	setFlag("rapid.seed", "1")
	setFlag("rapid.checks", "1000")
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
