package simulator

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// refusalThenOutage is the users' combination: the state service refuses some controllers alone, others
// confirm cancellations, and then it is down for all for longer than cancel_s, while
// workers keep reporting to those. Times in seconds.
type refusalThenOutage struct {
	refused func(cluster *Cluster) []string // who is refused
	length  float64                         // for so long, from refusedAt on
	outage  float64                         // all are from then on; 0: from right after a renewal of theirs on
	twice   bool                            // all of it once more
	only    bool                            // half of the machines reach only those
	slow    float64                         // their requests for changes get no answer for so long after
	answers float64                         // the state service's answers to all are so late until it is down
	held    float64                         // orders of that time reach their machines so late
	back    bool                            // they end in the middle and are back at once
	clocks  float64                         // how far they are off
	said    bool                            // they hear from the others what was cancelled
	edit    func(cluster *Cluster)
	timing  func(cluster *Cluster)
}

const refusedAt = 20.0

func (g *refusalThenOutage) play(seed uint64) *Cluster {
	cluster := NewCluster(seed)
	cluster.ServeAPI()
	if g.timing == nil {
		g.timing = (*Cluster).useTightLeases
	}
	g.timing(cluster)
	if g.edit != nil {
		g.edit(cluster)
	}
	machines := addMachines(cluster, 9, 0)
	for _, machine := range machines {
		machine.ClockRate = 1 - g.clocks
	}
	for _, name := range cluster.controllerNames {
		cluster.Controllers[name].ClockRate = 1 - g.clocks
	}
	lasts := 1.2 * cluster.Settings.Deployment.Workers.Cancel
	cluster.DropCancellationNotices = !g.said // so that the bound holds by itself
	// Cancelled before, in and after the refusal; one job before the service is down.
	at := []float64{-0.1, 0.1, 0.3, 0.6, 0.9, 1.2}
	for i, x := range at {
		id := fmt.Sprintf("wk-%d", i+1)
		cluster.Submit(4+float64(i)/4, NewSubmission(id, protocol.ShapeArray, 6, 1, 300))
		cluster.Cancel(refusedAt+x*g.length, id)
	}
	cluster.Submit(refusedAt-0.4, NewSubmission("wk-9", protocol.ShapeArray, 8, 0.5, 300)) // on its way when it is cancelled
	cluster.Cancel(refusedAt+0.2, "wk-9")
	cluster.inject(g, machines, refusedAt, lasts)
	end := refusedAt + g.length + lasts
	if g.twice {
		cluster.Submit(end+5, NewSubmission("wk-7", protocol.ShapeArray, 18, 1, 300))
		cluster.Submit(end+5, NewSubmission("wk-8", protocol.ShapeArray, 18, 1, 300))
		cluster.Cancel(end+20.2, "wk-7")
		cluster.Cancel(end+21, "wk-8")
		cluster.inject(g, machines, end+20, lasts)
		end += 20 + g.length + lasts
	}
	cluster.Start()
	cluster.Run(end + 40)
	return cluster
}

func (c *Cluster) inject(fault *refusalThenOutage, machines []*Machine, at, lasts float64) {
	down := false
	if fault.answers > 0 {
		c.At(at-5, func() {
			c.State.ResponseDelay = func(string) time.Duration {
				return env.Seconds(c.random.Float64() * fault.answers)
			}
		})
	}
	outage := func() {
		c.State.ResponseDelay = nil
		if !down {
			down = true
			c.State.StartOutage(env.Seconds(lasts))
		}
	}
	if fault.held > 0 {
		c.delayRequestsFor(at-0.41, at+fault.length, 1, fault.held/2, 3*fault.held/2, "/orders")
	}
	c.At(at, func() {
		refused := fault.refused(c)
		for _, name := range refused {
			c.SetRefusal(name, "state", true)
			c.after(env.Seconds(fault.length), func() { c.SetRefusal(name, "state", false) })
			if fault.back {
				c.after(env.Seconds(fault.length/2), func() {
					c.Controllers[name].Crash()
					c.after(300*time.Millisecond, c.Controllers[name].Start)
				})
			}
		}
		for i, machine := range machines {
			for _, name := range c.controllerNames {
				if fault.only && i%2 == 0 && !slices.Contains(refused, name) {
					c.cutLink(machine.Address(), name)
					c.cutLink(machine.Address(), c.apiAddress(name))
				}
			}
		}
		to := c.now + env.Seconds(fault.length+fault.slow)
		c.DelayedRequests = append(c.DelayedRequests, func(from, path string, _ []byte) (time.Duration, bool) {
			return time.Second, fault.slow > 0 && c.now < to && strings.HasPrefix(path, "/changes") && slices.Contains(refused, from)
		})
		after := c.now + env.Seconds(fault.length+max(0, fault.slow-1))
		c.OnRequest = func(from, _, path string) {
			if fault.outage == 0 && !down && c.now > after && strings.HasSuffix(path, "/touch") && slices.Contains(refused, from) {
				c.after(5*time.Millisecond, outage) // it has been carried out
			}
		}
	})
	if fault.outage > 0 {
		c.At(at+fault.outage, outage)
	}
}

// The sweep: who is refused, for how long (fractions of the grant's life, both sides
// of it), when the service is down for all relative to that, once and twice, with
// controllers that are back at once, machines that reach only those, requests for
// changes without an answer while renewals pass, clocks apart, and settings that leave
// little for a grant. All that was confirmed is gone within cancel_s of true time, and
// nothing of it starts later, also after the outage.
func TestRefusalThenOutage(t *testing.T) { sweepRefusalThenOutage(t, 700, func(*Cluster) {}) }

func sweepRefusalThenOutage(t *testing.T, seed uint64, edit func(*Cluster)) {
	try := func(what string, g refusalThenOutage) {
		seed++
		g.edit = edit
		cluster := g.play(seed)
		for _, violation := range cluster.Violations {
			t.Errorf("%s (seed %d): %s", what, seed, violation)
		}
		for _, i := range []int{1, 2, 3, 4, 5, 6, 9} {
			if id := fmt.Sprintf("wk-%d", i); cluster.ReportedStatus(id) != protocol.JobCancelled {
				t.Errorf("%s: %s is %q, was to be cancelled", what, id, cluster.ReportedStatus(id))
			}
		}
	}
	life := 11.2 // about, under tight
	for name, who := range map[string]func(*Cluster) []string{"leader": leaderOnly, "largest owner": largestOwnerOnly, "both": leaderAndLargestOwner} {
		for _, share := range []float64{0.1, 0.3, 0.6, 0.9, 1.1} {
			for _, only := range []bool{false, true} {
				what := fmt.Sprintf("%s refused for %.1f of the grant, only %v", name, share, only)
				try(what+", down from a renewal on", refusalThenOutage{refused: who, length: share * life, only: only})
				try(what+", twice", refusalThenOutage{refused: who, length: share * life, only: only, outage: share*life - 0.1, twice: true})
			}
		}
		for _, slow := range []float64{2, 8, 30} {
			try(fmt.Sprintf("%s refused, then without changes for %v s", name, slow), refusalThenOutage{refused: who, length: 3, slow: slow, only: slow > 5})
		}
		try(name+" back in the middle", refusalThenOutage{refused: who, length: 6, back: true, only: true})
		for _, answers := range []float64{0.4, 1.4} {
			try(fmt.Sprintf("%s refused, answers up to %v s late", name, answers), refusalThenOutage{refused: who, length: 9, answers: answers, only: true})
		}
		for _, held := range []float64{2, 9} {
			try(fmt.Sprintf("%s refused, orders %v s late", name, held), refusalThenOutage{refused: who, length: 5, held: held, only: held > 5})
		}
		try(name+", clocks slow", refusalThenOutage{refused: who, length: 10, clocks: settings.Drift, only: true})
		for _, outage := range []float64{0, 1.5} {
			try(name+", little time", refusalThenOutage{refused: who, length: 1.8, outage: outage, only: true, timing: (*Cluster).useTighterLeases})
		}
	}
}

// Who is refused alone hears from the others what was cancelled: it halts that at once,
// starts none of it and tells its users, however old its cache is and becomes. (Without
// the word it went on starting tasks for report_s, and what ran went with its leases, up
// to cancel_s later: TestRefusedThenDown has the word lost in all its days.)
func TestCancellationNoticeReachesRefusedController(t *testing.T) {
	without := time.Duration(0)
	for seed := uint64(1200); seed < 1206; seed++ {
		for _, said := range []bool{true, false} {
			g := refusalThenOutage{refused: leaderAndLargestOwner, length: 5, outage: 4.5, said: said, timing: (*Cluster).useLongLeases}
			cluster := g.play(seed)
			for _, violation := range cluster.Violations {
				t.Errorf("seed %d: %s", seed, violation)
			}
			for _, id := range []string{"wk-2", "wk-3", "wk-4", "wk-5", "wk-6", "wk-9"} {
				history := cluster.histories.job(id)
				if !said {
					without = max(without, history.presentAfterCancellation)
					continue
				}
				// The next direct order; one that is on its way comes before it.
				if history.presentAfterCancellation > 2*time.Second || history.startsAfterCancellation > 0 {
					t.Errorf("seed %d: %s was on machines for %v after its cancellation, %d of its tasks came after it", seed, id, history.presentAfterCancellation, history.startsAfterCancellation)
				}
			}
		}
	}
	if without < 10*time.Second {
		t.Errorf("without the word at most %v: nothing was to be gained on these days", without)
	}
}

// The users' sequence, to be read. Their own words: it broke most schedulers.
func TestRefusalThenOutageTrace(t *testing.T) {
	g := refusalThenOutage{refused: leaderOnly, length: 10, only: true}
	cluster := g.play(699)
	compareTrace(t, "combined-refused-then-down", cluster.TraceText())
	expectNoViolations(t, cluster, "day")
}
