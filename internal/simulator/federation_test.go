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
func playTracedFederation(t *testing.T, name string, seed uint64, until float64, script func(west, east *Cluster)) (*Cluster, *Cluster) {
	t.Helper()
	west, east := NewFederation(seed, 3)
	script(west, east)
	west.Start()
	east.Start()
	west.Run(until)
	for _, violation := range west.Violations {
		t.Errorf("rule broken: %s", violation)
	}
	compareTrace(t, "federation-"+name, west.TraceText())
	return west, east
}

// submitOverload submits arrays to a cluster until it has far more than it holds.
func submitOverload(cluster *Cluster, at float64, jobs, tasks int, estimate float64) (ids []string) {
	for i := 0; i < jobs; i++ {
		id := fmt.Sprintf("wk-%s-%d", cluster.Name, i+1)
		cluster.Submit(at+float64(i)/4, NewSubmission(id, protocol.ShapeArray, tasks, 1, estimate, nil))
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
	west, _ := playTracedFederation(t, "overflow", 1, 150, func(west, east *Cluster) {
		addMachines(west, 4, 0)
		addMachines(east, 8, 0)
		ids = submitOverload(west, 5, 6, 12, 10)
	})
	expectStatus(t, west, protocol.JobDone, ids...)
	if os.Getenv("SHOW") != "" {
		fmt.Print(west.TraceText())
	}
}

// expectNoLoans checks that no loan is left.
func expectNoLoans(t *testing.T, west, east *Cluster) {
	t.Helper()
	for _, cluster := range []*Cluster{west, east} {
		if got, want := cluster.LoanSummary(), cluster.Name+": 0 lent, 0 borrowed"; got != want {
			t.Errorf("at the end %s, want none", got)
		}
	}
}

// expectFinished checks that every job is done, or withdrawn, and no loan is left.
func expectFinished(t *testing.T, west, east *Cluster, status protocol.JobStatus, ids ...string) {
	t.Helper()
	expectNoLoans(t, west, east)
	expectStatus(t, west, status, ids...)
	if _, there := startsPerCluster(west.TraceText()); there == 0 && status == protocol.JobDone {
		t.Error("nothing ran at the partner")
	}
}

// overloadWest is the usual start of a day: west has more than it holds, east is free.
func overloadWest(west, east *Cluster) []string {
	addMachines(west, 4, 0)
	addMachines(east, 8, 0)
	return submitOverload(west, 5, 4, 16, 15)
}

// The partner's controllers all end with work of ours on its machines, and are
// back before the term is over: what runs there goes on.
func TestPartnerRestartsWithinLoanTerm(t *testing.T) {
	var ids []string
	west, east := playTracedFederation(t, "partner-soon-back", 2, 150, func(west, east *Cluster) {
		ids = overloadWest(west, east)
		west.At(16, east.CrashControllers)
		west.At(19, east.Start)
	})
	expectFinished(t, west, east, protocol.JobDone, ids...)
	if strings.Contains(west.TraceText(), "lease over") {
		t.Error("machines lost their leases")
	}
}

// They stay away past the term: home takes its work back, and when they return
// they know by home's answer that nothing of it may run.
func TestPartnerDownPastLoanTerm(t *testing.T) {
	var ids []string
	west, east := playTracedFederation(t, "partner-late-back", 3, 200, func(west, east *Cluster) {
		ids = overloadWest(west, east)
		west.At(16, east.CrashControllers)
		west.At(90, east.Start)
	})
	expectFinished(t, west, east, protocol.JobDone, ids...)
}

// Home's controllers all end with work out, for longer than the term: the
// partner stops it, and goes on when home answers again.
func TestHomeDownPastLoanTerm(t *testing.T) {
	var ids []string
	west, east := playTracedFederation(t, "home-cold", 4, 250, func(west, east *Cluster) {
		ids = overloadWest(west, east)
		west.At(16, west.CrashControllers)
		west.At(70, west.Start)
	})
	expectFinished(t, west, east, protocol.JobDone, ids...)
}

// The clusters cannot reach each other, or only one way; all that was sent
// meanwhile arrives a minute and a half later.
func TestPartnersPartitioned(t *testing.T) {
	for _, test := range []struct {
		name   string
		oneWay bool
		from   string
	}{{"cut", false, "west"}, {"cut-from-home", true, "west"}, {"cut-from-partner", true, "east"}} {
		var ids []string
		west, east := playTracedFederation(t, test.name, 5, 250, func(west, east *Cluster) {
			ids = overloadWest(west, east)
			a, b := west, east
			if test.from == "east" {
				a, b = east, west
			}
			west.partitionClustersFor(a, b, test.oneWay, 17, 107)
		})
		expectFinished(t, west, east, protocol.JobDone, ids...)
	}
}

// The way between the clusters is cut just before work is done there: home
// takes back what is done, and hears of it later. Nothing is told twice.
func TestTaskCompletesWhileLoanIsReclaimed(t *testing.T) {
	var ids []string
	west, east := playTracedFederation(t, "done-while-taken-back", 6, 200, func(west, east *Cluster) {
		ids = overloadWest(west, east)
		west.partitionClustersFor(west, east, false, 22, 60)
	})
	expectFinished(t, west, east, protocol.JobDone, ids...)
}

// Clocks as far apart as they may be, with a cut that outlasts the term: the
// partner's are slow, home's is fast, and so the other way round.
func TestPartnerClockSkew(t *testing.T) {
	for i, sign := range []float64{1, -1} {
		var ids []string
		west, east := playTracedFederation(t, fmt.Sprintf("clocks-apart-%d", i+1), 7, 200, func(west, east *Cluster) {
			ids = overloadWest(west, east)
			for _, name := range west.controllerNames {
				west.Controllers[name].ClockRate = 1 + sign*settings.Drift
				east.Controllers[name].ClockRate = 1 - sign*settings.Drift
			}
			for _, id := range east.machineIDs() {
				east.Machines[id].ClockRate = 1 - sign*settings.Drift
			}
			west.partitionClustersFor(west, east, false, 17, 100)
		})
		expectFinished(t, west, east, protocol.JobDone, ids...)
	}
}

// The state service is down at home, at the partner, at both, while work is
// out.
func TestStateOutageWithActiveLoans(t *testing.T) {
	for _, c := range []string{"home", "partner", "both"} {
		var ids []string
		west, east := playTracedFederation(t, "outage-at-"+c, 8, 200, func(west, east *Cluster) {
			ids = overloadWest(west, east)
			west.At(13, func() {
				if c != "partner" {
					west.State.StartOutage(25 * time.Second)
				}
				if c != "home" {
					east.State.StartOutage(25 * time.Second)
				}
			})
		})
		expectFinished(t, west, east, protocol.JobDone, ids...)
	}
}

// Both clusters are full: nothing goes back and forth.
func TestNoLoansWhenBothClustersAreFull(t *testing.T) {
	var a, b []string
	west, east := playTracedFederation(t, "both-full", 9, 250, func(west, east *Cluster) {
		addMachines(west, 4, 0)
		addMachines(east, 4, 0)
		a, b = submitOverload(west, 5, 5, 16, 12), submitOverload(east, 5, 5, 16, 12)
	})
	expectFinished(t, west, east, protocol.JobDone, a...)
	expectStatus(t, east, protocol.JobDone, b...)
	if at, there := startsPerCluster(west.TraceText()); at+there > 160*3/2 {
		t.Errorf("%d starts of 160 tasks", at+there)
	}
}

// The partner gets work of its own while ours waits or runs there: its own goes
// first, ours is stopped or comes back.
func TestPartnerPrefersItsOwnJobs(t *testing.T) {
	var a, b []string
	west, east := playTracedFederation(t, "own-work-first", 10, 250, func(west, east *Cluster) {
		a = overloadWest(west, east)
		b = submitOverload(east, 12, 4, 16, 10)
	})
	expectFinished(t, west, east, protocol.JobDone, a...)
	expectStatus(t, east, protocol.JobDone, b...)
}

// A gang goes as a whole; there, one machine dies while the clusters cannot
// reach each other.
func TestGangAtPartner(t *testing.T) {
	ids := []string{"wk-gang"}
	west, east := playTracedFederation(t, "gang", 11, 350, func(west, east *Cluster) {
		addMachines(west, 1, 0)
		machines := addMachines(east, 9, 0)
		ids = append(ids, submitOverload(west, 10, 3, 8, 20)...)
		west.Submit(5, NewSubmission("wk-gang", protocol.ShapeGang, 2, 4, 20, func(submission *protocol.Submission) {
			m, v := 5.0, 1.0
			submission.CheckpointInterval, submission.CheckpointDuration = &m, &v
		}))
		west.At(20, func() {
			heal := west.PartitionClusters(west, east, false)
			west.At(24, machines[0].Die)
			west.At(30, machines[1].Die)
			west.At(80, heal)
		})
	})
	expectFinished(t, west, east, protocol.JobDone, ids...)
}

// A partner that does not serve us any more (its settings or our certificate
// changed) with work out: the term ends it.
func TestPartnerRevokesAccess(t *testing.T) {
	var ids []string
	west, _ := playTracedFederation(t, "served-no-more", 12, 200, func(west, east *Cluster) {
		ids = overloadWest(west, east)
		west.At(14, func() {
			for _, pair := range linksBetween(west, east) {
				west.refusals[pair[0]+"|"+pair[1]] = true
			}
			west.Trace("west and east refuse each other from now on")
		})
	})
	expectStatus(t, west, protocol.JobDone, ids...)
	if got := west.LoanSummary(); got != "west: 0 lent, 0 borrowed" {
		t.Error(got)
	}
}

// playFederation plays a day of two clusters of which no trace is kept.
func playFederation(t *testing.T, what string, seed uint64, until float64, script func(west, east *Cluster)) (*Cluster, *Cluster) {
	t.Helper()
	west, east := NewFederation(seed, 3)
	script(west, east)
	west.Start()
	east.Start()
	west.Run(until)
	for _, violation := range west.Violations {
		t.Errorf("%s: rule broken: %s", what, violation)
	}
	return west, east
}

// Home's leader ends at each step of a hand-over; another leads, which does not
// know what the one before answered.
func TestLeaderFailsAtEachHandoverStep(t *testing.T) {
	for at := 6.0; at < 16; at += 0.4 {
		what := fmt.Sprintf("leader lost at %.1f", at)
		var ids []string
		west, east := playFederation(t, what, 13, 200, func(west, east *Cluster) {
			ids = overloadWest(west, east)
			west.At(at, func() {
				if line := west.LeaderName(); line != "" {
					west.Controllers[line].Crash()
					west.At(at+40, west.Controllers[line].Start)
				}
			})
		})
		expectFinished(t, west, east, protocol.JobDone, ids...)
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
			holds, asked, duration := variant&1 > 0, variant&2 > 0, 6*time.Second
			if variant&4 > 0 {
				duration = 30 * time.Second
			}
			what := fmt.Sprintf("%s, for %v, held %v, the other side %v", step, duration, holds, asked)
			var ids []string
			done := false
			west, east := playFederation(t, what, uint64(200+8*i+variant), 250, func(west, east *Cluster) {
				ids = overloadWest(west, east)
				west.OnRequest = func(from, _, path string) {
					if done || !strings.HasSuffix(path, step) {
						return
					}
					who := west.controllers[from]
					if asked {
						other := east
						if who.cluster == east {
							other = west
						}
						who = other.Controllers[other.LeaderName()]
					}
					if who != nil {
						done = true
						who.Pause(duration, holds)
					}
				}
			})
			if !done {
				t.Errorf("%s: the step never came", what)
			}
			expectStatus(t, west, protocol.JobDone, ids...)
			expectNoLoans(t, west, east)
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
			west, east := playFederation(t, what, 14, 200, func(west, east *Cluster) {
				ids = overloadWest(west, east)
				if cut {
					west.partitionClustersFor(west, east, false, at, 150)
				}
				for _, id := range ids {
					west.Cancel(at, id)
				}
			})
			expectFinished(t, west, east, protocol.JobCancelled, ids...)
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
		west, east := playFederation(t, what, seed, 400, func(west, east *Cluster) {
			addMachines(west, 4, 0)
			addMachines(east, 4, 0)
			a, b = submitOverload(west, 5, 4, 12, 14), submitOverload(east, 40, 4, 12, 14)
			for i := 0; i < 6; i++ {
				at := 8 + 90*west.random.Float64()
				cluster := []*Cluster{west, east}[west.random.IntN(2)]
				other := []*Cluster{east, west}[west.random.IntN(2)]
				long := 3 + 40*west.random.Float64()
				switch west.random.IntN(5) {
				case 0:
					west.At(at, cluster.CrashControllers)
					west.At(at+long, cluster.Start)
				case 1:
					name := cluster.controllerNames[west.random.IntN(3)]
					west.At(at, cluster.Controllers[name].Crash)
					west.At(at+long/4, cluster.Controllers[name].Start)
				case 2:
					if cluster != other {
						one := west.random.IntN(2) == 0
						west.partitionClustersFor(cluster, other, one, at, at+long)
					}
				case 3:
					west.At(at, func() { cluster.State.StartOutage(time.Duration(long/2) * time.Second) })
				case 4:
					west.Cancel(at, fmt.Sprintf("wk-%s-%d", cluster.Name, 1+west.random.IntN(4)))
				}
			}
		})
		for _, cluster := range []*Cluster{west, east} {
			if got, want := cluster.LoanSummary(), cluster.Name+": 0 lent, 0 borrowed"; got != want {
				t.Errorf("%s: at the end %s", what, got)
			}
			for _, id := range append(a, b...) {
				if st := cluster.ReportedStatus(id); strings.HasPrefix(id, "wk-"+cluster.Name) && st != protocol.JobDone && st != protocol.JobCancelled {
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
	west, east := playTracedFederation(t, "repeated", 15, 200, func(west, east *Cluster) {
		ids = overloadWest(west, east)
		west.DuplicateRequest = func(to string) time.Duration {
			if !strings.Contains(to, "fed-") || west.random.IntN(2) > 0 {
				return 0
			}
			again++
			return time.Duration(west.random.IntN(60000)) * time.Millisecond
		}
	})
	expectFinished(t, west, east, protocol.JobDone, ids...)
	if again < 20 {
		t.Errorf("%d messages were repeated", again)
	}
}

// Work that waits at the partner, whose own work came first, is called back when
// home has room for it.
func TestLoanRecalledWhenHomeHasCapacity(t *testing.T) {
	var a, b []string
	west, east := playTracedFederation(t, "called-back", 16, 200, func(west, east *Cluster) {
		a = overloadWest(west, east)
		west.At(9.6, func() { // what was lent has no room there any more
			for _, id := range east.machineIDs() {
				east.Machines[id].Hung = true
			}
			east.Trace("all machines of east hang")
		})
		west.Cancel(11, a[0])
		west.Cancel(11, a[3])
		west.At(60, func() {
			for _, id := range east.machineIDs() {
				east.Machines[id].Hung = false
			}
			east.Trace("they go on")
		})
		b = a[1:3]
	})
	expectStatus(t, west, protocol.JobDone, b...)
	expectStatus(t, west, protocol.JobCancelled, a[0], a[3])
	recalled, back := 0, 0
	for _, cluster := range []*Cluster{west, east} {
		for _, name := range cluster.controllerNames {
			c := cluster.Controllers[name].Controller.DebugState().Federation.Counters
			recalled += c.Recalled
			back += c.Back
		}
	}
	if recalled == 0 || back == 0 {
		t.Errorf("%d loans called back, %d came back", recalled, back)
	}
	if got := west.LoanSummary(); got != "west: 0 lent, 0 borrowed" {
		t.Error(got)
	}
}

// The controllers of the partner are restarted one after the other, with work of
// ours on its machines: the owners to come ask home before they answer, and the
// work goes on.
func TestPartnerRollingRestart(t *testing.T) {
	var ids []string
	west, east := playTracedFederation(t, "partner-rolled", 17, 150, func(west, east *Cluster) {
		ids = overloadWest(west, east)
		for i, name := range east.controllerNames {
			at := 16 + 3*float64(i)
			west.At(at, east.Controllers[name].Crash)
			west.At(at+2, east.Controllers[name].Start)
		}
	})
	expectFinished(t, west, east, protocol.JobDone, ids...)
	if n := strings.Count(west.TraceText(), " starts "); n != 64 {
		t.Errorf("%d starts of 64 tasks: a restart cost work", n)
	}
}
