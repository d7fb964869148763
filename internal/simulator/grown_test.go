package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// The troubles that came with the grown deployments, at a size to read.

// Controllers refuse each other's connections: what one accepts reaches the
// owners through the state service, and nobody takes a part away.
func TestControllersPartitionedFromEachOther(t *testing.T) {
	cluster := playTraced(t, "peers-refused", 21, 90, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 30, nil))
		cluster.Submit(20, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
		pairs := [][2]string{{"n0", "n1"}, {"n0", "n2"}, {"n1", "n2"}}
		cluster.cutLinksFor(12, 42, pairs)
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2")
	if n := strings.Count(cluster.TraceText(), "starts wk-1/"); n != 24 {
		t.Errorf("%d starts of 24 tasks", n)
	}
}

// The state service refuses one controller alone: it answers its workers until
// its grant could be over, others take its parts before leases end.
func TestControllerRefusedByStateService(t *testing.T) {
	cluster := playTraced(t, "refused-alone", 22, 110, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 50, nil))
		cluster.Submit(20, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
		cluster.At(12, func() { cluster.SetRefusal("n1", "state", true) })
		cluster.At(52, func() { cluster.SetRefusal("n1", "state", false) })
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2")
	if strings.Contains(cluster.TraceText(), "lease over") {
		t.Error("workers lost their leases")
	}
}

// A zone is cut off from everything for two minutes, with a controller in it:
// what ran there runs again elsewhere only when its leases have ended.
func TestZonePartitionedFromEverything(t *testing.T) {
	cluster := playTraced(t, "zone-cut-off", 23, 200, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 25, nil))
		cluster.Submit(30, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
		cluster.At(12, func() {
			heal := cluster.PartitionZone("b")
			cluster.At(132, heal)
		})
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2")
}

// A quarter of the machines hang, as many are cut off, as many fail every task.
func TestManyMachinesFail(t *testing.T) {
	cluster := playTraced(t, "many-machines", 24, 200, func(cluster *Cluster) {
		machines := addMachines(cluster, 12, 0)
		cluster.Cloud.Capacity["small/a/false"] = 4
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 48, 1, 15, nil))
		cluster.Submit(16, NewSubmission("wk-2", protocol.ShapeArray, 24, 1, 10, nil))
		cluster.Submit(18, NewSubmission("wk-3", protocol.ShapeArray, 24, 1, 10, nil))
		for at, on := range map[float64]bool{12: true, 50: false} {
			cluster.At(at, func() {
				for i := 0; i < 3; i++ {
					machines[i].Hung, machines[3+i].Faulty = on, on
				}
			})
		}
		for _, machine := range machines[6:9] {
			cluster.cutLinksFor(12, 50, cluster.machineLinks(machine))
		}
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2", "wk-3")
}

// Spot machines are taken in a wave, half of them without a word.
func TestSpotEvictionWave(t *testing.T) {
	cluster := playTraced(t, "spot-wave", 25, 200, func(cluster *Cluster) {
		var machines []*Machine
		for i := 0; i < 6; i++ {
			machines = append(machines, cluster.AddMachine("small", []string{"a", "b"}[i%2], true))
		}
		addMachines(cluster, 3, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 36, 1, 30, func(submission *protocol.Submission) {
			m, v := 10.0, 2.0
			submission.CheckpointInterval, submission.CheckpointDuration = &m, &v
		}))
		for i, machine := range machines {
			cluster.At(20+float64(i), func() {
				if i%2 == 0 {
					machine.AnnounceEviction(8 * time.Second)
				} else {
					machine.Die()
				}
			})
		}
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-1")
}

// All controllers end just after an outage of the state service began, with a
// gang in its start and an abort on its way.
func TestControllersCrashDuringStateOutage(t *testing.T) {
	cluster := playTraced(t, "crash-in-outage", 26, 120, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 12, 1, 40, nil))
		cluster.Submit(11.8, NewSubmission("wk-2", protocol.ShapeGang, 2, 3, 10, nil))
		cluster.At(12, func() { cluster.State.StartOutage(12 * time.Second) })
		cluster.Cancel(13, "wk-1")
		cluster.At(20, func() {
			for _, name := range cluster.controllerNames {
				cluster.Controllers[name].Crash()
			}
		})
		cluster.At(23, func() { cluster.Start() })
	})
	expectStatus(t, cluster, protocol.JobCancelled, "wk-1")
	expectStatus(t, cluster, protocol.JobDone, "wk-2")
}

// A day with hundreds of machines: arrays of up to 2,500 tasks, gangs, a
// controller that ends, machines that die. Nothing runs twice, nothing that was
// accepted is lost, and the limits of the state service and the cloud hold.
func TestHundredsOfMachines(t *testing.T) {
	cluster := NewClusterOf(27, 5)
	for _, name := range cluster.controllerNames { // the tighter of the grown deployments' limits
		d := &cluster.Controllers[name].settings.Deployment
		d.Workers.Report, d.Workers.Lease, d.Workers.Cancel = 4, 26, 51
		d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 100, 30, 8, 24
		d.Limits.Sockets = 2500
	}
	cluster.State, cluster.Cloud = newStateService(cluster), newCloud(cluster)
	cluster.ServeAPI()
	machines := addMachines(cluster, 500, 40)
	cluster.Cloud.Capacity["small/a/true"] = 60
	ids := []string{"wk-0"}
	cluster.Submit(8, NewSubmission("wk-0", protocol.ShapeArray, 2500, 1, 20, nil))
	for i := 1; i <= 12; i++ {
		id := fmt.Sprintf("wk-%d", i)
		ids = append(ids, id)
		cluster.Submit(10+5*float64(i), NewSubmission(id, protocol.ShapeArray, 60+20*i, 1, 20, nil))
	}
	for i := 20; i < 24; i++ {
		id := fmt.Sprintf("wk-%d", i)
		ids = append(ids, id)
		cluster.Submit(3*float64(i), NewSubmission(id, protocol.ShapeGang, 8, 15, 25, func(submission *protocol.Submission) { yes := true; submission.SingleZone = &yes }))
	}
	cluster.At(30, func() { cluster.Controllers["n2"].Crash() })
	cluster.At(33, func() { cluster.Controllers["n2"].Start() })
	cluster.At(40, func() {
		for _, machine := range machines[:20] {
			machine.Die()
		}
	})
	cluster.Start()
	cluster.Run(200)
	for _, violation := range cluster.Violations {
		t.Errorf("rule broken: %s", violation)
	}
	expectStatus(t, cluster, protocol.JobDone, ids...)
	seconds := 200.0
	for _, b := range []struct {
		what string
		rateLimit
	}{{"requests to the state service", cluster.State.requestLimit}, {"changes", cluster.State.writeLimit}, {"calls of the cloud", cluster.Cloud.callLimit}} {
		if b.Refused > b.Used/100 || float64(b.Used) > seconds*b.perSecond*0.8 {
			t.Errorf("%s: %d were taken and %d refused in %v s with %v a second", b.what, b.Used, b.Refused, seconds, b.perSecond)
		}
		t.Logf("%s: %.1f of %v a second, %d refused", b.what, float64(b.Used)/seconds, b.perSecond, b.Refused)
	}
}

// A gang of one zone, of more than one task, makes room by stopping best
// effort work in the zone where that costs least.
func TestGangPreemptsInOneZone(t *testing.T) {
	cluster := playTraced(t, "gang-preempts", 28, 120, func(cluster *Cluster) {
		addMachines(cluster, 6, 0)
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 60, func(submission *protocol.Submission) {
			m, v := 5.0, 1.0
			submission.CheckpointInterval, submission.CheckpointDuration, submission.Priority = &m, &v, stringPointer("best_effort")
		}))
		cluster.Submit(15, NewSubmission("wk-2", protocol.ShapeGang, 2, 4, 10, func(submission *protocol.Submission) {
			yes := true
			submission.Priority, submission.SingleZone = stringPointer("high"), &yes
		}))
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-2")
}

// A gang that is to start within 10 s waits for work whose estimates say that it
// ends sooner than it does: others are stopped, and have saved, before it is
// late, not once it is.
func TestGangPreemptsBeforeItIsLate(t *testing.T) {
	cluster := playTraced(t, "gang-in-time", 29, 90, func(cluster *Cluster) {
		for _, name := range cluster.controllerNames {
			cluster.Controllers[name].settings.Deployment.Objectives = []settings.Objective{{Kind: "wait", Class: "gang", Within: 10, Share: 0.9}}
		}
		addMachines(cluster, 6, 0)
		cluster.RuntimeFactors = map[string]float64{"class": 6}
		cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 10, func(submission *protocol.Submission) { // would end at 16, and does not
			m, v := 5.0, 2.0
			submission.CheckpointInterval, submission.CheckpointDuration, submission.Priority = &m, &v, stringPointer("best_effort")
		}))
		cluster.Submit(11, NewSubmission("wk-9", protocol.ShapeGang, 2, 4, 10, func(submission *protocol.Submission) { submission.Class = stringPointer("gang") }))
	})
	expectStatus(t, cluster, protocol.JobDone, "wk-9")
	var submitted, runs float64
	for _, line := range cluster.TraceLines {
		at := strings.Fields(line)[0]
		if strings.HasSuffix(line, "wk-9 accepted") {
			fmt.Sscan(at, &submitted)
		}
		if strings.Contains(line, "gang wk-9 runs") {
			fmt.Sscan(at, &runs)
		}
	}
	if runs == 0 || runs-submitted > 10 {
		t.Errorf("submitted at %v, ran at %v: want within 10 s", submitted, runs)
	}
}
