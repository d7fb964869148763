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
	for i, n := range c.controllerNames {
		h := c.Controllers[n]
		h.ReportsOldVersion = true
		c.At(at+every*float64(i), func() {
			if h.running {
				h.Crash()
			}
			h.ReportsOldVersion = false
			h.settings.Deployment.State.Next = next
			if err := h.settings.LimitByNext(); err != nil {
				c.reportViolation("settings refused: %v", err)
			}
			c.after(2500*time.Millisecond, h.Start)
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
	moments := map[string]func(s *Cluster){
		"in a rush, machines die and others come": func(s *Cluster) {
			submitArrays(s, "wk-rush", down-3, 12, 6, 4)
			s.At(down-1, func() { s.killMachines(20) })
			s.At(down+4, func() { s.killMachines(10) })
		},
		"in an outage, after late writes": func(s *Cluster) {
			s.delayRequestsFor(down-12, down-2, 0.3, 2, 12, "/multi")
			s.At(down-2, func() { s.State.StartOutage(9 * time.Second) })
		},
		"as owners change": func(s *Cluster) {
			s.restartQuickly(down-1, 0.3, s.leaderProcess)
			s.restartQuickly(down+0.5, 8, s.nonLeaderOwner)
		},
		"before the last is new, all end": func(s *Cluster) {
			s.crashFor(31, 70, "n2")
			s.crashFor(down-1, down+1.5, "n0", "n1")
		},
	}
	kb, ops, rate := 0.5, 4, 50.0
	for i, moment := range slices.Sorted(maps.Keys(moments)) {
		s := NewCluster(uint64(3400 + i))
		s.ServeAPI()
		for _, n := range s.controllerNames {
			s.Controllers[n].settings.Deployment.State.ValueKB = 2
			s.Controllers[n].settings.Deployment.Limits.CoreShare = 0.4
		}
		s.State.maxValueKB = 2
		s.histories.FaultsOver = 120 * time.Second
		s.monitorWaitingJobs()
		r := rand.New(rand.NewPCG(uint64(i), 17))
		addMachines(s, 220, 0)
		s.Cloud.Capacity["small/a/false"] = 30
		s.Submit(6, NewSubmission("wk-large", protocol.ShapeArray, 20000, 1, 4, nil))
		for k := range 30 {
			id, at := fmt.Sprintf("wk-%d", k), 8+3*float64(k)
			s.Submit(at, NewSubmission(id, protocol.ShapeArray, 1+k%4, 1, 5, nil))
			if k%5 == 0 {
				s.Cancel(at+4*r.Float64(), id)
			}
		}
		s.At(20, func() { s.killMachines(5) })
		s.rollingUpgrade(25, 6, &settings.NextLimits{ValueKB: &kb, TxnOps: &ops, WriteRPS: &rate})
		for k := range 4 { // pipelines, once all are new
			s.submitOnceAccepted(75+float64(k), NewSubmission(fmt.Sprintf("wk-a%d", k), protocol.ShapeArray, 2, 1, 4, nil))
			s.submitOnceAccepted(76+float64(k), NewSubmission(fmt.Sprintf("wk-b%d", k), protocol.ShapeArray, 2, 1, 4, DependsOn(fmt.Sprintf("wk-a%d", k))))
		}
		s.At(down, func() { s.State.LowerLimits(kb, ops, rate) })
		s.At(110, func() { s.killMachines(6) })
		moments[moment](s)
		s.Start()
		s.Run(280)
		for _, wrong := range s.checkDay(true) {
			t.Errorf("%s: %s", moment, wrong)
		}
		for _, what := range s.State.OversizedRequests {
			t.Errorf("%s: refused as too large: %s", moment, what)
		}
		if got, want := s.leaderProcess().Controller.DebugState().Machines, len(s.runningMachines()); got != want {
			t.Errorf("%s: %d machines are known, %d are up", moment, got, want)
		}
		expectStatus(t, s, protocol.JobDone, "wk-large", "wk-b0", "wk-b3")
	}
}

// killMachines ends some of the machines.
func (c *Cluster) killMachines(n int) {
	up := c.runningMachines()
	for i := range min(n, len(up)) {
		up[i*len(up)/n].Die()
	}
}
