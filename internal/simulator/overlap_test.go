package simulator

import (
	"fmt"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// Troubles at the fleet's size come together. Each day below overlaps two or
// three of them, on few machines, to be read: no rule breaks, all is done.

// submitBurst submits several arrays within a second.
func submitBurst(s *Cluster, at float64, jobs, tasks int, estimate float64) (ids []string) {
	return submitArrays(s, "wk-b", at, jobs, tasks, estimate)
}

func submitArrays(s *Cluster, name string, at float64, jobs, tasks int, estimate float64) (ids []string) {
	for i := 0; i < jobs; i++ {
		id := fmt.Sprintf("%s%d", name, i+1)
		s.Submit(at+float64(i)/float64(jobs), NewSubmission(id, protocol.ShapeArray, tasks, 1, estimate, nil))
		ids = append(ids, id)
	}
	return ids
}

// crashFor ends controllers and has them back later, both in seconds.
func (c *Cluster) crashFor(at, back float64, names ...string) {
	for _, n := range names {
		c.At(at, func() { c.Controllers[n].Crash() })
		c.At(back, func() { c.Controllers[n].Start() })
	}
}

// submitStandardLoad is what troubles fall into: six machines, an array and a gang that are to
// be done, and an array that is cancelled.
func submitStandardLoad(s *Cluster) []*Machine {
	w := addMachines(s, 6, 0)
	s.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 10, 1, 25, nil))
	s.Submit(6, NewSubmission("wk-2", protocol.ShapeGang, 2, 2, 12, nil))
	s.Submit(7, NewSubmission("wk-3", protocol.ShapeArray, 2, 1, 40, nil))
	s.Cancel(13, "wk-3")
	return w
}

func TestOverlappingFaults(t *testing.T) {
	for i, c := range []struct {
		name   string
		script func(s *Cluster, w []*Machine) []string
	}{
		{"burst-and-controller-lost", func(s *Cluster, w []*Machine) []string {
			s.crashFor(11, 14, "n1")
			return submitBurst(s, 10.5, 6, 6, 5)
		}},
		{"boots-late-or-never-and-spot-wave", func(s *Cluster, w []*Machine) []string {
			s.Cloud.Capacity["small/a/false"], s.Cloud.Capacity["small/b/true"] = 3, 3
			s.Cloud.BootTimeFactor, s.Cloud.FailingBoots = 3, 2
			spot := []*Machine{s.AddMachine("small", "a", true), s.AddMachine("small", "b", true)}
			s.At(14, func() { spot[0].AnnounceEviction(8 * time.Second) })
			s.At(15, spot[1].Die)
			return submitBurst(s, 6, 4, 9, 15)
		}},
		{"full-sockets-and-outage", func(s *Cluster, w []*Machine) []string {
			s.At(10, func() { s.Controllers["n0"].SocketsExhausted = true })
			s.At(12, func() { s.State.StartOutage(7 * time.Second) })
			s.At(24, func() { s.Controllers["n0"].SocketsExhausted = false })
			return submitBurst(s, 11, 4, 4, 5)
		}},
		{"restart-in-an-outage-and-burst", func(s *Cluster, w []*Machine) []string {
			s.At(12, func() { s.State.StartOutage(10 * time.Second) })
			s.crashFor(18, 21, s.controllerNames...)
			return submitBurst(s, 19, 5, 4, 5)
		}},
		{"outage-after-a-restart", func(s *Cluster, w []*Machine) []string {
			s.crashFor(12, 15, s.controllerNames...)
			s.At(15.02, func() { s.State.StartOutage(6 * time.Second) }) // they have their grants, not their parts
			return submitBurst(s, 14, 3, 4, 5)
		}},
		{"zone-cut-and-frozen-owner", func(s *Cluster, w []*Machine) []string {
			s.At(12, func() { s.At(40, s.PartitionZone("b")) })
			s.At(14, func() { s.Controllers["n0"].Pause(9*time.Second, true) })
			return submitBurst(s, 16, 2, 4, 5)
		}},
		{"frozen-in-a-roll", func(s *Cluster, w []*Machine) []string {
			s.crashFor(10, 13, "n0")
			s.At(14, func() { s.Controllers["n1"].Pause(10*time.Second, false) })
			s.crashFor(20, 23, "n2")
			return submitBurst(s, 15, 2, 4, 5)
		}},
		{"hung-machines-and-leader-lost", func(s *Cluster, w []*Machine) []string {
			for _, at := range []float64{11, 20} {
				s.At(at, func() { w[0].Hung, w[1].Hung = at < 20, at < 20 })
			}
			s.At(13, func() {
				h := s.leaderProcess()
				h.Crash()
				s.after(5*time.Second, h.Start)
			})
			return submitBurst(s, 12, 2, 4, 5)
		}},
		{"deaf-owner-and-peers-refused", func(s *Cluster, w []*Machine) []string {
			pairs := [][2]string{{"n0", "n2"}}
			for _, x := range w {
				pairs = append(pairs, [2]string{x.Address(), "n1"}, [2]string{x.Address(), "api-n1"})
			}
			s.cutLinksFor(12, 45, pairs)
			return submitBurst(s, 14, 2, 4, 5)
		}},
		{"refused-alone-and-burst", func(s *Cluster, w []*Machine) []string {
			s.At(11, func() { s.SetRefusal("n2", "state", true) })
			s.At(40, func() { s.SetRefusal("n2", "state", false) })
			return submitBurst(s, 12, 6, 5, 5)
		}},
		{"all-frozen-and-machines-die", func(s *Cluster, w []*Machine) []string {
			for _, n := range s.controllerNames {
				s.At(12, func() { s.Controllers[n].Pause(8*time.Second, n == "n0") })
			}
			s.At(14, w[2].Die)
			return submitBurst(s, 13, 2, 4, 5)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ids := []string{"wk-1", "wk-2"}
			s := playTraced(t, c.name, uint64(60+i), 150, func(s *Cluster) {
				ids = append(ids, c.script(s, submitStandardLoad(s))...)
			})
			expectStatus(t, s, protocol.JobDone, ids...)
			expectStatus(t, s, protocol.JobCancelled, "wk-3")
		})
	}
}
