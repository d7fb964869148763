package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The example of deploy/ is read; each mistake in it is told in one line.
func TestFederation(t *testing.T) {
	b, err := os.ReadFile("../../deploy/federation.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, now, want string }{
		{name: "the example"},
		{"misspelt", "lends = 0.2", "lend = 0.2", "lend: unknown setting"},
		{"not a share", "lends = 0.2", "lends = 20", "lends"},
		{"no name", "cluster = west", "cluster = West", "cluster"},
		{"itself", "[partner east]", "[partner west]", "is this cluster itself"},
		{"no address", "addresses = 10.9.0.1:8443, 10.9.0.2:8443, 10.9.0.3:8443", "addresses =", "addresses is missing"},
		{"bad address", "10.9.0.2:8443", "10.9.0.2", "is not HOST:PORT"},
		{"no file", "key = keys/key.pem", "", "key: is missing"},
		{"lease unknown", "lease_s = 14", "", "lease_s"},
		{"no time for an abort", "lease_s = 14", "lease_s = 33", "nothing can go there"},
		{"a partner alone", "[federation]", "[federations]", "unknown section"},
		{"yes or no", "services = no", "services = maybe", "must be yes or no"},
	} {
		dir := t.TempDir()
		file, ini := filepath.Join(dir, "s.toml"), filepath.Join(dir, "curlewspool.ini")
		text := strings.Replace(string(b), c.old, c.now, 1)
		if os.WriteFile(file, []byte(good), 0o644) != nil || os.WriteFile(ini, []byte(text), 0o644) != nil {
			t.Fatal("files")
		}
		s, err := Load(file, "")
		if c.want != "" {
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v, want %q", c.name, err, c.want)
			}
			continue
		}
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		p := s.Federation.Partner("east")
		if s.Federation.Listen != "10.0.0.1:8443" || p == nil || len(p.Addresses) != 3 || !p.MayGo("renewal-batch") || p.MayGo("agency-sync") ||
			p.Lends != 0.2 || p.Services || p.Term != 15*time.Second || s.Federation.Cert != filepath.Join(dir, "keys/cert.pem") {
			t.Errorf("%s: read as %+v %+v", c.name, s.Federation, p)
		}
		// A longer term than an abort allows is cut.
		long, _ := os.ReadFile(ini)
		_ = os.WriteFile(ini, []byte(strings.Replace(string(long), "term_s = 15", "term_s = 60", 1)), 0o644)
		if s, err = Load(file, ""); err != nil || s.Federation.Partner("east").Term > 20*time.Second {
			t.Errorf("a term of 60 s beside cancel_s 34 and lease_s 14: %v %v", s.Federation.Partner("east").Term, err)
		}
	}
}
