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
	s := playTraced(t, "peers-refused", 21, 90, func(s *Cluster) {
		addMachines(s, 6, 0)
		s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 30, nil))
		s.Submit(20, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
		pairs := [][2]string{{"n0", "n1"}, {"n0", "n2"}, {"n1", "n2"}}
		s.cutLinksFor(12, 42, pairs)
	})
	expectStatus(t, s, protocol.JobDone, "wk-1", "wk-2")
	if n := strings.Count(s.TraceText(), "starts wk-1/"); n != 24 {
		t.Errorf("%d starts of 24 tasks", n)
	}
}

// The state service refuses one controller alone: it answers its workers until
// its grant could be over, others take its parts before leases end.
func TestControllerRefusedByStateService(t *testing.T) {
	s := playTraced(t, "refused-alone", 22, 110, func(s *Cluster) {
		addMachines(s, 6, 0)
		s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 50, nil))
		s.Submit(20, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
		s.At(12, func() { s.SetRefusal("n1", "state", true) })
		s.At(52, func() { s.SetRefusal("n1", "state", false) })
	})
	expectStatus(t, s, protocol.JobDone, "wk-1", "wk-2")
	if strings.Contains(s.TraceText(), "lease over") {
		t.Error("workers lost their leases")
	}
}

// A zone is cut off from everything for two minutes, with a controller in it:
// what ran there runs again elsewhere only when its leases have ended.
func TestZonePartitionedFromEverything(t *testing.T) {
	s := playTraced(t, "zone-cut-off", 23, 200, func(s *Cluster) {
		addMachines(s, 6, 0)
		s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 25, nil))
		s.Submit(30, NewSubmission("wk-2", protocol.ShapeArray, 6, 1, 5, nil))
		s.At(12, func() {
			heal := s.PartitionZone("b")
			s.At(132, heal)
		})
	})
	expectStatus(t, s, protocol.JobDone, "wk-1", "wk-2")
}

// A quarter of the machines hang, as many are cut off, as many fail every task.
func TestManyMachinesFail(t *testing.T) {
	s := playTraced(t, "many-machines", 24, 200, func(s *Cluster) {
		w := addMachines(s, 12, 0)
		s.Cloud.Capacity["small/a/false"] = 4
		s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 48, 1, 15, nil))
		s.Submit(16, NewSubmission("wk-2", protocol.ShapeArray, 24, 1, 10, nil))
		s.Submit(18, NewSubmission("wk-3", protocol.ShapeArray, 24, 1, 10, nil))
		for at, on := range map[float64]bool{12: true, 50: false} {
			s.At(at, func() {
				for i := 0; i < 3; i++ {
					w[i].Hung, w[3+i].Faulty = on, on
				}
			})
		}
		for _, x := range w[6:9] {
			s.cutLinksFor(12, 50, s.machineLinks(x))
		}
	})
	expectStatus(t, s, protocol.JobDone, "wk-1", "wk-2", "wk-3")
}

// Spot machines are taken in a wave, half of them without a word.
func TestSpotEvictionWave(t *testing.T) {
	s := playTraced(t, "spot-wave", 25, 200, func(s *Cluster) {
		var w []*Machine
		for i := 0; i < 6; i++ {
			w = append(w, s.AddMachine("small", []string{"a", "b"}[i%2], true))
		}
		addMachines(s, 3, 0)
		s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 36, 1, 30, func(x *protocol.Submission) { m, v := 10.0, 2.0; x.CheckpointInterval, x.CheckpointDuration = &m, &v }))
		for i, x := range w {
			s.At(20+float64(i), func() {
				if i%2 == 0 {
					x.AnnounceEviction(8 * time.Second)
				} else {
					x.Die()
				}
			})
		}
	})
	expectStatus(t, s, protocol.JobDone, "wk-1")
}

// All controllers end just after an outage of the state service began, with a
// gang in its start and an abort on its way.
func TestControllersCrashDuringStateOutage(t *testing.T) {
	s := playTraced(t, "crash-in-outage", 26, 120, func(s *Cluster) {
		addMachines(s, 6, 0)
		s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 12, 1, 40, nil))
		s.Submit(11.8, NewSubmission("wk-2", protocol.ShapeGang, 2, 3, 10, nil))
		s.At(12, func() { s.State.StartOutage(12 * time.Second) })
		s.Cancel(13, "wk-1")
		s.At(20, func() {
			for _, n := range s.controllerNames {
				s.Controllers[n].Crash()
			}
		})
		s.At(23, func() { s.Start() })
	})
	expectStatus(t, s, protocol.JobCancelled, "wk-1")
	expectStatus(t, s, protocol.JobDone, "wk-2")
}

// A day with hundreds of machines: arrays of up to 2,500 tasks, gangs, a
// controller that ends, machines that die. Nothing runs twice, nothing that was
// accepted is lost, and the limits of the state service and the cloud hold.
func TestHundredsOfMachines(t *testing.T) {
	s := NewClusterOf(27, 5)
	for _, n := range s.controllerNames { // the tighter of the grown deployments' limits
		d := &s.Controllers[n].settings.Deployment
		d.Workers.Report, d.Workers.Lease, d.Workers.Cancel = 4, 26, 51
		d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 100, 30, 8, 24
		d.Limits.Sockets = 2500
	}
	s.State, s.Cloud = newStateService(s), newCloud(s)
	s.ServeAPI()
	w := addMachines(s, 500, 40)
	s.Cloud.Capacity["small/a/true"] = 60
	ids := []string{"wk-0"}
	s.Submit(8, NewSubmission("wk-0", protocol.ShapeArray, 2500, 1, 20, nil))
	for i := 1; i <= 12; i++ {
		id := fmt.Sprintf("wk-%d", i)
		ids = append(ids, id)
		s.Submit(10+5*float64(i), NewSubmission(id, protocol.ShapeArray, 60+20*i, 1, 20, nil))
	}
	for i := 20; i < 24; i++ {
		id := fmt.Sprintf("wk-%d", i)
		ids = append(ids, id)
		s.Submit(3*float64(i), NewSubmission(id, protocol.ShapeGang, 8, 15, 25, func(x *protocol.Submission) { yes := true; x.SingleZone = &yes }))
	}
	s.At(30, func() { s.Controllers["n2"].Crash() })
	s.At(33, func() { s.Controllers["n2"].Start() })
	s.At(40, func() {
		for _, x := range w[:20] {
			x.Die()
		}
	})
	s.Start()
	s.Run(200)
	for _, b := range s.Violations {
		t.Errorf("rule broken: %s", b)
	}
	expectStatus(t, s, protocol.JobDone, ids...)
	seconds := 200.0
	for _, b := range []struct {
		what string
		rateLimit
	}{{"requests to the state service", s.State.requestLimit}, {"changes", s.State.writeLimit}, {"calls of the cloud", s.Cloud.callLimit}} {
		if b.Refused > b.Used/100 || float64(b.Used) > seconds*b.perSecond*0.8 {
			t.Errorf("%s: %d were taken and %d refused in %v s with %v a second", b.what, b.Used, b.Refused, seconds, b.perSecond)
		}
		t.Logf("%s: %.1f of %v a second, %d refused", b.what, float64(b.Used)/seconds, b.perSecond, b.Refused)
	}
}

// A gang of one zone, of more than one task, makes room by stopping best
// effort work in the zone where that costs least.
func TestGangPreemptsInOneZone(t *testing.T) {
	s := playTraced(t, "gang-preempts", 28, 120, func(s *Cluster) {
		addMachines(s, 6, 0)
		s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 60, func(x *protocol.Submission) {
			m, v := 5.0, 1.0
			x.CheckpointInterval, x.CheckpointDuration, x.Priority = &m, &v, stringPointer("best_effort")
		}))
		s.Submit(15, NewSubmission("wk-2", protocol.ShapeGang, 2, 4, 10, func(x *protocol.Submission) { yes := true; x.Priority, x.SingleZone = stringPointer("high"), &yes }))
	})
	expectStatus(t, s, protocol.JobDone, "wk-2")
}

// A gang that is to start within 10 s waits for work whose estimates say that it
// ends sooner than it does: others are stopped, and have saved, before it is
// late, not once it is.
func TestGangPreemptsBeforeItIsLate(t *testing.T) {
	s := playTraced(t, "gang-in-time", 29, 90, func(s *Cluster) {
		for _, n := range s.controllerNames {
			s.Controllers[n].settings.Deployment.Objectives = []settings.Objective{{Kind: "wait", Class: "gang", Within: 10, Share: 0.9}}
		}
		addMachines(s, 6, 0)
		s.RuntimeFactors = map[string]float64{"class": 6}
		s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 24, 1, 10, func(x *protocol.Submission) { // would end at 16, and does not
			m, v := 5.0, 2.0
			x.CheckpointInterval, x.CheckpointDuration, x.Priority = &m, &v, stringPointer("best_effort")
		}))
		s.Submit(11, NewSubmission("wk-9", protocol.ShapeGang, 2, 4, 10, func(x *protocol.Submission) { x.Class = stringPointer("gang") }))
	})
	expectStatus(t, s, protocol.JobDone, "wk-9")
	var submitted, runs float64
	for _, l := range s.TraceLines {
		at := strings.Fields(l)[0]
		if strings.HasSuffix(l, "wk-9 accepted") {
			fmt.Sscan(at, &submitted)
		}
		if strings.Contains(l, "gang wk-9 runs") {
			fmt.Sscan(at, &runs)
		}
	}
	if runs == 0 || runs-submitted > 10 {
		t.Errorf("submitted at %v, ran at %v: want within 10 s", submitted, runs)
	}
}
