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
	troubles := map[string]func(s *Cluster){
		"none": func(*Cluster) {},
		"leaders end": func(s *Cluster) {
			s.restartQuickly(30, 0.3, s.leaderProcess)
			s.restartQuickly(60, 7, s.leaderProcess)
			s.restartQuickly(90, 0.3, s.leaderProcess)
		},
		"all end":        func(s *Cluster) { s.crashFor(50, 52.5, s.controllerNames...) },
		"one is refused": func(s *Cluster) { s.refuseControllersFor(40, 65, largestOwnerOnly) },
		"writes are late": func(s *Cluster) {
			s.delayRequestsFor(40, 70, 0.1, 2, 12, "/multi")
			s.restartQuickly(55, 0.3, s.leaderProcess)
		},
		"answers are lost": func(s *Cluster) {
			s.delayRequestsFor(40, 70, 0.2, 0.001, 0.002, "/multi")
			s.restartQuickly(55, 0.3, s.leaderProcess)
		},
		"commands are late": func(s *Cluster) {
			s.delayRequestsFor(40, 70, 0.1, 2, 16, "/orders")
			s.restartQuickly(55, 4, s.nonLeaderOwner)
		},
		"machines lost, too": func(s *Cluster) {
			s.cutLinksFor(40, 70, s.machineLinks(s.Machines["i-002"]))
			s.restartQuickly(55, 4, s.nonLeaderOwner)
		},
	}
	for _, name := range slices.Sorted(maps.Keys(troubles)) {
		for seed := uint64(2700); seed < 2702; seed++ {
			s := NewCluster(seed)
			s.ServeAPI()
			for _, n := range s.controllerNames {
				s.Controllers[n].settings.Deployment.State.WriteRPS = 14
			}
			s.State.writeLimit = newRateLimit(14, 14)
			s.histories.FaultsOver = 150 * time.Second
			s.monitorWaitingJobs()
			r := rand.New(rand.NewPCG(seed, 9))
			addMachines(s, 10, 0)
			for i := range 480 {
				id, at := fmt.Sprintf("wk-%d", i), 8+float64(i)/4
				s.Submit(at, NewSubmission(id, protocol.ShapeArray, 1, 1, 2+6*r.Float64(), nil))
				if r.IntN(4) == 0 {
					s.Cancel(at+9*r.Float64()*r.Float64(), id)
				}
			}
			troubles[name](s)
			s.Start()
			s.Run(320)
			what := fmt.Sprintf("%s, seed %d", name, seed)
			for _, wrong := range s.checkDay(false) {
				t.Errorf("%s: %s", what, wrong)
			}
			ordered, ends := 0, map[protocol.JobStatus]int{}
			for id := range s.jobs {
				ordered += s.histories.job(id).launchesAfterCancellation
				ends[s.ReportedStatus(id)]++
			}
			if ordered > 0 && name != "commands are late" {
				t.Errorf("%s: %d tasks were ordered to begin after their cancellation", what, ordered)
			}
			if s.State.writeLimit.Refused < 20 {
				t.Errorf("%s: only %d transactions were refused for want of changes", what, s.State.writeLimit.Refused)
			}
			if ends[protocol.JobCancelled] < 60 {
				t.Errorf("%s: only %d of 480 jobs were cancelled", what, ends[protocol.JobCancelled])
			}
		}
	}
}
