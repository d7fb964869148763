package simulator

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

var update = flag.Bool("update", false, "write the traces anew")

// playTraced plays a scenario and compares its trace with the kept one.
func playTraced(t *testing.T, name string, seed uint64, until float64, script func(cluster *Cluster)) *Cluster {
	t.Helper()
	cluster := NewCluster(seed)
	cluster.ServeAPI()
	script(cluster)
	cluster.Start()
	cluster.Run(until)
	for _, violation := range cluster.Violations {
		t.Errorf("rule broken: %s", violation)
	}
	compareTrace(t, name, cluster.TraceText())
	return cluster
}

// compareTrace compares a trace with the kept one.
func compareTrace(t *testing.T, name, text string) {
	t.Helper()
	file := "testdata/" + name + ".trace"
	if *update {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got := text; got != string(want) {
		a, b := strings.Split(got, "\n"), strings.Split(string(want), "\n")
		for i := range a {
			if i >= len(b) || a[i] != b[i] {
				t.Fatalf("%s: line %d differs:\n got %s\nwant %s", file, i+1, a[i], strings.Join(b[min(i, len(b)-1):min(i+1, len(b))], ""))
			}
		}
		t.Fatalf("%s: the trace is shorter than the kept one", file)
	}
}

func addMachines(cluster *Cluster, smalls, bigs int) (ids []*Machine) {
	for i := 0; i < smalls; i++ {
		ids = append(ids, cluster.AddMachine("small", []string{"a", "b"}[i%2], false))
	}
	for i := 0; i < bigs; i++ {
		ids = append(ids, cluster.AddMachine("big", []string{"a", "b"}[i%2], false))
	}
	return ids
}

func expectStatus(t *testing.T, cluster *Cluster, want protocol.JobStatus, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if got := cluster.ReportedStatus(id); got != want {
			t.Errorf("%s: its user was told %q, want %q", id, got, want)
		}
	}
}

// cutLinksFor parts pairs of hosts from one time to another, in seconds.
func (c *Cluster) cutLinksFor(from, to float64, pairs [][2]string) {
	c.At(from, func() {
		for _, pair := range pairs {
			c.CutLink(pair[0], pair[1])
		}
	})
	c.At(to, func() {
		for _, pair := range pairs {
			c.HealLink(pair[0], pair[1])
		}
	})
}

// machineLinks are a machine's ways to and from all controllers.
func (c *Cluster) machineLinks(machine *Machine) (pairs [][2]string) {
	for _, name := range c.controllerNames {
		pairs = append(pairs, [2]string{machine.Address(), c.apiAddress(name)}, [2]string{machine.Address(), c.address(name)})
	}
	return pairs
}

func stringPointer(s string) *string { return &s }

// All shapes on a quiet day; machines are rented for what finds no room.
func TestFaultFreeOperation(t *testing.T) {
	cluster := playTraced(t, "normal", 1, 120, func(cluster *Cluster) {
		addMachines(cluster, 6, 1)
		cluster.Cloud.Capacity["small/a/true"] = 3
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 12, 1, 10, nil))
		cluster.Submit(6, NewSubmission("wk-2", protocol.ShapeGang, 3, 3, 10, func(submission *protocol.Submission) { yes := true; submission.SingleZone = &yes }))
		cluster.Submit(7, NewSubmission("wk-3", protocol.ShapeService, 2, 1, 0, nil))
		cluster.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 40, 1, 12, nil))
		cluster.Submit(9, NewSubmission("wk-5", protocol.ShapeArray, 1, 40, 12, nil)) // fits no machine
		cluster.Submit(9, NewSubmission("wk-6", protocol.ShapeArray, 8, 1, 6, func(submission *protocol.Submission) { submission.Team = stringPointer("blue") }))
		cluster.Submit(9, NewSubmission("wk-7", protocol.ShapeArray, 1, 1, 6, func(submission *protocol.Submission) { submission.Team = stringPointer("nobody") }))
		cluster.Submit(10, NewSubmission("wk-8", protocol.ShapeArray, 5, 1, 8, func(submission *protocol.Submission) { yes := true; submission.SpreadZones = &yes }))
		cluster.TraceRequest(15, "GET", "/v2/runs/wk-404", nil)
		cluster.TraceRequest(16, "POST", "/v2/runs", map[string]any{"id": "wk-9", "cores": "x"})
		cluster.TraceRequest(90, "POST", "/v2/runs", map[string]any{"id": "wk-1", "cores": "x"}) // a repeat is 200 whatever it holds
		cluster.Cancel(60, "wk-3")
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2", "wk-4", "wk-6", "wk-8")
	expectStatus(t, cluster, protocol.JobCancelled, "wk-3")
	expectStatus(t, cluster, "", "wk-5", "wk-7")
	seen := map[string]bool{}
	for _, name := range cluster.Cloud.RequestIDs {
		if seen[name] {
			t.Errorf("hire name %s was used twice without need", name)
		}
		seen[name] = true
	}
	if len(seen) == 0 {
		t.Error("nothing was rented")
	}
}

// A controller is lost in the middle and returns; its work goes on.
func TestControllerFailsAndReturns(t *testing.T) {
	cluster := playTraced(t, "controller-lost", 2, 90, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 25, nil))
		cluster.At(15, func() { cluster.Controllers["n1"].Crash() })
		cluster.At(18, func() { cluster.Controllers["n1"].Start() })
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
	if n := strings.Count(cluster.TraceText(), "starts wk-1/"); n != 24 {
		t.Errorf("%d starts of 24 tasks: a lost controller cost work", n)
	}
}

// One that does not return is replaced before the leases end.
func TestControllerFailsForGood(t *testing.T) {
	cluster := playTraced(t, "controller-away", 3, 90, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 25, nil))
		cluster.At(12, func() { cluster.Controllers["n0"].Crash() })
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
	if strings.Contains(cluster.TraceText(), "lease over") {
		t.Error("workers lost their leases")
	}
}

// All controllers end at once.
func TestAllControllersCrash(t *testing.T) {
	cluster := playTraced(t, "all-crash", 4, 90, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 25, nil))
		cluster.Submit(5, NewSubmission("wk-2", protocol.ShapeArray, 3, 1, 5, nil))
		cluster.At(20, func() {
			for _, name := range []string{"n0", "n1", "n2"} {
				cluster.Controllers[name].Crash()
			}
		})
		cluster.At(24, func() { cluster.Start() })
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2")
}

// An outage shorter than the grants costs no leases and no tasks.
func TestStateOutage(t *testing.T) {
	cluster := playTraced(t, "state-outage", 5, 90, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 25, nil))
		cluster.At(12, func() { cluster.State.StartOutage(10 * time.Second) })
		cluster.Submit(14, NewSubmission("wk-2", protocol.ShapeArray, 3, 1, 5, nil))
		cluster.Cancel(15, "wk-1")
	})
	expectStatus(t, cluster, protocol.JobCancelled, "wk-1")
	expectStatus(t, cluster, protocol.JobDone, "wk-2")
	if strings.Contains(cluster.TraceText(), "lease over") {
		t.Error("an ordinary outage cost workers their leases")
	}
}

// An owner is cut from the state service; what it sent arrives after another
// has taken its part. Its late writes must fail.
func TestLateTransactions(t *testing.T) {
	playTraced(t, "late-transactions", 6, 150, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		for i, id := range []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6"} {
			cluster.Submit(4+4*float64(i), NewSubmission(id, protocol.ShapeArray, 9, 1, 14, nil))
		}
		cluster.At(13, func() { cluster.CutLink("n0", "state") })
		cluster.Cancel(15, "wk-2")
		cluster.At(45, func() { cluster.HealLink("n0", "state") })
		cluster.At(70, func() { cluster.CutLink("n1", "state") })
		cluster.At(95, func() { cluster.HealLink("n1", "state") })
	})
}

// An owner ends between the launches of a gang's tasks: the one that was launched
// waits for a peer that nobody starts. The next owner starts the gang anew, long
// before gang_wait_s (40 s) is over.
func TestOwnerFailsBetweenGangLaunches(t *testing.T) {
	cluster := playTraced(t, "half-a-gang", 61, 60, func(cluster *Cluster) {
		machines := addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeGang, 2, 4, 10, nil))
		launches := 0
		cluster.OnRequest = func(from, _, path string) {
			if cluster.now < 5*time.Second || !strings.Contains(path, "/orders") {
				return
			}
			if launches++; launches != 2 {
				return
			}
			process := cluster.controllers[from]
			for _, machine := range machines {
				cluster.CutLink(process.name, machine.Address())
			}
			cluster.after(50*time.Millisecond, func() { process.Crash() })
		}
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
	if n := strings.Count(cluster.TraceText(), "starts wk-1/"); n != 3 {
		t.Errorf("%d starts of two tasks, want three: one waited in vain", n)
	}
}

// A machine is silent past its lease: its tasks run again only then, or once
// the cloud has deleted it.
func TestMachineSilentPastItsLease(t *testing.T) {
	cluster := playTraced(t, "silent-worker", 7, 110, func(cluster *Cluster) {
		machines := addMachines(cluster, 4, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 16, 1, 30, nil))
		cluster.cutLinksFor(12, 60, cluster.machineLinks(machines[0]))
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
}

// A hung machine resumes within its lease, with orders that were held back.
func TestHungMachineResumesWithinItsLease(t *testing.T) {
	cluster := playTraced(t, "hung-worker", 8, 110, func(cluster *Cluster) {
		machines := addMachines(cluster, 4, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 16, 1, 30, nil))
		cluster.Submit(8, NewSubmission("wk-2", protocol.ShapeArray, 8, 1, 10, nil))
		cluster.At(7, func() { machines[1].Hung = true })
		cluster.At(16, func() { machines[1].Hung = false })
		cluster.Cancel(12, "wk-2")
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
	expectStatus(t, cluster, protocol.JobCancelled, "wk-2")
}

// A spot notice: what can save is stopped in time and goes on elsewhere.
func TestSpotNotice(t *testing.T) {
	cluster := playTraced(t, "spot-notice", 9, 110, func(cluster *Cluster) {
		machine := cluster.AddMachine("small", "a", true)
		addMachines(cluster, 2, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 12, 1, 40, func(submission *protocol.Submission) {
			m, v := 10.0, 2.0
			submission.CheckpointInterval, submission.CheckpointDuration = &m, &v
		}))
		cluster.At(20, func() { machine.AnnounceEviction(8 * time.Second) })
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
}

// A gang that loses a machine starts again as a whole, under a new attempt.
func TestGangLosesMachine(t *testing.T) {
	cluster := playTraced(t, "gang-loses-machine", 10, 150, func(cluster *Cluster) {
		machines := addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeGang, 2, 4, 30, nil))
		cluster.At(16, func() {
			for _, machine := range machines {
				if on := cluster.MachinesRunning("wk-1"); len(on) > 0 && machine.ID() == on[0] {
					machine.Die()
				}
			}
		})
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
}

// A higher rank makes room by stopping best effort work.
func TestPreemption(t *testing.T) {
	cluster := playTraced(t, "preemption", 11, 120, func(cluster *Cluster) {
		addMachines(cluster, 3, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 12, 1, 60, func(submission *protocol.Submission) {
			m, v := 5.0, 1.0
			submission.CheckpointInterval, submission.CheckpointDuration, submission.Priority = &m, &v, stringPointer("best_effort")
		}))
		cluster.Submit(15, NewSubmission("wk-2", protocol.ShapeGang, 1, 4, 10, func(submission *protocol.Submission) { submission.Priority = stringPointer("high") }))
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-2")
}

// A guest fills all machines with long tasks that save; an array of a higher rank has
// to end within a minute. Found in an incident of the operators: some core was always
// free soon, so nothing was stopped until the array was late, and then one task at a
// time.
func TestPreemptionForArrayDeadline(t *testing.T) {
	cluster := playTraced(t, "room-for-an-array", 18, 120, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 300, func(submission *protocol.Submission) {
			m, v := 10.0, 1.0
			submission.CheckpointInterval, submission.CheckpointDuration, submission.Priority = &m, &v, stringPointer("best_effort")
		}))
		cluster.Submit(20, NewSubmission("wk-2", protocol.ShapeArray, 36, 1, 12, func(submission *protocol.Submission) { due := 60.0; submission.Deadline = &due }))
	})
	if at := cluster.endReportedAt["wk-2"].Seconds(); at == 0 || at > 20+60+3 {
		t.Errorf("the array's user was told its end at %.1f s, want by 80 s and a poll", at)
	}
	if n := len(cluster.MachinesRunning("wk-1")); n == 0 {
		t.Error("the guest has nothing left though the array is over")
	}
}

// A faulty machine is set aside after jobs failed there that run elsewhere.
func TestFaultyMachine(t *testing.T) {
	cluster := playTraced(t, "faulty-machine", 12, 120, func(cluster *Cluster) {
		machines := addMachines(cluster, 4, 0)
		machines[0].Faulty = true
		for i, id := range []string{"wk-1", "wk-2", "wk-3"} {
			cluster.Submit(5+float64(i), NewSubmission(id, protocol.ShapeArray, 8, 1, 8, nil))
		}
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2", "wk-3")
	if !strings.Contains(cluster.TraceText(), "deleted i-001") {
		t.Error("the faulty machine is still there")
	}
}

// Two jobs that were submitted with a mistake fail wherever they are tried, while one
// machine is sick: it is returned, no other is, the jobs are tried ever more rarely,
// and what else there is runs as if they were not there. Found on an operations day,
// on which mistaken jobs had five healthy machines returned.
func TestFailingJobsDoNotCondemnMachines(t *testing.T) {
	cluster := playTraced(t, "mistaken-jobs", 19, 150, func(cluster *Cluster) {
		machines := addMachines(cluster, 8, 0)
		machines[2].Faulty = true
		cluster.FailingJobs = map[string]bool{"wk-1": true, "wk-2": true}
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 40, 1, 20, nil))
		cluster.Submit(6, NewSubmission("wk-2", protocol.ShapeArray, 12, 1, 20, nil))
		for i, id := range []string{"wk-3", "wk-4", "wk-5", "wk-6"} {
			cluster.Submit(7+6*float64(i), NewSubmission(id, protocol.ShapeArray, 16, 1, 8, nil))
		}
		cluster.crashFor(30, 33, "n0", "n1", "n2") // the next owners know what the first had seen
		cluster.Cancel(90, "wk-1")
		cluster.Cancel(90, "wk-2")
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-3", "wk-4", "wk-5", "wk-6")
	expectStatus(t, cluster, protocol.JobCancelled, "wk-1", "wk-2")
	if n := strings.Count(cluster.TraceText(), "deleted i-003"); n != 1 {
		t.Errorf("the sick machine was deleted %d times, want once", n)
	}
	if n := len(cluster.FailedStarts); n > 70 {
		t.Errorf("%d starts failed of 52 tasks of mistaken jobs in 85 s", n)
	}
}

// A gang larger than any part: machines are lent to its part, and it starts
// as a whole though small work keeps all parts busy.
func TestGangAcrossShards(t *testing.T) {
	cluster := playTraced(t, "gang-across-parts", 14, 120, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		for i, id := range []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6"} {
			cluster.Submit(4+6*float64(i), NewSubmission(id, protocol.ShapeArray, 12, 1, 14, nil))
		}
		cluster.Submit(12, NewSubmission("wk-7", protocol.ShapeGang, 5, 4, 10, nil))
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-7", "wk-1", "wk-6")
}

// Two zones cannot reach each other. The parts are owned in the zone of their
// machines, which goes on working; what the other zone accepts runs as well.
func TestZonesPartitioned(t *testing.T) {
	cluster := playTraced(t, "zone-cut", 15, 90, func(cluster *Cluster) {
		var machines []*Machine
		for i := 0; i < 9; i++ {
			machines = append(machines, cluster.AddMachine("small", "b", false))
		}
		pairs := [][2]string{{"n1", "n0"}, {"n1", "n2"}}
		for _, machine := range machines {
			for _, name := range []string{"n0", "n2"} {
				pairs = append(pairs, [2]string{machine.Address(), name}, [2]string{machine.Address(), "api-" + name})
			}
		}
		cluster.Submit(6, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 40, nil))
		cluster.Submit(30, NewSubmission("wk-2", protocol.ShapeArray, 4, 1, 5, nil))
		cluster.cutLinksFor(20, 50, pairs)
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2")
	if strings.Contains(cluster.TraceText(), "lease over") {
		t.Error("workers of the zone that was cut off lost their leases")
	}
	if n := strings.Count(cluster.TraceText(), "starts wk-1/"); n != 24 {
		t.Errorf("%d starts of 24 tasks", n)
	}
}

// All controllers are restarted one after the other; nothing is lost.
func TestRollingRestart(t *testing.T) {
	cluster := playTraced(t, "rolling-restart", 16, 90, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 30, nil))
		cluster.Submit(14, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
		for i, name := range []string{"n0", "n1", "n2"} {
			cluster.At(10+8*float64(i), func() { cluster.Controllers[name].Crash() })
			cluster.At(13+8*float64(i), func() { cluster.Controllers[name].Start() })
		}
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2")
	if n := strings.Count(cluster.TraceText(), "starts wk-1/"); n != 24 {
		t.Errorf("%d starts of 24 tasks: a restart cost work", n)
	}
}

// A team gets its guarantee though another's work of higher rank fills all
// machines; its limit of GPUs holds for all its jobs together.
func TestQuotaGuaranteeAndGPULimit(t *testing.T) {
	cluster := playTraced(t, "guarantee", 17, 120, func(cluster *Cluster) {
		cluster.AddMachine("big", "a", false)
		green := func(submission *protocol.Submission) {
			four := 2.0
			submission.Team, submission.GPUs = stringPointer("green"), &four
		}
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 16, 1, 60, func(submission *protocol.Submission) { submission.Priority = stringPointer("high") }))
		cluster.Submit(15, NewSubmission("wk-2", protocol.ShapeArray, 2, 2, 10, green))
		cluster.Submit(16, NewSubmission("wk-3", protocol.ShapeArray, 2, 2, 10, green))
		cluster.Submit(17, NewSubmission("wk-4", protocol.ShapeGang, 3, 2, 10, green)) // six GPUs: more than the limit
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-2", "wk-3")
	expectStatus(t, cluster, "", "wk-4")
}

// After a restart of all controllers a mistaken job is tried where its tries had been,
// not at once in each part as if for the first time.
func TestFailingJobBackoffSurvivesRestart(t *testing.T) {
	cluster := NewCluster(24)
	cluster.ServeAPI()
	addMachines(cluster, 6, 0)
	cluster.FailingJobs = map[string]bool{"wk-1": true}
	cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 40, 1, 20, nil))
	cluster.Submit(6, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 60, nil))
	cluster.crashFor(40, 42, cluster.controllerNames...)
	before, after := 0, 0
	cluster.At(42, func() { before = len(cluster.FailedStarts) })
	cluster.At(48, func() { after = len(cluster.FailedStarts) })
	cluster.Start()
	cluster.Run(150)
	if before == 0 || after != before {
		t.Errorf("%d failed starts before the restart, %d more soon after it, want none", before, after-before)
	}
	if n := len(cluster.FailedStarts); n == after {
		t.Error("it is tried no more")
	}
	expectStatus(t, cluster, protocol.JobDone, "wk-2")
}
