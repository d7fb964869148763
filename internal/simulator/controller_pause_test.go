package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// A short stop costs nothing: no part changes hands, no task starts again.
func TestBriefControllerPause(t *testing.T) {
	cluster := playTraced(t, "paused-moment", 31, 90, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 30))
		cluster.Submit(14, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5))
		cluster.At(12, func() { cluster.leaderProcess().Pause(3*time.Second, true) })
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2")
	if n := strings.Count(cluster.TraceText(), "starts wk-1/"); n != 24 {
		t.Errorf("%d starts of 24 tasks", n)
	}
}

// One that stands still for longer than its grant: its workers go to the others,
// who see it by that and take its parts before leases end. What it had decided
// comes too late when it wakes.
func TestControllerPausedPastItsLease(t *testing.T) {
	for name, who := range map[string]func(*Cluster) *ControllerProcess{"paused-leader": (*Cluster).leaderProcess, "paused-owner": (*Cluster).nonLeaderOwner} {
		cluster := playTraced(t, name, 32, 120, func(cluster *Cluster) {
			addMachines(cluster, 6, 0)
			cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 40))
			cluster.Submit(14, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5))
			cluster.Cancel(20, "wk-2")
			cluster.At(12, func() { who(cluster).Pause(25*time.Second, true) })
		})
		expectStatus(t, cluster, protocol.JobDone, "wk-1")
		if strings.Contains(cluster.TraceText(), "lease expired") {
			t.Errorf("%s: workers lost their leases", name)
		}
		if n := strings.Count(cluster.TraceText(), "starts wk-1/"); n != 24 {
			t.Errorf("%s: %d starts of 24 tasks", name, n)
		}
	}
}

// It wakes into an outage of the state service that began while it stood still.
func TestControllerResumesDuringStateOutage(t *testing.T) {
	cluster := playTraced(t, "paused-into-outage", 33, 150, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 30))
		cluster.At(12, func() { cluster.leaderProcess().Pause(9*time.Second, false) })
		cluster.At(18, func() { cluster.State.StartOutage(10 * time.Second) })
		cluster.Submit(19, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5))
		cluster.Cancel(20, "wk-1")
	})
	expectStatus(t, cluster, protocol.JobCancelled, "wk-1")
	expectStatus(t, cluster, protocol.JobDone, "wk-2")
}

// All stand still at once, with a rush on its way.
func TestAllControllersPaused(t *testing.T) {
	cluster := playTraced(t, "paused-all", 34, 120, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 30))
		for _, name := range cluster.controllerNames {
			cluster.At(12, func() { cluster.Controllers[name].Pause(7*time.Second, name != "n1") })
		}
		for i := 2; i < 8; i++ {
			cluster.Submit(12+float64(i)/4, NewSubmission(fmt.Sprintf("wk-%d", i), protocol.ShapeArray, 4, 1, 5))
		}
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2", "wk-7")
	if strings.Contains(cluster.TraceText(), "lease expired") {
		t.Error("workers lost their leases")
	}
}

// Frozen at each step: when it makes the n-th request of a kind, before or after
// that has left, as leader or as an owner, for less or more than its grant, and
// waking into an outage or not. No rule breaks and all is done.
func TestControllerPausedAtEachStep(t *testing.T) {
	if testing.Short() {
		t.Skip("some seconds")
	}
	steps := []struct{ name, part string }{
		{"a write", "/multi"}, {"a launch", "/orders"}, {"a renewal", "/touch"}, {"a proof", "/changes"}, {"a rental", "/rentals"}, {"an answer", ""},
	}
	for i, step := range steps {
		for variant := 0; variant < 24; variant++ {
			holds, leads, outage := variant&1 > 0, variant&2 > 0, variant&4 > 0
			// Less than others wait; less than its grant, which others need not
			// wait for; more than both.
			duration := []time.Duration{4 * time.Second, 11 * time.Second, 22 * time.Second}[variant/8]
			if step.part == "/rentals" && !leads {
				continue // others rent nothing
			}
			name := fmt.Sprintf("%s, for %v, held %v, leader %v, outage %v", step.name, duration, holds, leads, outage)
			cluster := NewCluster(uint64(100 + 24*i + variant))
			cluster.ServeAPI()
			machines := addMachines(cluster, 5, 0)
			cluster.Cloud.Capacity[Offer{"small", "a", false}] = 3
			cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 20, 1, 20))
			cluster.Submit(8.5, NewSubmission("wk-2", protocol.ShapeGang, 2, 2, 10))
			cluster.Submit(9, NewSubmission("wk-3", protocol.ShapeArray, 30, 1, 8))
			cluster.Submit(9.5, NewSubmission("wk-4", protocol.ShapeArray, 4, 1, 8))
			cluster.Cancel(12, "wk-4")
			var who *ControllerProcess
			done := false
			freeze := func() {
				done = true
				who.Pause(duration, holds)
				if outage {
					cluster.after(duration-2*time.Second, func() { cluster.State.StartOutage(6 * time.Second) })
				}
			}
			cluster.At(9, func() {
				who = cluster.nonLeaderOwner()
				if leads {
					who = cluster.leaderProcess()
				}
				// One machine reaches only this controller, which could thus go
				// on answering it when others have taken its part; and the cloud
				// deletes nothing, so that leases alone prove what is gone.
				for _, name := range cluster.controllerNames {
					if step.part != "/rentals" {
						cluster.CutLink(name, "cloud")
					}
					if name != who.name {
						cluster.CutLink(machines[0].Address(), name)
						cluster.CutLink(machines[0].Address(), cluster.apiAddress(name))
					}
				}
				if step.part == "" { // whatever it answers at that moment
					cluster.after(time.Duration(variant)*37*time.Millisecond, freeze)
				}
			})
			cluster.OnRequest = func(from, _, path string) {
				if who != nil && !done && step.part != "" && from == cluster.address(who.name) && strings.Contains(path, step.part) {
					freeze()
				}
			}
			cluster.Start()
			cluster.Run(150)
			for _, violation := range cluster.Violations {
				t.Errorf("%s: rule broken: %s", name, violation)
			}
			if !done {
				t.Errorf("%s: the step never came", name)
			}
			for _, id := range []string{"wk-1", "wk-2", "wk-3"} {
				if got := cluster.ReportedStatus(id); got != protocol.JobDone {
					t.Errorf("%s: %s is %q", name, id, got)
				}
			}
			if got := cluster.ReportedStatus("wk-4"); got != protocol.JobCancelled && got != protocol.JobDone {
				t.Errorf("%s: wk-4 is %q, was to be cancelled", name, got)
			}
		}
	}
}
