package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A cancellation's bound holds for all settings that are taken, and what cannot hold
// it is refused: cancel_s just above lease_s too, clocks apart, all lives of grants.
func TestCancelBound(t *testing.T) {
	taken, refused := 0, map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := &Settings{Operators: Defaults()}
		d := &s.Deployment
		s.Name = "n0"
		for i := rapid.IntRange(0, 8).Draw(t, "members"); i > 0; i-- {
			s.Members = append(s.Members, Member{Name: "m" + strings.Repeat("x", i)})
		}
		d.State.RPS = rapid.Float64Range(20, 2000).Draw(t, "rps")
		d.Workers.Lease = rapid.Float64Range(2, 300).Draw(t, "lease")
		// From no room at all through a fraction of the clocks' drift to plenty.
		d.Workers.Cancel = d.Workers.Lease * (1 + rapid.SampledFrom([]float64{0, 0.0004, 0.001, 0.002, 0.01, 0.05, 0.3, 0.8, 3}).Draw(t, "room"))
		s.Grants.Life = rapid.Float64Range(0.2, 1).Draw(t, "life")
		s.Grants.Renew = rapid.Float64Range(0.01, 0.3).Draw(t, "renew")
		// A refusal names one setting and the least that is enough for it: true when
		// that is set, one refusal after another until the settings are taken, and not
		// for less. (It once named cancel_s whatever the cause: a lease of 2.5 s, four
		// controllers and 20 requests a second, which no cancel_s mends.)
		tries := 0
		for err := s.cancelBound(); err != nil; err = s.cancelBound() {
			name, at := refusal(s, err)
			if name == "" || strings.Contains(err.Error(), "\n") {
				t.Fatalf("not one clear line: %q", err)
			}
			need, was := named(t, err), *at
			if need <= was {
				t.Fatalf("is %v already: %v", was, err)
			}
			*at = need - 0.002
			if less := s.cancelBound(); less == nil || !strings.HasPrefix(less.Error(), name) {
				t.Fatalf("%v would do, %v is asked for: %v", *at, need, err)
			}
			*at = need
			refused[name]++
			if tries++; tries > 3 {
				t.Fatalf("never enough: %v", err)
			}
		}
		taken++
		sum := 0.0
		for _, term := range s.CancelBound() {
			if term.Seconds <= 0 {
				t.Fatalf("%s: %v s", term.What, term.Seconds)
			}
			sum += term.Seconds
		}
		if sum >= d.Workers.Cancel {
			t.Fatalf("lease %v, cancel %v: gone after %v s", d.Workers.Lease, d.Workers.Cancel, sum)
		}
		if n, life := s.RenewEvery(), s.GrantLife(); 3*n > life {
			t.Fatalf("a grant of %v s is renewed each %v s", life, n)
		}
	})
	if taken == 0 || len(refused) != 3 {
		t.Errorf("%d taken, refused %v: not all was tested", taken, refused)
	}
}

// refusal tells which setting a refusal names, and where that is.
func refusal(s *Settings, err error) (string, *float64) {
	d := &s.Deployment
	for name, at := range map[string]*float64{
		"deployment.state.rps": &d.State.RPS, "[grants] life": &s.Grants.Life, "deployment.workers.cancel_s": &d.Workers.Cancel,
	} {
		if strings.HasPrefix(err.Error(), name+" is ") {
			return name, at
		}
	}
	return "", nil
}

// named is the least that a refusal asks for.
func named(t *rapid.T, err error) (least float64) {
	_, after, _ := strings.Cut(err.Error(), "must be ")
	if _, bad := fmt.Sscanf(after, "%g or more", &least); bad != nil {
		t.Fatalf("names no value: %v", err)
	}
	return least
}

// The example of deploy/ turns the members' word on; it is off by itself, and anything but
// yes or no is refused.
func TestVouchIsYesOrNo(t *testing.T) {
	b, err := os.ReadFile("../../deploy/vouch.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		text, bad string
		on        bool
	}{{"", "", false}, {string(b), "", true}, {"[grants]\nvouch = no", "", false}, {"[grants]\nvouch = 0.5", "must be yes or no", false},
		{"[grants]\nlife = yes", "is not a number", false}} {
		dir := t.TempDir()
		file, ini := filepath.Join(dir, "s.toml"), filepath.Join(dir, "curlewspool.ini")
		if os.WriteFile(file, []byte(good), 0o644) != nil || os.WriteFile(ini, []byte(c.text), 0o644) != nil {
			t.Fatal("files")
		}
		switch s, err := Load(file, ""); {
		case c.bad == "" && (err != nil || s.Grants.Vouch != c.on):
			t.Errorf("%q: %v, vouch should be %v", c.text, err, c.on)
		case c.bad != "" && (err == nil || !strings.Contains(err.Error(), c.bad)):
			t.Errorf("%q: %v, want %q", c.text, err, c.bad)
		}
	}
}
