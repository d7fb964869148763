package settings

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the same draws in every run, so that CI says the same each time; others by
// -rapid.seed (0: any), more by -rapid.checks.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
