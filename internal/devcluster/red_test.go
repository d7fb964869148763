package devcluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed checks that the list of tests that are known to fail cannot pass over more
// than it says: CI ends on a malformed line, a fourth one, a name that no test has, or an
// empty list.
func TestKnownRed(t *testing.T) {
	for _, c := range []struct{ list, want string }{
		{"TestKnownRed: a cause: 34\n", "^(TestKnownRed)$"},
		{"TestKnownRed: a: 34\nTestSample: b: 34", ""},
		{"", ""},
		{"TestKnownRed\n", ""},
		{"TestKnownRed: a cause\n", ""},
		{"Test.*: a: 34\n", ""},
		{"TestKnownRed: a: 34\n\n", ""},
		{"TestThatIsNot: a: 34\n", ""},
		{strings.Repeat("TestKnownRed: a: 34\n", 4), ""},
	} {
		file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
		if err := os.WriteFile(file, []byte(c.list), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("bash", ".ci/red", file)
		cmd.Dir = "../.."
		out, err := cmd.Output()
		if got := strings.TrimSpace(string(out)); got != c.want || (err == nil) != (c.want != "") {
			t.Errorf("%q: %q, %v; want %q", c.list, got, err, c.want)
		}
	}
}
