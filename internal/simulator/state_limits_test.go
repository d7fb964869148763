package simulator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// rollingUpgrade restarts the controllers, one each few seconds, with settings that name limits
// which the state service will have later; until its turn each says it is of the version
// before.
func (c *Cluster) rollingUpgrade(at, every float64, next *settings.NextLimits) (done float64) {
	for i, name := range c.controllerNames {
		process := c.Controllers[name]
		process.ReportsOldVersion = true
		c.At(at+every*float64(i), func() {
			if process.running {
				process.Crash()
			}
			process.ReportsOldVersion = false
			process.settings.Deployment.State.Next = next
			if err := process.settings.LimitByNext(); err != nil {
				c.reportViolation(RuleSettingsValid, "%v", err)
			}
			c.after(2500*time.Millisecond, process.Start)
		})
	}
	return at + every*float64(len(c.controllerNames)) + 3
}

// The state service's limits come down without notice some time after an upgrade: a quarter
// of the size of values, a third of the changes in a transaction, two thirds of the rate.
// An array of 20,000 tasks runs all the while on 220 machines, whose rosters are larger than
// a value may be by then; machines come and go, jobs are accepted and cancelled. No value or
// transaction is too large, whatever else happens then, and no machine is lost or kept.
func TestStateLimitsDecrease(t *testing.T) {
	t.Parallel()
	const down = 50.0
	moments := map[string]func(cluster *Cluster){
		"in a rush, machines die and others come": func(cluster *Cluster) {
			submitArrays(cluster, "wk-rush", down-3, 12, 6, 4)
			cluster.At(down-1, func() { cluster.killMachines(20) })
			cluster.At(down+4, func() { cluster.killMachines(10) })
		},
		"in an outage, after late writes": func(cluster *Cluster) {
			cluster.delayRequestsFor(down-12, down-2, 0.3, 2, 12, "/multi")
			cluster.At(down-2, func() { cluster.State.StartOutage(9 * time.Second) })
		},
		"as owners change": func(cluster *Cluster) {
			cluster.restartQuickly(down-1, 0.3, cluster.leaderProcess)
			cluster.restartQuickly(down+0.5, 8, cluster.nonLeaderOwner)
		},
		"before the last is new, all end": func(cluster *Cluster) {
			cluster.crashFor(31, 70, "n2")
			cluster.crashFor(down-1, down+1.5, "n0", "n1")
		},
	}
	kb, ops, rate := 0.5, 4, 50.0
	for i, moment := range slices.Sorted(maps.Keys(moments)) {
		cluster := NewCluster(uint64(3400 + i))
		cluster.ServeAPI()
		for _, name := range cluster.controllerNames {
			cluster.Controllers[name].settings.Deployment.State.ValueKB = 2
			cluster.Controllers[name].settings.Deployment.Limits.CoreShare = 0.4
		}
		cluster.State.maxValueKB = 2
		cluster.histories.FaultsOver = 120 * time.Second
		cluster.monitorWaitingJobs()
		random := rand.New(rand.NewPCG(uint64(i), 17))
		addMachines(cluster, 220, 0)
		cluster.Cloud.Capacity[Offer{"small", "a", false}] = 30
		cluster.Submit(6, NewSubmission("wk-large", protocol.ShapeArray, 20000, 1, 4))
		for k := range 30 {
			id, at := fmt.Sprintf("wk-%d", k), 8+3*float64(k)
			cluster.Submit(at, NewSubmission(id, protocol.ShapeArray, 1+k%4, 1, 5))
			if k%5 == 0 {
				cluster.Cancel(at+4*random.Float64(), id)
			}
		}
		cluster.At(20, func() { cluster.killMachines(5) })
		cluster.rollingUpgrade(25, 6, &settings.NextLimits{ValueKB: &kb, TxnOps: &ops, WriteRPS: &rate})
		for k := range 4 { // pipelines, once all are new
			cluster.submitOnceAccepted(75+float64(k), NewSubmission(fmt.Sprintf("wk-a%d", k), protocol.ShapeArray, 2, 1, 4))
			cluster.submitOnceAccepted(76+float64(k), NewSubmission(fmt.Sprintf("wk-b%d", k), protocol.ShapeArray, 2, 1, 4, DependsOn(fmt.Sprintf("wk-a%d", k))))
		}
		cluster.At(down, func() { cluster.State.LowerLimits(kb, ops, rate) })
		cluster.At(110, func() { cluster.killMachines(6) })
		moments[moment](cluster)
		cluster.Start()
		cluster.Run(280)
		expectCleanDayWithOutages(t, cluster, "%s", moment)
		for _, what := range cluster.State.OversizedRequests {
			t.Errorf("%s: refused as too large: %s", moment, what)
		}
		if got, want := cluster.leaderProcess().Controller.DebugState().Machines, len(cluster.runningMachines()); got != want {
			t.Errorf("%s: %d machines are known, %d are up", moment, got, want)
		}
		expectStatus(t, cluster, protocol.JobDone, "wk-large", "wk-b0", "wk-b3")
	}
}
