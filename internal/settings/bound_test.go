package settings

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A cancellation's bound holds for all settings that are taken, and what cannot hold
// it is refused: cancel_s just above lease_s too, clocks apart, all lives of grants.
func TestCancelBound(t *testing.T) {
	taken, refused := 0, 0
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
		err := s.cancelBound()
		if err != nil {
			refused++
			if !strings.Contains(err.Error(), "cancel_s") || strings.Contains(err.Error(), "\n") {
				t.Fatalf("not one clear line: %q", err)
			}
			if d.Workers.Cancel > 1.3*d.Workers.Lease && s.GrantLife() > 2 {
				t.Fatalf("refused with a grant of %.2f s: %v", s.GrantLife(), err)
			}
			return
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
	if taken == 0 || refused == 0 {
		t.Errorf("%d taken, %d refused: nothing was tested", taken, refused)
	}
}
