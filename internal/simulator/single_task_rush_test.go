package simulator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// One-task jobs come four a second for two minutes, a quarter of them cancelled at
// random moments of their lives, with a state service that takes no more changes than
// they need, while leaders and owners change. None is forgotten, begins after its
// cancellation was confirmed, or is left; what was accepted is done or cancelled.
func TestSingleTaskRushAtWriteLimit(t *testing.T) {
	t.Parallel()
	troubles := map[string]func(cluster *Cluster){
		"none": func(*Cluster) {},
		"leaders end": func(cluster *Cluster) {
			cluster.restartQuickly(30, 0.3, cluster.leaderProcess)
			cluster.restartQuickly(60, 7, cluster.leaderProcess)
			cluster.restartQuickly(90, 0.3, cluster.leaderProcess)
		},
		"all end":        func(cluster *Cluster) { cluster.crashFor(50, 52.5, cluster.controllerNames...) },
		"one is refused": func(cluster *Cluster) { cluster.refuseControllersFor(40, 65, largestOwnerOnly) },
		"writes are late": func(cluster *Cluster) {
			cluster.delayRequestsFor(40, 70, 0.1, 2, 12, "/multi")
			cluster.restartQuickly(55, 0.3, cluster.leaderProcess)
		},
		"answers are lost": func(cluster *Cluster) {
			cluster.delayRequestsFor(40, 70, 0.2, 0.001, 0.002, "/multi")
			cluster.restartQuickly(55, 0.3, cluster.leaderProcess)
		},
		"commands are late": func(cluster *Cluster) {
			cluster.delayRequestsFor(40, 70, 0.1, 2, 16, "/orders")
			cluster.restartQuickly(55, 4, cluster.nonLeaderOwner)
		},
		"machines lost, too": func(cluster *Cluster) {
			cluster.cutLinksFor(40, 70, cluster.machineLinks(cluster.Machines["i-002"]))
			cluster.restartQuickly(55, 4, cluster.nonLeaderOwner)
		},
	}
	for _, name := range slices.Sorted(maps.Keys(troubles)) {
		for seed := uint64(2700); seed < 2702; seed++ {
			cluster := NewCluster(seed)
			cluster.ServeAPI()
			for _, name := range cluster.controllerNames {
				cluster.Controllers[name].settings.Deployment.State.WriteRPS = 14
			}
			cluster.State.writeLimit = newRateLimit(14, 14)
			cluster.histories.FaultsOver = 150 * time.Second
			cluster.monitorWaitingJobs()
			random := rand.New(rand.NewPCG(seed, 9))
			addMachines(cluster, 10, 0)
			for i := range 480 {
				id, at := fmt.Sprintf("wk-%d", i), 8+float64(i)/4
				cluster.Submit(at, NewSubmission(id, protocol.ShapeArray, 1, 1, 2+6*random.Float64()))
				if random.IntN(4) == 0 {
					cluster.Cancel(at+9*random.Float64()*random.Float64(), id)
				}
			}
			troubles[name](cluster)
			cluster.Start()
			cluster.Run(320)
			what := fmt.Sprintf("%s, seed %d", name, seed)
			expectCleanDay(t, cluster, "%s", what)
			ordered, ends := 0, map[protocol.JobStatus]int{}
			for id := range cluster.jobs {
				ordered += cluster.histories.job(id).launchesAfterCancellation
				ends[cluster.ReportedStatus(id)]++
			}
			if ordered > 0 && name != "commands are late" {
				t.Errorf("%s: %d tasks were ordered to begin after their cancellation", what, ordered)
			}
			if cluster.State.writeLimit.Refused < 20 {
				t.Errorf("%s: only %d transactions were refused for want of changes", what, cluster.State.writeLimit.Refused)
			}
			if ends[protocol.JobCancelled] < 60 {
				t.Errorf("%s: only %d of 480 jobs were cancelled", what, ends[protocol.JobCancelled])
			}
		}
	}
}
