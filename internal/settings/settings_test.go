package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `host_name = "n0"
area = "a"
api_addr = "10.0.0.1:8080"
mesh_addr = "10.0.0.1:8081"
new_field = 7
[[members]]
host_name = "n1"
area = "b"
address = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:1"
state = "10.2.0.1:1"
[deployment]
zones = ["a", "b"]
[[deployment.teams]]
name = "red"
[deployment.workers]
report_s = 2.0
lease_s = 14.0
gang_wait_s = 40.0
gang_peer_s = 6.0
cancel_s = 34.0
[deployment.state]
rps = 100.0
write_rps = 30.0
value_kb = 8.0
txn_ops = 12
[deployment.cloud]
rps = 3.0
list_lag_s = 5.0
[deployment.machine_limits]
core_share = 0.2
ram_mb = 98.0
sockets = 800
`

func TestLoad(t *testing.T) {
	for _, c := range []struct{ name, old, now, ini, want string }{
		{name: "good, unknown fields ignored"},
		{name: "missing", old: `area = "a"` + "\n", want: "missing or invalid: area"},
		{name: "wrong type", old: "lease_s = 14.0", now: `lease_s = "x"`, want: "lease_s"},
		{name: "lease longer than a cancellation", old: "cancel_s = 34.0", now: "cancel_s = 3.0", want: "cancel_s"},
		{name: "a cancellation as long as a lease", old: "cancel_s = 34.0", now: "cancel_s = 14.0", want: "cancel_s"},
		{name: "no room for a grant", old: "cancel_s = 34.0", now: "cancel_s = 14.1", want: "deployment.workers.cancel_s is 14.1, must be"},
		{name: "ini", ini: "[score]\naging = 2\n[rank]\nmax = 5\n"},
		{name: "misspelt key", ini: "[score]\nageing = 2\n", want: "unknown setting ageing in [score]"},
		{name: "misspelt section", ini: "[scores]\naging = 2\n", want: "unknown section [scores]"},
		{name: "not a number", ini: "[score]\naging = much\n", want: `"much" is not a number`},
		{name: "out of range", ini: "[grants]\nlife = 3\n", want: "[grants] life is 3"},
	} {
		dir := t.TempDir()
		file := filepath.Join(dir, "s.toml")
		if err := os.WriteFile(file, []byte(strings.Replace(good, c.old, c.now, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if c.ini != "" {
			if err := os.WriteFile(filepath.Join(dir, "curlewspool.ini"), []byte(c.ini), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		s, err := Load(file, "")
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s: error %v, want one with %q", c.name, err, c.want)
		case c.name == "ini" && (s.Score.Aging != 2 || s.Rank.Max != 5 || s.Rank.Window != Defaults().Rank.Window):
			t.Errorf("ini: %+v", s.Operators)
		}
	}
	if _, err := Load("/nonexistent", ""); err == nil {
		t.Error("an unreadable file was accepted")
	}
}
