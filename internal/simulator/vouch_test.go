package simulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// enableVouching lets the controllers vouch for each other.
func (c *Cluster) enableVouching() {
	for _, n := range c.controllerNames {
		c.Controllers[n].settings.Grants.Vouch = true
	}
}

// The sweep of refusals and outages once more, with owners that go on through the outage on
// the word of the others: what was confirmed is gone within cancel_s all the same.
func TestRefusalThenOutageWithVouching(t *testing.T) {
	sweepRefusalThenOutage(t, 1500, (*Cluster).enableVouching)
}

// An outage of the state service for far longer than a grant and a lease. With the word
// of all members nothing that runs is lost, and what was cancelled just before it is
// halted at once; with a controller that is away, or back in the middle, or cut from the
// others, there is no such word, and all goes on as without.
func TestVouchingThroughStateOutage(t *testing.T) {
	for _, c := range []struct {
		name    string
		vouch   bool
		trouble func(s *Cluster)
		lost    bool // tasks have to begin again
	}{
		{"without", false, nil, true},
		{"vouched for", true, nil, false},
		{"a controller ends before it and is away", true, func(s *Cluster) { s.At(19, s.Controllers["n2"].Crash) }, true},
		{"a controller ends in it and is back at once", true, func(s *Cluster) { s.restartQuickly(30, 0.3, func() *ControllerProcess { return s.Controllers["n2"] }) }, true},
		{"two controllers do not reach each other", true, func(s *Cluster) { s.cutLinksFor(25, 90, [][2]string{{"n0", "n1"}}) }, true},
		{"a controller stands still for longer than a grant", true, func(s *Cluster) {
			s.At(30, func() { s.Controllers["n1"].Pause(18*time.Second, false) })
		}, true},
	} {
		s := NewCluster(1600)
		s.ServeAPI()
		if c.vouch {
			s.enableVouching()
		}
		addMachines(s, 9, 0)
		s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 12, 1, 100, nil))
		s.Submit(6, NewSubmission("wk-2", protocol.ShapeArray, 12, 1, 100, nil))
		s.Submit(7, NewSubmission("wk-3", protocol.ShapeGang, 3, 2, 100, nil))
		s.DropCancellationNotices = true
		s.At(19.8, func() { s.requestCancellation("wk-2") })
		s.At(20, func() { s.State.StartOutage(60 * time.Second) })
		if c.trouble != nil {
			c.trouble(s)
		}
		s.Start()
		s.Run(400)
		for _, b := range s.Violations {
			t.Errorf("%s: rule broken: %s", c.name, b)
		}
		expectStatus(t, s, protocol.JobDone, "wk-1", "wk-3")
		expectStatus(t, s, protocol.JobCancelled, "wk-2")
		starts := strings.Count(s.TraceText(), "starts wk-1/") + strings.Count(s.TraceText(), "starts wk-3/")
		if starts < 15 || c.lost != (starts > 15) {
			t.Errorf("%s: 15 tasks began %d times, lost %v is expected", c.name, starts, c.lost)
		}
	}
}

// Whose word is worth nothing, and who must wait for whom. Half of the machines reach
// only the owner that is alone: what it renews there is what the others must reckon with.
func TestInvalidVouching(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(s *Cluster, alone string, others []string)
	}{
		// Its process before confirmed a cancellation that nobody else knows of.
		{"by a controller that is back at once", func(s *Cluster, alone string, others []string) {
			s.At(19.2, func() { s.SetRefusal(alone, "state", true) })
			s.At(19.4, func() {
				s.repeatRequest(others[0], "cancel", NewSubmission("wk-1", protocol.ShapeArray, 18, 1, 130, nil))
			})
			s.crashFor(19.6, 19.8, others...) // they read what is stored before the outage
			s.At(20.6, func() { s.State.StartOutage(80 * time.Second) })
			s.At(25, func() { s.SetRefusal(alone, "state", false) })
		}},
		// Its part is taken by force meanwhile.
		{"though its part was taken", func(s *Cluster, alone string, _ []string) {
			s.At(19, func() { s.SetRefusal(alone, "state", true) })
			s.At(110, func() { s.SetRefusal(alone, "state", false) })
		}},
		// All are refused until their keys are gone; the others are back first, and take
		// the free key of one that was vouched for until then.
		{"until its key was gone", func(s *Cluster, alone string, others []string) {
			for _, n := range s.controllerNames {
				s.At(19, func() { s.SetRefusal(n, "state", true) })
			}
			for _, n := range others {
				s.At(50, func() { s.SetRefusal(n, "state", false) })
			}
			s.At(130, func() { s.SetRefusal(alone, "state", false) })
		}},
	} {
		for seed := uint64(1620); seed < 1624; seed++ {
			s := NewCluster(seed)
			s.ServeAPI()
			s.enableVouching()
			w := addMachines(s, 9, 0)
			s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 18, 1, 130, nil))
			s.DropCancellationNotices = true
			alone := ""
			s.At(12, func() {
				alone = s.largestOwner().name
				var others []string
				for _, n := range s.controllerNames {
					if n != alone {
						others = append(others, n)
					}
				}
				for i, x := range w {
					for _, n := range others {
						if i%2 == 0 && s.ownerOf(x) == s.Controllers[alone] {
							s.cutLink(x.Address(), n)
							s.cutLink(x.Address(), s.apiAddress(n))
						}
					}
				}
				c.do(s, alone, others)
			})
			s.Submit(115, NewSubmission("wk-2", protocol.ShapeArray, 12, 1, 10, nil))
			for range 4 { // room for what is begun again
				s.At(55, func() { s.AddMachine("small", "a", false) })
			}
			s.Start()
			s.Run(300)
			for _, b := range s.Violations {
				t.Errorf("%s (seed %d): rule broken: %s", c.name, seed, b)
			}
			expectStatus(t, s, protocol.JobDone, "wk-2")
		}
	}
}

// Random days on which they vouch, with the combined failures that matter to it more often: an
// outage longer than cancel_s on each, cancellations around its beginning and in it, and
// parts that change hands shortly before.
func TestRandomVouchedOutages(t *testing.T) { randomDays(t, *firstDay+vouchedOutageDays) }

// randomVouchedOutage is what each of those days has.
func (c *Cluster) randomVouchedOutage(r *rand.Rand, w []*Machine, at float64) string {
	cancel := c.Settings.Deployment.Workers.Cancel
	lasts := (0.4 + r.Float64()) * cancel
	c.At(at, func() { c.State.StartOutage(time.Duration(lasts * float64(time.Second))) })
	alone := c.controllerNames[r.IntN(3)]
	from := at - 12*r.Float64()
	if r.IntN(2) == 0 {
		c.At(from, func() { c.SetRefusal(alone, "state", true) })
		c.At(from+14*r.Float64(), func() { c.SetRefusal(alone, "state", false) })
	}
	if r.IntN(2) == 0 {
		c.At(at-3*r.Float64(), func() { c.after(time.Duration(lasts/2*float64(time.Second)), c.IsolateController(alone)) })
	}
	if r.IntN(2) == 0 {
		x := w[r.IntN(len(w))]
		c.cutLinksFor(at-2, at+lasts*1.5*r.Float64(), c.machineLinks(x))
	}
	for range r.IntN(3) {
		c.restartQuickly(at+(lasts+8)*r.Float64()-4, c.randomMoment(r).Seconds(), func() *ControllerProcess { return c.Controllers[c.controllerNames[r.IntN(3)]] })
	}
	for i := range 5 {
		c.Cancel(at-6+8*r.Float64(), fmt.Sprintf("wk-%d", i+1))
	}
	c.histories.FaultsOver = max(c.histories.FaultsOver, time.Duration((at+2*lasts+20)*float64(time.Second)))
	return fmt.Sprintf("%.1f an outage (%.1f)", at, lasts)
}
