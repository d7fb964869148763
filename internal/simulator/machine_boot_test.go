package simulator

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"curlewspool/internal/protocol"
)

// New machines are up within a second and get work at once while transactions lag, and
// the leader ends around the rental: the machine reports before the answer to the rental
// is there, before any record of it, and to controllers that have never heard of it; a
// rush of single tasks begins on it before its own records are stored. On half of the
// days all controllers end, and half of the machines that hold work can't be asked then.
// No task runs twice, each machine is used or returned, and everything ends.
func TestMachinesBootWhileWritesLagAndLeaderFails(t *testing.T) {
	t.Parallel()
	lags := map[string]func(cluster *Cluster){
		"late":         func(cluster *Cluster) { cluster.delayRequestsFor(8, 30, 0.5, 2, 12, "/multi") },
		"answers lost": func(cluster *Cluster) { cluster.delayRequestsFor(8, 30, 0.6, 0.001, 0.002, "/multi") },
		"slow":         func(cluster *Cluster) { cluster.delayResponsesFor("/multi", cluster.random, 8, 30, 1.6) },
		"rentals unsure": func(cluster *Cluster) {
			cluster.delayRequestsFor(8, 30, 0.5, 0.05, 4, "/rentals")
			cluster.delayRequestsFor(8, 30, 0.3, 2, 9, "/multi")
		},
	}
	seed, rented, cutOff := uint64(2500), 0, 0
	for _, lag := range slices.Sorted(maps.Keys(lags)) {
		for _, single := range []bool{false, true} {
			for _, after := range []float64{0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.5, 3, 6} { // the first rental
				seed++
				cluster := newMonitoredCluster(seed, 60)
				cluster.Cloud.BootTimeFactor = 0.06
				for _, zone := range []string{"a", "b"} {
					cluster.Cloud.Capacity[Offer{"small", zone, false}] = 5
					cluster.Cloud.Capacity[Offer{"small", zone, true}] = 3
				}
				addMachines(cluster, 2, 0)
				lags[lag](cluster)
				if single {
					cluster.placeSingleTasksAnywhere()
					for i := range 30 {
						cluster.Submit(9+float64(i)/10, NewSubmission(fmt.Sprintf("wk-s%d", i), protocol.ShapeArray, 1, 1, 8))
					}
				} else {
					submitArrays(cluster, "wk-a", 9, 4, 10, 8)
					cluster.Submit(10, NewSubmission("wk-g", protocol.ShapeGang, 3, 4, 8))
				}
				met := false
				cluster.OnRequest = func(_, method, path string) {
					if method == "POST" && path == "/rentals" && !met {
						met = true
						rented++
						end := cluster.now.Seconds() + 0.6 + after
						if seed%2 == 0 {
							cluster.restartQuickly(end, 0.2+after/2, cluster.leaderProcess)
							cluster.restartQuickly(end+2, 5, cluster.leaderProcess)
							return
						}
						cluster.At(end, func() {
							for i, id := range cluster.machineIDs() {
								if machine := cluster.Machines[id]; i%2 == 0 && len(machine.attempts) > 0 {
									cutOff++
									cluster.cutLinksFor(cluster.now.Seconds(), cluster.now.Seconds()+25, cluster.machineLinks(machine))
								}
							}
							cluster.crashFor(cluster.now.Seconds(), cluster.now.Seconds()+0.5, cluster.controllerNames...)
						})
					}
				}
				cluster.Start()
				cluster.Run(300)
				what := fmt.Sprintf("%s, single tasks %v, the leader ends %v s after the rental (seed %d)", lag, single, after, seed)
				for _, wrong := range cluster.checkDay(false) {
					t.Errorf("%s: %s", what, wrong)
				}
				for _, id := range cluster.machineIDs() { // by then idle for minutes
					if machine := cluster.Machines[id]; !machine.deleted && cluster.Controllers[cluster.leaderProcess().name].Controller.DebugState().Machines < len(cluster.runningMachines()) {
						t.Errorf("%s: %s is known to nobody and stays", what, machine.id)
						break
					}
				}
			}
		}
	}
	if rented < 40 || cutOff < 40 {
		t.Errorf("machines were rented on %d days only, %d that held work cut off", rented, cutOff)
	}
}
