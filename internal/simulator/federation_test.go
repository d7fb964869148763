package simulator

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/federation"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// playTracedFederation plays a day of two clusters, west and east, and compares its trace with
// the kept one.
func playTracedFederation(t *testing.T, name string, seed uint64, until float64, script func(w, e *Cluster)) (*Cluster, *Cluster) {
	t.Helper()
	w, e := NewFederation(seed, 3)
	script(w, e)
	w.Start()
	e.Start()
	w.Run(until)
	for _, b := range w.Violations {
		t.Errorf("rule broken: %s", b)
	}
	compareTrace(t, "federation-"+name, w.TraceText())
	return w, e
}

// submitOverload submits arrays to a cluster until it has far more than it holds.
func submitOverload(s *Cluster, at float64, jobs, tasks int, estimate float64) (ids []string) {
	for i := 0; i < jobs; i++ {
		id := fmt.Sprintf("wk-%s-%d", s.Name, i+1)
		s.Submit(at+float64(i)/4, NewSubmission(id, protocol.ShapeArray, tasks, 1, estimate, nil))
		ids = append(ids, id)
	}
	return ids
}

// startsPerCluster says how many tasks of a day's trace started in each cluster.
func startsPerCluster(text string) (west, east int) {
	return strings.Count(text, "  west.i-0"), strings.Count(text, "  east.i-0")
}

// A full cluster lends what would wait; all of it is done once.
func TestOverflow(t *testing.T) {
	var ids []string
	w, _ := playTracedFederation(t, "overflow", 1, 150, func(w, e *Cluster) {
		addMachines(w, 4, 0)
		addMachines(e, 8, 0)
		ids = submitOverload(w, 5, 6, 12, 10)
	})
	expectStatus(t, w, protocol.JobDone, ids...)
	if os.Getenv("SHOW") != "" {
		fmt.Print(w.TraceText())
	}
}

// expectNoLoans checks that no loan is left.
func expectNoLoans(t *testing.T, w, e *Cluster) {
	t.Helper()
	for _, s := range []*Cluster{w, e} {
		if got, want := s.LoanSummary(), s.Name+": 0 lent, 0 borrowed"; got != want {
			t.Errorf("at the end %s, want none", got)
		}
	}
}

// expectFinished checks that every job is done, or withdrawn, and no loan is left.
func expectFinished(t *testing.T, w, e *Cluster, status protocol.JobStatus, ids ...string) {
	t.Helper()
	expectNoLoans(t, w, e)
	expectStatus(t, w, status, ids...)
	if _, there := startsPerCluster(w.TraceText()); there == 0 && status == protocol.JobDone {
		t.Error("nothing ran at the partner")
	}
}

// overloadWest is the usual start of a day: west has more than it holds, east is free.
func overloadWest(w, e *Cluster) []string {
	addMachines(w, 4, 0)
	addMachines(e, 8, 0)
	return submitOverload(w, 5, 4, 16, 15)
}

// The partner's controllers all end with work of ours on its machines, and are
// back before the term is over: what runs there goes on.
func TestPartnerRestartsWithinLoanTerm(t *testing.T) {
	var ids []string
	w, e := playTracedFederation(t, "partner-soon-back", 2, 150, func(w, e *Cluster) {
		ids = overloadWest(w, e)
		w.At(16, e.CrashControllers)
		w.At(19, e.Start)
	})
	expectFinished(t, w, e, protocol.JobDone, ids...)
	if strings.Contains(w.TraceText(), "lease over") {
		t.Error("machines lost their leases")
	}
}

// They stay away past the term: home takes its work back, and when they return
// they know by home's answer that nothing of it may run.
func TestPartnerDownPastLoanTerm(t *testing.T) {
	var ids []string
	w, e := playTracedFederation(t, "partner-late-back", 3, 200, func(w, e *Cluster) {
		ids = overloadWest(w, e)
		w.At(16, e.CrashControllers)
		w.At(90, e.Start)
	})
	expectFinished(t, w, e, protocol.JobDone, ids...)
}

// Home's controllers all end with work out, for longer than the term: the
// partner stops it, and goes on when home answers again.
func TestHomeDownPastLoanTerm(t *testing.T) {
	var ids []string
	w, e := playTracedFederation(t, "home-cold", 4, 250, func(w, e *Cluster) {
		ids = overloadWest(w, e)
		w.At(16, w.CrashControllers)
		w.At(70, w.Start)
	})
	expectFinished(t, w, e, protocol.JobDone, ids...)
}

// The clusters cannot reach each other, or only one way; all that was sent
// meanwhile arrives a minute and a half later.
func TestPartnersPartitioned(t *testing.T) {
	for _, c := range []struct {
		name   string
		oneWay bool
		from   string
	}{{"cut", false, "west"}, {"cut-from-home", true, "west"}, {"cut-from-partner", true, "east"}} {
		var ids []string
		w, e := playTracedFederation(t, c.name, 5, 250, func(w, e *Cluster) {
			ids = overloadWest(w, e)
			a, b := w, e
			if c.from == "east" {
				a, b = e, w
			}
			w.partitionClustersFor(a, b, c.oneWay, 17, 107)
		})
		expectFinished(t, w, e, protocol.JobDone, ids...)
	}
}

// The way between the clusters is cut just before work is done there: home
// takes back what is done, and hears of it later. Nothing is told twice.
func TestTaskCompletesWhileLoanIsReclaimed(t *testing.T) {
	var ids []string
	w, e := playTracedFederation(t, "done-while-taken-back", 6, 200, func(w, e *Cluster) {
		ids = overloadWest(w, e)
		w.partitionClustersFor(w, e, false, 22, 60)
	})
	expectFinished(t, w, e, protocol.JobDone, ids...)
}

// Clocks as far apart as they may be, with a cut that outlasts the term: the
// partner's are slow, home's is fast, and so the other way round.
func TestPartnerClockSkew(t *testing.T) {
	for i, sign := range []float64{1, -1} {
		var ids []string
		w, e := playTracedFederation(t, fmt.Sprintf("clocks-apart-%d", i+1), 7, 200, func(w, e *Cluster) {
			ids = overloadWest(w, e)
			for _, n := range w.controllerNames {
				w.Controllers[n].ClockRate = 1 + sign*settings.Drift
				e.Controllers[n].ClockRate = 1 - sign*settings.Drift
			}
			for _, id := range e.machineIDs() {
				e.Machines[id].ClockRate = 1 - sign*settings.Drift
			}
			w.partitionClustersFor(w, e, false, 17, 100)
		})
		expectFinished(t, w, e, protocol.JobDone, ids...)
	}
}

// The state service is down at home, at the partner, at both, while work is
// out.
func TestStateOutageWithActiveLoans(t *testing.T) {
	for _, c := range []string{"home", "partner", "both"} {
		var ids []string
		w, e := playTracedFederation(t, "outage-at-"+c, 8, 200, func(w, e *Cluster) {
			ids = overloadWest(w, e)
			w.At(13, func() {
				if c != "partner" {
					w.State.StartOutage(25 * time.Second)
				}
				if c != "home" {
					e.State.StartOutage(25 * time.Second)
				}
			})
		})
		expectFinished(t, w, e, protocol.JobDone, ids...)
	}
}

// Both clusters are full: nothing goes back and forth.
func TestNoLoansWhenBothClustersAreFull(t *testing.T) {
	var a, b []string
	w, e := playTracedFederation(t, "both-full", 9, 250, func(w, e *Cluster) {
		addMachines(w, 4, 0)
		addMachines(e, 4, 0)
		a, b = submitOverload(w, 5, 5, 16, 12), submitOverload(e, 5, 5, 16, 12)
	})
	expectFinished(t, w, e, protocol.JobDone, a...)
	expectStatus(t, e, protocol.JobDone, b...)
	if at, there := startsPerCluster(w.TraceText()); at+there > 160*3/2 {
		t.Errorf("%d starts of 160 tasks", at+there)
	}
}

// The partner gets work of its own while ours waits or runs there: its own goes
// first, ours is stopped or comes back.
func TestPartnerPrefersItsOwnJobs(t *testing.T) {
	var a, b []string
	w, e := playTracedFederation(t, "own-work-first", 10, 250, func(w, e *Cluster) {
		a = overloadWest(w, e)
		b = submitOverload(e, 12, 4, 16, 10)
	})
	expectFinished(t, w, e, protocol.JobDone, a...)
	expectStatus(t, e, protocol.JobDone, b...)
}

// A gang goes as a whole; there, one machine dies while the clusters cannot
// reach each other.
func TestGangAtPartner(t *testing.T) {
	ids := []string{"wk-gang"}
	w, e := playTracedFederation(t, "gang", 11, 350, func(w, e *Cluster) {
		addMachines(w, 1, 0)
		machines := addMachines(e, 9, 0)
		ids = append(ids, submitOverload(w, 10, 3, 8, 20)...)
		w.Submit(5, NewSubmission("wk-gang", protocol.ShapeGang, 2, 4, 20, func(s *protocol.Submission) { m, v := 5.0, 1.0; s.CheckpointInterval, s.CheckpointDuration = &m, &v }))
		w.At(20, func() {
			heal := w.PartitionClusters(w, e, false)
			w.At(24, machines[0].Die)
			w.At(30, machines[1].Die)
			w.At(80, heal)
		})
	})
	expectFinished(t, w, e, protocol.JobDone, ids...)
}

// A partner that does not serve us any more (its settings or our certificate
// changed) with work out: the term ends it.
func TestPartnerRevokesAccess(t *testing.T) {
	var ids []string
	w, _ := playTracedFederation(t, "served-no-more", 12, 200, func(w, e *Cluster) {
		ids = overloadWest(w, e)
		w.At(14, func() {
			for _, p := range linksBetween(w, e) {
				w.refusals[p[0]+"|"+p[1]] = true
			}
			w.Trace("west and east refuse each other from now on")
		})
	})
	expectStatus(t, w, protocol.JobDone, ids...)
	if got := w.LoanSummary(); got != "west: 0 lent, 0 borrowed" {
		t.Error(got)
	}
}

// playFederation plays a day of two clusters of which no trace is kept.
func playFederation(t *testing.T, what string, seed uint64, until float64, script func(w, e *Cluster)) (*Cluster, *Cluster) {
	t.Helper()
	w, e := NewFederation(seed, 3)
	script(w, e)
	w.Start()
	e.Start()
	w.Run(until)
	for _, b := range w.Violations {
		t.Errorf("%s: rule broken: %s", what, b)
	}
	return w, e
}

// Home's leader ends at each step of a hand-over; another leads, which does not
// know what the one before answered.
func TestLeaderFailsAtEachHandoverStep(t *testing.T) {
	for at := 6.0; at < 16; at += 0.4 {
		what := fmt.Sprintf("leader lost at %.1f", at)
		var ids []string
		w, e := playFederation(t, what, 13, 200, func(w, e *Cluster) {
			ids = overloadWest(w, e)
			w.At(at, func() {
				if l := w.LeaderName(); l != "" {
					w.Controllers[l].Crash()
					w.At(at+40, w.Controllers[l].Start)
				}
			})
		})
		expectFinished(t, w, e, protocol.JobDone, ids...)
		if t.Failed() {
			t.Fatal(what)
		}
	}
}

// Who asks at each step of a hand-over, or the leader of the cluster that is
// asked, stands still at that moment, for less than the term and for longer,
// before or after the request has left.
func TestControllerPausedAtEachHandoverStep(t *testing.T) {
	for i, step := range []string{federation.PathOffers, federation.PathLeases, federation.PathStates, federation.PathRenewals} {
		for variant := 0; variant < 8; variant++ {
			holds, asked, d := variant&1 > 0, variant&2 > 0, 6*time.Second
			if variant&4 > 0 {
				d = 30 * time.Second
			}
			what := fmt.Sprintf("%s, for %v, held %v, the other side %v", step, d, holds, asked)
			var ids []string
			done := false
			w, e := playFederation(t, what, uint64(200+8*i+variant), 250, func(w, e *Cluster) {
				ids = overloadWest(w, e)
				w.OnRequest = func(from, _, path string) {
					if done || !strings.HasSuffix(path, step) {
						return
					}
					who := w.controllers[from]
					if asked {
						other := e
						if who.cluster == e {
							other = w
						}
						who = other.Controllers[other.LeaderName()]
					}
					if who != nil {
						done = true
						who.Pause(d, holds)
					}
				}
			})
			if !done {
				t.Errorf("%s: the step never came", what)
			}
			expectStatus(t, w, protocol.JobDone, ids...)
			expectNoLoans(t, w, e)
			if t.Failed() {
				t.Fatal(what)
			}
		}
	}
}

// A job is cancelled at each step, and the partner cannot be told: within
// cancel_s nothing of it is on any machine (the stand-in's users look).
func TestCancellationAtEachHandoverStep(t *testing.T) {
	for at := 5.5; at < 21; at += 0.9 {
		for _, cut := range []bool{false, true} {
			what := fmt.Sprintf("abort at %.1f, cut %v", at, cut)
			var ids []string
			w, e := playFederation(t, what, 14, 200, func(w, e *Cluster) {
				ids = overloadWest(w, e)
				if cut {
					w.partitionClustersFor(w, e, false, at, 150)
				}
				for _, id := range ids {
					w.Cancel(at, id)
				}
			})
			expectFinished(t, w, e, protocol.JobCancelled, ids...)
			if t.Failed() {
				t.Fatal(what)
			}
		}
	}
}

// Many days of random troubles, both clusters lending to each other.
func TestRandomFaultsInFederation(t *testing.T) {
	for seed := uint64(100); seed < 112; seed++ {
		what := fmt.Sprintf("seed %d", seed)
		var a, b []string
		w, e := playFederation(t, what, seed, 400, func(w, e *Cluster) {
			addMachines(w, 4, 0)
			addMachines(e, 4, 0)
			a, b = submitOverload(w, 5, 4, 12, 14), submitOverload(e, 40, 4, 12, 14)
			for i := 0; i < 6; i++ {
				at := 8 + 90*w.random.Float64()
				s := []*Cluster{w, e}[w.random.IntN(2)]
				o := []*Cluster{e, w}[w.random.IntN(2)]
				long := 3 + 40*w.random.Float64()
				switch w.random.IntN(5) {
				case 0:
					w.At(at, s.CrashControllers)
					w.At(at+long, s.Start)
				case 1:
					n := s.controllerNames[w.random.IntN(3)]
					w.At(at, s.Controllers[n].Crash)
					w.At(at+long/4, s.Controllers[n].Start)
				case 2:
					if s != o {
						one := w.random.IntN(2) == 0
						w.partitionClustersFor(s, o, one, at, at+long)
					}
				case 3:
					w.At(at, func() { s.State.StartOutage(time.Duration(long/2) * time.Second) })
				case 4:
					w.Cancel(at, fmt.Sprintf("wk-%s-%d", s.Name, 1+w.random.IntN(4)))
				}
			}
		})
		for _, s := range []*Cluster{w, e} {
			if got, want := s.LoanSummary(), s.Name+": 0 lent, 0 borrowed"; got != want {
				t.Errorf("%s: at the end %s", what, got)
			}
			for _, id := range append(a, b...) {
				if st := s.ReportedStatus(id); strings.HasPrefix(id, "wk-"+s.Name) && st != protocol.JobDone && st != protocol.JobCancelled {
					t.Errorf("%s: %s is %q", what, id, st)
				}
			}
		}
	}
}

// Half of what one cluster asks of the other arrives again, up to a minute
// later: offers, hand-overs, renewals, questions how loans are.
func TestDuplicatedFederationRequests(t *testing.T) {
	var ids []string
	again := 0
	w, e := playTracedFederation(t, "repeated", 15, 200, func(w, e *Cluster) {
		ids = overloadWest(w, e)
		w.DuplicateRequest = func(to string) time.Duration {
			if !strings.Contains(to, "fed-") || w.random.IntN(2) > 0 {
				return 0
			}
			again++
			return time.Duration(w.random.IntN(60000)) * time.Millisecond
		}
	})
	expectFinished(t, w, e, protocol.JobDone, ids...)
	if again < 20 {
		t.Errorf("%d messages were repeated", again)
	}
}

// Work that waits at the partner, whose own work came first, is called back when
// home has room for it.
func TestLoanRecalledWhenHomeHasCapacity(t *testing.T) {
	var a, b []string
	w, e := playTracedFederation(t, "called-back", 16, 200, func(w, e *Cluster) {
		a = overloadWest(w, e)
		w.At(9.6, func() { // what was lent has no room there any more
			for _, id := range e.machineIDs() {
				e.Machines[id].Hung = true
			}
			e.Trace("all machines of east hang")
		})
		w.Cancel(11, a[0])
		w.Cancel(11, a[3])
		w.At(60, func() {
			for _, id := range e.machineIDs() {
				e.Machines[id].Hung = false
			}
			e.Trace("they go on")
		})
		b = a[1:3]
	})
	expectStatus(t, w, protocol.JobDone, b...)
	expectStatus(t, w, protocol.JobCancelled, a[0], a[3])
	recalled, back := 0, 0
	for _, s := range []*Cluster{w, e} {
		for _, n := range s.controllerNames {
			c := s.Controllers[n].Controller.DebugState().Federation.Counters
			recalled += c.Recalled
			back += c.Back
		}
	}
	if recalled == 0 || back == 0 {
		t.Errorf("%d loans called back, %d came back", recalled, back)
	}
	if got := w.LoanSummary(); got != "west: 0 lent, 0 borrowed" {
		t.Error(got)
	}
}

// The controllers of the partner are restarted one after the other, with work of
// ours on its machines: the owners to come ask home before they answer, and the
// work goes on.
func TestPartnerRollingRestart(t *testing.T) {
	var ids []string
	w, e := playTracedFederation(t, "partner-rolled", 17, 150, func(w, e *Cluster) {
		ids = overloadWest(w, e)
		for i, n := range e.controllerNames {
			at := 16 + 3*float64(i)
			w.At(at, e.Controllers[n].Crash)
			w.At(at+2, e.Controllers[n].Start)
		}
	})
	expectFinished(t, w, e, protocol.JobDone, ids...)
	if n := strings.Count(w.TraceText(), " starts "); n != 64 {
		t.Errorf("%d starts of 64 tasks: a restart cost work", n)
	}
}
