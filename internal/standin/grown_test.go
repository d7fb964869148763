package standin

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

// The troubles that came with the grown deployments, at a size to read.

// Controllers refuse each other's connections: what one accepts reaches the
// owners through the state service, and nobody takes a part away.
func TestPeersRefused(t *testing.T) {
	s := day(t, "peers-refused", 21, 90, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 30, nil))
		s.Submit(20, Spec("wk-2", wire.Array, 6, 1, 5, nil))
		pairs := [][2]string{{"n0", "n1"}, {"n0", "n2"}, {"n1", "n2"}}
		s.cutFor(12, 42, pairs)
	})
	told(t, s, wire.Done, "wk-1", "wk-2")
	if n := strings.Count(s.Text(), "starts wk-1/"); n != 24 {
		t.Errorf("%d starts of 24 tasks", n)
	}
}

// The state service refuses one controller alone: it answers its workers until
// its grant could be over, others take its parts before leases end.
func TestRefusedAlone(t *testing.T) {
	s := day(t, "refused-alone", 22, 110, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 50, nil))
		s.Submit(20, Spec("wk-2", wire.Array, 6, 1, 5, nil))
		s.At(12, func() { s.Refuse("n1", "state", true) })
		s.At(52, func() { s.Refuse("n1", "state", false) })
	})
	told(t, s, wire.Done, "wk-1", "wk-2")
	if strings.Contains(s.Text(), "lease over") {
		t.Error("workers lost their leases")
	}
}

// A zone is cut off from everything for two minutes, with a controller in it:
// what ran there runs again elsewhere only when its leases have ended.
func TestZoneCutOff(t *testing.T) {
	s := day(t, "zone-cut-off", 23, 200, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 25, nil))
		s.Submit(30, Spec("wk-2", wire.Array, 6, 1, 5, nil))
		s.At(12, func() {
			heal := s.CutZone("b")
			s.At(132, heal)
		})
	})
	told(t, s, wire.Done, "wk-1", "wk-2")
}

// A quarter of the machines hang, as many are cut off, as many fail every task.
func TestManyMachinesInTrouble(t *testing.T) {
	s := day(t, "many-machines", 24, 200, func(s *Sim) {
		w := fleet(s, 12, 0)
		s.Cloud.Left["small/a/false"] = 4
		s.Submit(5, Spec("wk-1", wire.Array, 48, 1, 15, nil))
		s.Submit(16, Spec("wk-2", wire.Array, 24, 1, 10, nil))
		s.Submit(18, Spec("wk-3", wire.Array, 24, 1, 10, nil))
		for at, on := range map[float64]bool{12: true, 50: false} {
			s.At(at, func() {
				for i := 0; i < 3; i++ {
					w[i].Hung, w[3+i].Faulty = on, on
				}
			})
		}
		for _, x := range w[6:9] {
			s.cutFor(12, 50, s.links(x))
		}
	})
	told(t, s, wire.Done, "wk-1", "wk-2", "wk-3")
}

// Spot machines are taken in a wave, half of them without a word.
func TestSpotWave(t *testing.T) {
	s := day(t, "spot-wave", 25, 200, func(s *Sim) {
		var w []*Worker
		for i := 0; i < 6; i++ {
			w = append(w, s.AddWorker("small", []string{"a", "b"}[i%2], true))
		}
		fleet(s, 3, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 36, 1, 30, func(x *wire.Submission) { m, v := 10.0, 2.0; x.Mark, x.Stow = &m, &v }))
		for i, x := range w {
			s.At(20+float64(i), func() {
				if i%2 == 0 {
					x.Notice(8 * time.Second)
				} else {
					x.Die()
				}
			})
		}
	})
	told(t, s, wire.Done, "wk-1")
}

// All controllers end just after an outage of the state service began, with a
// gang in its start and an abort on its way.
func TestCrashInOutage(t *testing.T) {
	s := day(t, "crash-in-outage", 26, 120, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 12, 1, 40, nil))
		s.Submit(11.8, Spec("wk-2", wire.Gang, 2, 3, 10, nil))
		s.At(12, func() { s.State.Outage(12 * time.Second) })
		s.Abort(13, "wk-1")
		s.At(20, func() {
			for _, n := range s.all {
				s.Nodes[n].Crash()
			}
		})
		s.At(23, func() { s.Start() })
	})
	told(t, s, wire.Withdrawn, "wk-1")
	told(t, s, wire.Done, "wk-2")
}

// A day with hundreds of machines: arrays of up to 2,500 tasks, gangs, a
// controller that ends, machines that die. Nothing runs twice, nothing that was
// accepted is lost, and the limits of the state service and the cloud hold.
func TestHundredsOfMachines(t *testing.T) {
	s := NewSized(27, 5)
	for _, n := range s.all { // the tighter of the grown deployments' limits
		d := &s.Nodes[n].set.Deployment
		d.Workers.Report, d.Workers.Lease, d.Workers.Cancel = 4, 26, 51
		d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps = 100, 30, 8, 24
		d.Limits.Sockets = 2500
	}
	s.State, s.Cloud = newState(s), newCloud(s)
	s.API()
	w := fleet(s, 500, 40)
	s.Cloud.Left["small/a/true"] = 60
	ids := []string{"wk-0"}
	s.Submit(8, Spec("wk-0", wire.Array, 2500, 1, 20, nil))
	for i := 1; i <= 12; i++ {
		id := fmt.Sprintf("wk-%d", i)
		ids = append(ids, id)
		s.Submit(10+5*float64(i), Spec(id, wire.Array, 60+20*i, 1, 20, nil))
	}
	for i := 20; i < 24; i++ {
		id := fmt.Sprintf("wk-%d", i)
		ids = append(ids, id)
		s.Submit(3*float64(i), Spec(id, wire.Gang, 8, 15, 25, func(x *wire.Submission) { yes := true; x.Together = &yes }))
	}
	s.At(30, func() { s.Nodes["n2"].Crash() })
	s.At(33, func() { s.Nodes["n2"].Start() })
	s.At(40, func() {
		for _, x := range w[:20] {
			x.Die()
		}
	})
	s.Start()
	s.Run(200)
	for _, b := range s.Broken {
		t.Errorf("rule broken: %s", b)
	}
	told(t, s, wire.Done, ids...)
	seconds := 200.0
	for _, b := range []struct {
		what string
		budget
	}{{"requests to the state service", s.State.requests}, {"changes", s.State.changes}, {"calls of the cloud", s.Cloud.calls}} {
		if b.Refused > b.Used/100 || float64(b.Used) > seconds*b.rate*0.8 {
			t.Errorf("%s: %d were taken and %d refused in %v s with %v a second", b.what, b.Used, b.Refused, seconds, b.rate)
		}
		t.Logf("%s: %.1f of %v a second, %d refused", b.what, float64(b.Used)/seconds, b.rate, b.Refused)
	}
}

// A gang of one zone, of more than one task, makes room by stopping best
// effort work in the zone where that costs least.
func TestGangPreemptsInOneZone(t *testing.T) {
	s := day(t, "gang-preempts", 28, 120, func(s *Sim) {
		fleet(s, 6, 0)
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 60, func(x *wire.Submission) {
			m, v := 5.0, 1.0
			x.Mark, x.Stow, x.Rank = &m, &v, text("best_effort")
		}))
		s.Submit(15, Spec("wk-2", wire.Gang, 2, 4, 10, func(x *wire.Submission) { yes := true; x.Rank, x.Together = text("high"), &yes }))
	})
	told(t, s, wire.Done, "wk-2")
}

// A gang that is to start within 10 s waits for work whose estimates say that it
// ends sooner than it does: others are stopped, and have saved, before it is
// late, not once it is.
func TestGangStopsOthersInTime(t *testing.T) {
	s := day(t, "gang-in-time", 29, 90, func(s *Sim) {
		for _, n := range s.all {
			s.Nodes[n].set.Deployment.Objectives = []settings.Objective{{Kind: "wait", Class: "gang", Within: 10, Share: 0.9}}
		}
		fleet(s, 6, 0)
		s.Overruns = map[string]float64{"class": 6}
		s.Submit(5, Spec("wk-1", wire.Array, 24, 1, 10, func(x *wire.Submission) { // would end at 16, and does not
			m, v := 5.0, 2.0
			x.Mark, x.Stow, x.Rank = &m, &v, text("best_effort")
		}))
		s.Submit(11, Spec("wk-9", wire.Gang, 2, 4, 10, func(x *wire.Submission) { x.Trade = text("gang") }))
	})
	told(t, s, wire.Done, "wk-9")
	var submitted, runs float64
	for _, l := range s.Traced {
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
