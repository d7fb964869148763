package simulator

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// The last commands of an owner get no answer and are carried out once, up to 16 s
// later: before the next owner's first command, between its commands, or after them,
// launches of what the next owner has begun elsewhere, halts and reaps of what it has
// just begun. A machine that has seen only the old owner's token still takes them.
func TestDeposedOwnerCommandArrivesLate(t *testing.T) {
	t.Parallel()
	const at = 14.0
	ends := map[string]func(cluster *Cluster, name string){
		"ends":    func(cluster *Cluster, name string) { cluster.crashFor(at, at+25, name) },
		"is back": func(cluster *Cluster, name string) { cluster.crashFor(at, at+0.4, name) },
		"is refused": func(cluster *Cluster, name string) {
			cluster.SetRefusal(name, "state", true)
			cluster.At(at+20, func() { cluster.SetRefusal(name, "state", false) })
		},
		"is isolated":  func(cluster *Cluster, name string) { cluster.after(20*time.Second, cluster.IsolateController(name)) },
		"stands still": func(cluster *Cluster, name string) { cluster.Controllers[name].Pause(14*time.Second, true) },
	}
	low := withPriority("best_effort")
	high := withPriority("high")
	seed, held := uint64(2800), 0
	for _, how := range slices.Sorted(maps.Keys(ends)) {
		for _, late := range []float64{0.2, 0.7, 1.5, 3, 6, 11, 16} {
			for _, cut := range []bool{false, true} { // a third of the machines from all others
				seed++
				cluster := newMonitoredCluster(seed, 70)
				machines := addMachines(cluster, 6, 0)
				cluster.Cloud.Capacity[Offer{"small", "a", false}] = 4
				cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 20, 1, 2.5))       // ends and begins all the time
				cluster.Submit(6, NewSubmission("wk-2", protocol.ShapeArray, 20, 1, 3.1, low))  // is stopped for
				cluster.Submit(13, NewSubmission("wk-3", protocol.ShapeGang, 2, 3, 5, high))    // these
				cluster.Submit(13.3, NewSubmission("wk-4", protocol.ShapeArray, 6, 1, 4, high)) //
				cluster.Submit(8, NewSubmission("wk-5", protocol.ShapeArray, 4, 0.5, 60))
				cluster.Submit(13.5, NewSubmission("wk-6", protocol.ShapeArray, 4, 0.5, 60))
				cluster.Cancel(13.8, "wk-5")
				cluster.Cancel(13.9, "wk-6")
				cluster.At(at-1, func() {
					name := cluster.largestOwner().name
					cluster.DelayedRequests = append(cluster.DelayedRequests, func(from, path string, _ []byte) (time.Duration, bool) {
						ok := path == "/orders" && from == name && cluster.now.Seconds() < at+1
						if ok {
							held++
						}
						return env.Seconds(late * (0.8 + 0.2*cluster.random.Float64())), ok
					})
					cluster.At(at, func() { ends[how](cluster, name) })
					for i, machine := range machines {
						for _, o := range cluster.controllerNames {
							if cut && i%3 == 0 && o != name {
								cluster.cutLinksFor(at-0.5, at+12, []link{{machine.Address(), o}, {machine.Address(), cluster.apiAddress(o)}})
							}
						}
					}
				})
				cluster.Start()
				cluster.Run(230)
				what := fmt.Sprintf("its owner %s, commands %v s late, machines cut %v (seed %d)", how, late, cut, seed)
				expectCleanDay(t, cluster, "%s", what)
				expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2", "wk-3", "wk-4")
				expectStatus(t, cluster, protocol.JobCancelled, "wk-5", "wk-6")
			}
		}
	}
	if held < 100 {
		t.Errorf("only %d commands were late", held)
	}
}
