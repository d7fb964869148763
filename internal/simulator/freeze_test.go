package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// A controller stands still while its clocks run on. When it goes on, its
// grant, timers, half-made decisions, open requests and queued messages are all
// old at once. The rule (docs/recovery.md): nothing that was decided before may
// take effect on its own word; whoever is asked (the state service by the
// owner's stamp, a worker by token and session, a user by a proof asked for
// after the question) refuses what is old.

// leaderProcess is the controller that leads, as the first that is up sees it; n0 if none does.
func (c *Cluster) leaderProcess() *ControllerProcess {
	for _, name := range c.runningControllers() {
		if process := c.Controllers[c.Controllers[name].Controller.DebugState().Leader]; process != nil {
			return process
		}
	}
	return c.Controllers["n0"]
}

// nonLeaderOwner is a controller that owns a part and does not lead.
func (c *Cluster) nonLeaderOwner() *ControllerProcess {
	for _, name := range c.runningControllers() {
		if process := c.Controllers[name]; process != c.leaderProcess() && len(process.Controller.DebugState().Shards) > 0 {
			return process
		}
	}
	return c.leaderProcess()
}

// A short stop costs nothing: no part changes hands, no task starts again.
func TestBriefControllerPause(t *testing.T) {
	cluster := playTraced(t, "frozen-moment", 31, 90, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 30, nil))
		cluster.Submit(14, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
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
	for name, who := range map[string]func(*Cluster) *ControllerProcess{"frozen-leader": (*Cluster).leaderProcess, "frozen-owner": (*Cluster).nonLeaderOwner} {
		cluster := playTraced(t, name, 32, 120, func(cluster *Cluster) {
			addMachines(cluster, 6, 0)
			cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 40, nil))
			cluster.Submit(14, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
			cluster.Cancel(20, "wk-2")
			cluster.At(12, func() { who(cluster).Pause(25*time.Second, true) })
		})
		expectStatus(t, cluster, protocol.JobDone, "wk-1")
		if strings.Contains(cluster.TraceText(), "lease over") {
			t.Errorf("%s: workers lost their leases", name)
		}
		if n := strings.Count(cluster.TraceText(), "starts wk-1/"); n != 24 {
			t.Errorf("%s: %d starts of 24 tasks", name, n)
		}
	}
}

// It wakes into an outage of the state service that began while it stood still.
func TestControllerResumesDuringStateOutage(t *testing.T) {
	cluster := playTraced(t, "frozen-into-outage", 33, 150, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 30, nil))
		cluster.At(12, func() { cluster.leaderProcess().Pause(9*time.Second, false) })
		cluster.At(18, func() { cluster.State.StartOutage(10 * time.Second) })
		cluster.Submit(19, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
		cluster.Cancel(20, "wk-1")
	})
	expectStatus(t, cluster, protocol.JobCancelled, "wk-1")
	expectStatus(t, cluster, protocol.JobDone, "wk-2")
}

// All stand still at once, with a rush on its way.
func TestAllControllersPaused(t *testing.T) {
	cluster := playTraced(t, "frozen-all", 34, 120, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 30, nil))
		for _, name := range cluster.controllerNames {
			cluster.At(12, func() { cluster.Controllers[name].Pause(7*time.Second, name != "n1") })
		}
		for i := 2; i < 8; i++ {
			cluster.Submit(12+float64(i)/4, NewSubmission(fmt.Sprintf("wk-%d", i), protocol.ShapeArray, 4, 1, 5, nil))
		}
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2", "wk-7")
	if strings.Contains(cluster.TraceText(), "lease over") {
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
			cluster.Cloud.Capacity["small/a/false"] = 3
			cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 20, 1, 20, nil))
			cluster.Submit(8.5, NewSubmission("wk-2", protocol.ShapeGang, 2, 2, 10, nil))
			cluster.Submit(9, NewSubmission("wk-3", protocol.ShapeArray, 30, 1, 8, nil))
			cluster.Submit(9.5, NewSubmission("wk-4", protocol.ShapeArray, 4, 1, 8, nil))
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

// A controller loses only its workers: it is well in all other eyes. It gives
// its parts up because others hear its machines, and none of them loses its
// lease.
func TestOwnerPartitionedFromMachines(t *testing.T) {
	cluster := playTraced(t, "deaf-owner", 35, 150, func(cluster *Cluster) {
		machines := addMachines(cluster, 9, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 36, 1, 60, nil))
		var pairs [][2]string
		for _, machine := range machines {
			pairs = append(pairs, [2]string{machine.Address(), "n1"}, [2]string{machine.Address(), "api-n1"})
		}
		cluster.cutLinksFor(14, 60, pairs)
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
	if strings.Contains(cluster.TraceText(), "lease over") {
		t.Error("workers lost their leases")
	}
	if n := strings.Count(cluster.TraceText(), "starts wk-1/"); n != 36 {
		t.Errorf("%d starts of 36 tasks", n)
	}
}

// In an outage of the state service no controller tells the load balancer to
// send users elsewhere; one that the service refuses alone does.
func TestHealthCheckDuringStateOutage(t *testing.T) {
	for _, alone := range []bool{false, true} {
		cluster := NewCluster(36)
		cluster.ServeAPI()
		addMachines(cluster, 6, 0)
		for i := 0; i < 20; i++ {
			cluster.Submit(5+float64(i), NewSubmission(fmt.Sprintf("wk-%d", i), protocol.ShapeArray, 4, 1, 20, nil))
		}
		cluster.At(12, func() {
			if alone {
				cluster.SetRefusal("n1", "state", true)
			} else {
				cluster.State.StartOutage(8 * time.Second)
			}
		})
		down := map[string]int{}
		for at := 12.0; at < 20; at += 0.25 {
			cluster.At(at, func() {
				for _, name := range cluster.controllerNames {
					if !cluster.Controllers[name].Controller.IsHealthy() {
						down[name]++
					}
				}
			})
		}
		cluster.Start()
		cluster.Run(20)
		if alone && (down["n1"] < 24 || down["n0"]+down["n2"] > 0) {
			t.Errorf("refused alone: not up, in quarters of a second: %v, want only n1, nearly always", down)
		}
		if !alone && len(down) > 0 {
			t.Errorf("in an outage for all: not up, in quarters of a second: %v", down)
		}
	}
}

// A zone is cut off with an owner in it, which goes on answering the machines
// there for as long as its grant may last. Who took its part from it ends and
// comes back meanwhile, and takes the part back as its own: it must still wait
// for that grant before it counts the machines' leases.
func TestNewOwnerFailsWhileOldOwnerAnswers(t *testing.T) {
	for after := 6.0; after <= 14; after++ {
		cluster := NewCluster(40 + uint64(after))
		cluster.ServeAPI()
		addMachines(cluster, 12, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 70, nil))
		cluster.At(12, func() {
			heal := cluster.PartitionZone("b") // n1 is there
			cluster.At(52, heal)
		})
		for _, name := range []string{"n0", "n2"} {
			cluster.At(12+after, func() { cluster.Controllers[name].Crash() })
			cluster.At(14+after, func() { cluster.Controllers[name].Start() })
		}
		cluster.Start()
		cluster.Run(200)
		for _, violation := range cluster.Violations {
			t.Errorf("back %v s after the cut: rule broken: %s", after+2, violation)
		}
		expectStatus(t, cluster, protocol.JobDone, "wk-1")
	}
}

// The same with times of day that are as far apart as the settings allow, here by
// seconds. Who took the part, with a clock that is behind, ends for longer; another, whose
// clock is ahead, takes it when its key is gone: by its clock the old owner's time is over.
func TestNewOwnerFailsWithClockSkew(t *testing.T) {
	for after := 5.0; after <= 14; after += 1.5 {
		for _, off := range []float64{-2.5, 2.5} {
			cluster := NewCluster(1400 + uint64(2*after))
			cluster.ServeAPI()
			addMachines(cluster, 12, 0)
			for i, name := range cluster.controllerNames {
				cluster.Controllers[name].settings.Deployment.SkewMs = 2500
				cluster.Controllers[name].ClockOffset = []float64{off, 0, -off}[i]
			}
			cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 70, nil))
			cluster.At(12, func() { cluster.At(52, cluster.PartitionZone("b")) }) // n1 is there
			cluster.crashFor(12+after, 60, "n0")
			cluster.restartQuickly(13+after, 2.5, func() *ControllerProcess { return cluster.Controllers["n2"] })
			cluster.Start()
			cluster.Run(220)
			for _, violation := range cluster.Violations {
				t.Errorf("n0 ends %v s after the cut, %v s ahead: rule broken: %s", after, off, violation)
			}
			expectStatus(t, cluster, protocol.JobDone, "wk-1")
		}
	}
}

// The state service refuses one controller alone, and then everybody for a
// while. When it is back for the others, they know from what that one says of
// itself that it still is not answered, and take its part within lease_s/4 of the
// outage's end rather than after as long as one that is not heard.
func TestRefusedControllerThroughStateOutage(t *testing.T) {
	cluster := NewCluster(37)
	cluster.ServeAPI()
	addMachines(cluster, 6, 0)
	cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 30, nil))
	cluster.At(11, func() { cluster.SetRefusal("n1", "state", true) })
	cluster.At(14, func() { cluster.State.StartOutage(8 * time.Second) })
	cluster.At(60, func() { cluster.SetRefusal("n1", "state", false) })
	cluster.Submit(16, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
	owned := 0
	cluster.At(22+14.0/4, func() {
		for _, name := range []string{"n0", "n2"} {
			owned += len(cluster.Controllers[name].Controller.DebugState().Shards)
		}
	})
	cluster.Start()
	cluster.Run(120)
	for _, violation := range cluster.Violations {
		t.Errorf("rule broken: %s", violation)
	}
	if owned != 3 {
		t.Errorf("a quarter of a lease after the outage the others own %d of 3 parts", owned)
	}
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2")
}
