package standin

import (
	"fmt"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// Troubles at the fleet's size come together. Each day below overlaps two or
// three of them, on few machines, to be read: no rule breaks, all is done.

// burst submits several arrays within a second.
func burst(s *Sim, at float64, jobs, tasks int, estimate float64) (ids []string) {
	return arrays(s, "wk-b", at, jobs, tasks, estimate)
}

func arrays(s *Sim, name string, at float64, jobs, tasks int, estimate float64) (ids []string) {
	for i := 0; i < jobs; i++ {
		id := fmt.Sprintf("%s%d", name, i+1)
		s.Submit(at+float64(i)/float64(jobs), Spec(id, wire.Array, tasks, 1, estimate, nil))
		ids = append(ids, id)
	}
	return ids
}

// crash ends controllers and has them back later, both in seconds.
func (s *Sim) crash(at, back float64, names ...string) {
	for _, n := range names {
		s.At(at, func() { s.Nodes[n].Crash() })
		s.At(back, func() { s.Nodes[n].Start() })
	}
}

// workday is what troubles fall into: six machines, an array and a gang that are to
// be done, and an array that is cancelled.
func workday(s *Sim) []*Worker {
	w := fleet(s, 6, 0)
	s.Submit(5, Spec("wk-1", wire.Array, 10, 1, 25, nil))
	s.Submit(6, Spec("wk-2", wire.Gang, 2, 2, 12, nil))
	s.Submit(7, Spec("wk-3", wire.Array, 2, 1, 40, nil))
	s.Abort(13, "wk-3")
	return w
}

func TestOverlaps(t *testing.T) {
	for i, c := range []struct {
		name   string
		script func(s *Sim, w []*Worker) []string
	}{
		{"burst-and-controller-lost", func(s *Sim, w []*Worker) []string {
			s.crash(11, 14, "n1")
			return burst(s, 10.5, 6, 6, 5)
		}},
		{"boots-late-or-never-and-spot-wave", func(s *Sim, w []*Worker) []string {
			s.Cloud.Left["small/a/false"], s.Cloud.Left["small/b/true"] = 3, 3
			s.Cloud.Boots, s.Cloud.Fails = 3, 2
			spot := []*Worker{s.AddWorker("small", "a", true), s.AddWorker("small", "b", true)}
			s.At(14, func() { spot[0].Notice(8 * time.Second) })
			s.At(15, spot[1].Die)
			return burst(s, 6, 4, 9, 15)
		}},
		{"full-sockets-and-outage", func(s *Sim, w []*Worker) []string {
			s.At(10, func() { s.Nodes["n0"].Full = true })
			s.At(12, func() { s.State.Outage(7 * time.Second) })
			s.At(24, func() { s.Nodes["n0"].Full = false })
			return burst(s, 11, 4, 4, 5)
		}},
		{"restart-in-an-outage-and-burst", func(s *Sim, w []*Worker) []string {
			s.At(12, func() { s.State.Outage(10 * time.Second) })
			s.crash(18, 21, s.all...)
			return burst(s, 19, 5, 4, 5)
		}},
		{"outage-after-a-restart", func(s *Sim, w []*Worker) []string {
			s.crash(12, 15, s.all...)
			s.At(15.02, func() { s.State.Outage(6 * time.Second) }) // they have their grants, not their parts
			return burst(s, 14, 3, 4, 5)
		}},
		{"zone-cut-and-frozen-owner", func(s *Sim, w []*Worker) []string {
			s.At(12, func() { s.At(40, s.CutZone("b")) })
			s.At(14, func() { s.Nodes["n0"].Freeze(9*time.Second, true) })
			return burst(s, 16, 2, 4, 5)
		}},
		{"frozen-in-a-roll", func(s *Sim, w []*Worker) []string {
			s.crash(10, 13, "n0")
			s.At(14, func() { s.Nodes["n1"].Freeze(10*time.Second, false) })
			s.crash(20, 23, "n2")
			return burst(s, 15, 2, 4, 5)
		}},
		{"hung-machines-and-leader-lost", func(s *Sim, w []*Worker) []string {
			for _, at := range []float64{11, 20} {
				s.At(at, func() { w[0].Hung, w[1].Hung = at < 20, at < 20 })
			}
			s.At(13, func() {
				h := s.leader()
				h.Crash()
				s.after(5*time.Second, h.Start)
			})
			return burst(s, 12, 2, 4, 5)
		}},
		{"deaf-owner-and-peers-refused", func(s *Sim, w []*Worker) []string {
			pairs := [][2]string{{"n0", "n2"}}
			for _, x := range w {
				pairs = append(pairs, [2]string{x.Addr(), "n1"}, [2]string{x.Addr(), "api-n1"})
			}
			s.cutFor(12, 45, pairs)
			return burst(s, 14, 2, 4, 5)
		}},
		{"refused-alone-and-burst", func(s *Sim, w []*Worker) []string {
			s.At(11, func() { s.Refuse("n2", "state", true) })
			s.At(40, func() { s.Refuse("n2", "state", false) })
			return burst(s, 12, 6, 5, 5)
		}},
		{"all-frozen-and-machines-die", func(s *Sim, w []*Worker) []string {
			for _, n := range s.all {
				s.At(12, func() { s.Nodes[n].Freeze(8*time.Second, n == "n0") })
			}
			s.At(14, w[2].Die)
			return burst(s, 13, 2, 4, 5)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ids := []string{"wk-1", "wk-2"}
			s := day(t, c.name, uint64(60+i), 150, func(s *Sim) {
				ids = append(ids, c.script(s, workday(s))...)
			})
			told(t, s, wire.Done, ids...)
			told(t, s, wire.Withdrawn, "wk-3")
		})
	}
}
