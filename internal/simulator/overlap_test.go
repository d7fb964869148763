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
func submitBurst(cluster *Cluster, at float64, jobs, tasks int, estimate float64) (ids []string) {
	return submitArrays(cluster, "wk-b", at, jobs, tasks, estimate)
}

func submitArrays(cluster *Cluster, name string, at float64, jobs, tasks int, estimate float64) (ids []string) {
	for i := 0; i < jobs; i++ {
		id := fmt.Sprintf("%s%d", name, i+1)
		cluster.Submit(at+float64(i)/float64(jobs), NewSubmission(id, protocol.ShapeArray, tasks, 1, estimate, nil))
		ids = append(ids, id)
	}
	return ids
}

// crashFor ends controllers and has them back later, both in seconds.
func (c *Cluster) crashFor(at, back float64, names ...string) {
	for _, name := range names {
		c.At(at, func() { c.Controllers[name].Crash() })
		c.At(back, func() { c.Controllers[name].Start() })
	}
}

// submitStandardLoad is what troubles fall into: six machines, an array and a gang that are to
// be done, and an array that is cancelled.
func submitStandardLoad(cluster *Cluster) []*Machine {
	machines := addMachines(cluster, 6, 0)
	cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 10, 1, 25, nil))
	cluster.Submit(6, NewSubmission("wk-2", protocol.ShapeGang, 2, 2, 12, nil))
	cluster.Submit(7, NewSubmission("wk-3", protocol.ShapeArray, 2, 1, 40, nil))
	cluster.Cancel(13, "wk-3")
	return machines
}

func TestOverlappingFaults(t *testing.T) {
	for i, test := range []struct {
		name   string
		script func(cluster *Cluster, machines []*Machine) []string
	}{
		{"burst-and-controller-lost", func(cluster *Cluster, machines []*Machine) []string {
			cluster.crashFor(11, 14, "n1")
			return submitBurst(cluster, 10.5, 6, 6, 5)
		}},
		{"boots-late-or-never-and-spot-wave", func(cluster *Cluster, machines []*Machine) []string {
			cluster.Cloud.Capacity["small/a/false"], cluster.Cloud.Capacity["small/b/true"] = 3, 3
			cluster.Cloud.BootTimeFactor, cluster.Cloud.FailingBoots = 3, 2
			spot := []*Machine{cluster.AddMachine("small", "a", true), cluster.AddMachine("small", "b", true)}
			cluster.At(14, func() { spot[0].AnnounceEviction(8 * time.Second) })
			cluster.At(15, spot[1].Die)
			return submitBurst(cluster, 6, 4, 9, 15)
		}},
		{"full-sockets-and-outage", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(10, func() { cluster.Controllers["n0"].SocketsExhausted = true })
			cluster.At(12, func() { cluster.State.StartOutage(7 * time.Second) })
			cluster.At(24, func() { cluster.Controllers["n0"].SocketsExhausted = false })
			return submitBurst(cluster, 11, 4, 4, 5)
		}},
		{"restart-in-an-outage-and-burst", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(12, func() { cluster.State.StartOutage(10 * time.Second) })
			cluster.crashFor(18, 21, cluster.controllerNames...)
			return submitBurst(cluster, 19, 5, 4, 5)
		}},
		{"outage-after-a-restart", func(cluster *Cluster, machines []*Machine) []string {
			cluster.crashFor(12, 15, cluster.controllerNames...)
			cluster.At(15.02, func() { cluster.State.StartOutage(6 * time.Second) }) // they have their grants, not their parts
			return submitBurst(cluster, 14, 3, 4, 5)
		}},
		{"zone-cut-and-frozen-owner", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(12, func() { cluster.At(40, cluster.PartitionZone("b")) })
			cluster.At(14, func() { cluster.Controllers["n0"].Pause(9*time.Second, true) })
			return submitBurst(cluster, 16, 2, 4, 5)
		}},
		{"frozen-in-a-roll", func(cluster *Cluster, machines []*Machine) []string {
			cluster.crashFor(10, 13, "n0")
			cluster.At(14, func() { cluster.Controllers["n1"].Pause(10*time.Second, false) })
			cluster.crashFor(20, 23, "n2")
			return submitBurst(cluster, 15, 2, 4, 5)
		}},
		{"hung-machines-and-leader-lost", func(cluster *Cluster, machines []*Machine) []string {
			for _, at := range []float64{11, 20} {
				cluster.At(at, func() { machines[0].Hung, machines[1].Hung = at < 20, at < 20 })
			}
			cluster.At(13, func() {
				process := cluster.leaderProcess()
				process.Crash()
				cluster.after(5*time.Second, process.Start)
			})
			return submitBurst(cluster, 12, 2, 4, 5)
		}},
		{"deaf-owner-and-peers-refused", func(cluster *Cluster, machines []*Machine) []string {
			pairs := [][2]string{{"n0", "n2"}}
			for _, machine := range machines {
				pairs = append(pairs, [2]string{machine.Address(), "n1"}, [2]string{machine.Address(), "api-n1"})
			}
			cluster.cutLinksFor(12, 45, pairs)
			return submitBurst(cluster, 14, 2, 4, 5)
		}},
		{"refused-alone-and-burst", func(cluster *Cluster, machines []*Machine) []string {
			cluster.At(11, func() { cluster.SetRefusal("n2", "state", true) })
			cluster.At(40, func() { cluster.SetRefusal("n2", "state", false) })
			return submitBurst(cluster, 12, 6, 5, 5)
		}},
		{"all-frozen-and-machines-die", func(cluster *Cluster, machines []*Machine) []string {
			for _, name := range cluster.controllerNames {
				cluster.At(12, func() { cluster.Controllers[name].Pause(8*time.Second, name == "n0") })
			}
			cluster.At(14, machines[2].Die)
			return submitBurst(cluster, 13, 2, 4, 5)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			ids := []string{"wk-1", "wk-2"}
			cluster := playTraced(t, test.name, uint64(60+i), 150, func(cluster *Cluster) {
				ids = append(ids, test.script(cluster, submitStandardLoad(cluster))...)
			})
			expectStatus(t, cluster, protocol.JobDone, ids...)
			expectStatus(t, cluster, protocol.JobCancelled, "wk-3")
		})
	}
}
