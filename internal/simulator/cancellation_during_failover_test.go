package simulator

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// handOvers are the ways in which one controller's work changes hands at a time.
var handOvers = map[string]func(cluster *Cluster, at float64){
	"its owner ends":       func(cluster *Cluster, at float64) { cluster.restartQuickly(at, 8, cluster.largestOwner) },
	"its owner is back":    func(cluster *Cluster, at float64) { cluster.restartQuickly(at, 0.2, cluster.largestOwner) },
	"its owner is refused": func(cluster *Cluster, at float64) { cluster.refuseControllersFor(at, at+9, largestOwnerOnly) },
	"its owner stands still": func(cluster *Cluster, at float64) {
		cluster.At(at, func() { cluster.largestOwner().Pause(10*time.Second, true) })
	},
	"its owner is isolated": func(cluster *Cluster, at float64) {
		cluster.At(at, func() { cluster.after(12*time.Second, cluster.IsolateController(cluster.largestOwner().name)) })
	},
	"there and back": func(cluster *Cluster, at float64) {
		cluster.restartQuickly(at, 1, cluster.largestOwner)
		cluster.restartQuickly(at+2.5, 1, cluster.largestOwner)
	},
	"owner and leader end": func(cluster *Cluster, at float64) {
		cluster.restartQuickly(at, 5, cluster.largestOwner)
		cluster.restartQuickly(at+0.4, 0.3, cluster.leaderProcess)
	},
	"its owner loses machines": loseMachines,
}

// Jobs are cancelled in the seconds in which one controller's work changes hands, one
// each quarter of a second, some of them as they begin. Whoever has the work by then:
// within cancel_s nothing is left, and no controller that has heard of the cancellation
// orders anything of it to begin.
func TestCancellationDuringFailover(t *testing.T) {
	t.Parallel()
	const at = 14.0
	cancelled := 0
	for _, how := range slices.Sorted(maps.Keys(handOvers)) {
		for _, unsaid := range []bool{false, true} {
			for seed := uint64(2400); seed < 2402; seed++ {
				cluster := NewCluster(seed)
				cluster.ServeAPI()
				cluster.DropCancellationNotices = unsaid
				cluster.histories.FaultsOver = 70 * time.Second
				cluster.monitorWaitingJobs()
				addMachines(cluster, 12, 0)
				for i := range 48 {
					id, moment := fmt.Sprintf("wk-%d", i), at-2+0.25*float64(i)
					submit, tasks := 5+float64(i)/16, 1+i%2
					if i%3 == 0 { // begins just then
						submit = moment - 0.4
					}
					cluster.Submit(submit, NewSubmission(id, protocol.ShapeArray, tasks, 0.5, 90))
					cluster.Cancel(moment, id)
				}
				handOvers[how](cluster, at)
				cluster.Start()
				cluster.Run(130)
				what := fmt.Sprintf("%s, cancellations not passed on %v, seed %d", how, unsaid, seed)
				expectCleanDay(t, cluster, "%s", what)
				for i := range 48 {
					id := fmt.Sprintf("wk-%d", i)
					if cluster.ReportedStatus(id) == protocol.JobCancelled {
						cancelled++
					}
					if n := cluster.histories.job(id).launchesAfterCancellation; n > 0 && !unsaid {
						t.Errorf("%s: %d tasks of %s were ordered to begin after its cancellation", what, n, id)
					}
				}
			}
		}
	}
	if cancelled < 32*48 {
		t.Errorf("%d of %d jobs were cancelled", cancelled, 32*48)
	}
}
