package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The limits that are to come hold from the start where they are lower, and a section
// that cannot be meant is refused in one clear line.
func TestLimitsThatAreToCome(t *testing.T) {
	for _, c := range []struct {
		section string
		kb      float64
		ops     int
		rate    float64
		refused string
	}{
		{"", 8, 12, 30, ""},
		{"[deployment.state.next]\n", 8, 12, 30, ""},
		{"[deployment.state.next]\nwrite_rps = 21.0\nvalue_kb = 2.0\ntxn_ops = 8\n", 2, 8, 21, ""},
		{"[deployment.state.next]\nvalue_kb = 2.0\n", 2, 12, 30, ""},
		{"[deployment.state.next]\nwrite_rps = 99.0\nvalue_kb = 64.0\ntxn_ops = 500\n", 8, 12, 30, ""},
		{"[deployment.state.next]\nvalue_kb = 0.0\n", 0, 0, 0, "state.next.value_kb is 0"},
		{"[deployment.state.next]\nwrite_rps = -1.0\n", 0, 0, 0, "state.next.write_rps is -1"},
		{"[deployment.state.next]\nwrite_rps = nan\n", 0, 0, 0, "state.next.write_rps is NaN"},
		{"[deployment.state.next]\ntxn_ops = 1\n", 0, 0, 0, "state.next.txn_ops is 1"},
		{"[deployment.state.next]\ntxn_ops = \"many\"\n", 0, 0, 0, "deployment.state.next.txn_ops"},
	} {
		file := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(file, []byte(good+c.section), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(file, "")
		if c.refused != "" {
			if err == nil || !strings.Contains(err.Error(), c.refused) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: %v", c.section, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%q: %v", c.section, err)
			continue
		}
		if d := s.Deployment.State; d.ValueKB != c.kb || d.TxnOps != c.ops || d.WriteRPS != c.rate {
			t.Errorf("%q: %v KB, %d changes a transaction, %v a second", c.section, d.ValueKB, d.TxnOps, d.WriteRPS)
		}
	}
}
