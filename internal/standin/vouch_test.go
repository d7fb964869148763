package standin

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// vouching lets the controllers vouch for each other.
func (s *Sim) vouching() {
	for _, n := range s.all {
		s.Nodes[n].set.Grants.Vouch = true
	}
}

// The sweep of refusals and outages once more, with owners that go on through the outage on
// the word of the others: what was confirmed is gone within cancel_s all the same.
func TestVouchedGap(t *testing.T) { refusedThenDownSweep(t, 1500, (*Sim).vouching) }

// An outage of the state service for far longer than a grant and a lease. With the word
// of all members nothing that runs is lost, and what was cancelled just before it is
// halted at once; with a controller that is away, or back in the middle, or cut from the
// others, there is no such word, and all goes on as without.
func TestOutageVouched(t *testing.T) {
	for _, c := range []struct {
		name    string
		vouch   bool
		trouble func(s *Sim)
		lost    bool // tasks have to begin again
	}{
		{"without", false, nil, true},
		{"vouched for", true, nil, false},
		{"a controller ends before it and is away", true, func(s *Sim) { s.At(19, s.Nodes["n2"].Crash) }, true},
		{"a controller ends in it and is back at once", true, func(s *Sim) { s.quick(30, 0.3, func() *Host { return s.Nodes["n2"] }) }, true},
		{"two controllers do not reach each other", true, func(s *Sim) { s.cutFor(25, 90, [][2]string{{"n0", "n1"}}) }, true},
		{"a controller stands still for longer than a grant", true, func(s *Sim) {
			s.At(30, func() { s.Nodes["n1"].Freeze(18*time.Second, false) })
		}, true},
	} {
		s := New(1600)
		s.API()
		if c.vouch {
			s.vouching()
		}
		fleet(s, 9, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 12, 1, 100, nil))
		s.Submit(6, Spec("wk-2", wire.Array, 12, 1, 100, nil))
		s.Submit(7, Spec("wk-3", wire.Gang, 3, 2, 100, nil))
		s.Unsaid = true
		s.At(19.8, func() { s.abort("wk-2") })
		s.At(20, func() { s.State.Outage(60 * time.Second) })
		if c.trouble != nil {
			c.trouble(s)
		}
		s.Start()
		s.Run(400)
		for _, b := range s.Broken {
			t.Errorf("%s: rule broken: %s", c.name, b)
		}
		told(t, s, wire.Done, "wk-1", "wk-3")
		told(t, s, wire.Withdrawn, "wk-2")
		starts := strings.Count(s.Text(), "starts wk-1/") + strings.Count(s.Text(), "starts wk-3/")
		if starts < 15 || c.lost != (starts > 15) {
			t.Errorf("%s: 15 tasks began %d times, lost %v is expected", c.name, starts, c.lost)
		}
	}
}

// Whose word is worth nothing, and who must wait for whom. Half of the machines reach
// only the owner that is alone: what it renews there is what the others must reckon with.
func TestVouchedForTooMuch(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(s *Sim, alone string, others []string)
	}{
		// Its process before confirmed a cancellation that nobody else knows of.
		{"by a controller that is back at once", func(s *Sim, alone string, others []string) {
			s.At(19.2, func() { s.Refuse(alone, "state", true) })
			s.At(19.4, func() { s.again(others[0], "cancel", Spec("wk-1", wire.Array, 18, 1, 130, nil)) })
			s.crash(19.6, 19.8, others...) // they read what is stored before the outage
			s.At(20.6, func() { s.State.Outage(80 * time.Second) })
			s.At(25, func() { s.Refuse(alone, "state", false) })
		}},
		// Its part is taken by force meanwhile.
		{"though its part was taken", func(s *Sim, alone string, _ []string) {
			s.At(19, func() { s.Refuse(alone, "state", true) })
			s.At(110, func() { s.Refuse(alone, "state", false) })
		}},
		// All are refused until their keys are gone; the others are back first, and take
		// the free key of one that was vouched for until then.
		{"until its key was gone", func(s *Sim, alone string, others []string) {
			for _, n := range s.all {
				s.At(19, func() { s.Refuse(n, "state", true) })
			}
			for _, n := range others {
				s.At(50, func() { s.Refuse(n, "state", false) })
			}
			s.At(130, func() { s.Refuse(alone, "state", false) })
		}},
	} {
		for seed := uint64(1620); seed < 1624; seed++ {
			s := New(seed)
			s.API()
			s.vouching()
			w := fleet(s, 9, 0)
			s.Submit(5, Spec("wk-1", wire.Array, 18, 1, 130, nil))
			s.Unsaid = true
			alone := ""
			s.At(12, func() {
				alone = s.largest().name
				var others []string
				for _, n := range s.all {
					if n != alone {
						others = append(others, n)
					}
				}
				for i, x := range w {
					for _, n := range others {
						if i%2 == 0 && s.holder(x) == s.Nodes[alone] {
							s.cut(x.Addr(), n)
							s.cut(x.Addr(), s.api(n))
						}
					}
				}
				c.do(s, alone, others)
			})
			s.Submit(115, Spec("wk-2", wire.Array, 12, 1, 10, nil))
			for range 4 { // room for what is begun again
				s.At(55, func() { s.AddWorker("small", "a", false) })
			}
			s.Start()
			s.Run(300)
			for _, b := range s.Broken {
				t.Errorf("%s (seed %d): rule broken: %s", c.name, seed, b)
			}
			told(t, s, wire.Done, "wk-2")
		}
	}
}

// Random days on which they vouch, with the combined failures that matter to it more often: an
// outage longer than cancel_s on each, cancellations around its beginning and in it, and
// parts that change hands shortly before.
func TestRandomVouched(t *testing.T) { randomDays(t, *firstDay+vouchDays) }

// outage is what each of those days has.
func (s *Sim) outage(r *rand.Rand, w []*Worker, at float64) string {
	cancel := s.S.Deployment.Workers.Cancel
	lasts := (0.4 + r.Float64()) * cancel
	s.At(at, func() { s.State.Outage(time.Duration(lasts * float64(time.Second))) })
	alone := s.all[r.IntN(3)]
	from := at - 12*r.Float64()
	if r.IntN(2) == 0 {
		s.At(from, func() { s.Refuse(alone, "state", true) })
		s.At(from+14*r.Float64(), func() { s.Refuse(alone, "state", false) })
	}
	if r.IntN(2) == 0 {
		s.At(at-3*r.Float64(), func() { s.after(time.Duration(lasts/2*float64(time.Second)), s.Isolate(alone)) })
	}
	if r.IntN(2) == 0 {
		x := w[r.IntN(len(w))]
		s.cutFor(at-2, at+lasts*1.5*r.Float64(), s.links(x))
	}
	for range r.IntN(3) {
		s.quick(at+(lasts+8)*r.Float64()-4, s.moment(r).Seconds(), func() *Host { return s.Nodes[s.all[r.IntN(3)]] })
	}
	for i := range 5 {
		s.Abort(at-6+8*r.Float64(), fmt.Sprintf("wk-%d", i+1))
	}
	s.history.Calm = max(s.history.Calm, time.Duration((at+2*lasts+20)*float64(time.Second)))
	return fmt.Sprintf("%.1f an outage (%.1f)", at, lasts)
}
