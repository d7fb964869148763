package simulator

import (
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// Leaders and owners that end, are back, or are alone, around an election.

// The leader ends; while another is chosen, and after, a second controller and a third
// end and are back within a fraction of a second. Whenever that is, somebody leads, all
// parts are owned within a lease and a half, no rule breaks and all is done.
func TestRestartDuringElection(t *testing.T) {
	for i := range 32 {
		s := newMonitoredCluster(uint64(1300+i), 30)
		submitStandardLoad(s)
		ids := append(submitBurst(s, 11, 4, 6, 4), "wk-1", "wk-2")
		at := 12 + 0.3*float64(i)
		s.At(12, func() {
			old := s.leaderProcess()
			old.Crash()
			s.after(time.Duration(200+200*i)*time.Millisecond, old.Start) // at once, or well after the election
		})
		next := func(k int) func() *ControllerProcess {
			return func() *ControllerProcess { return s.Controllers[s.runningControllers()[k%len(s.runningControllers())]] }
		}
		s.restartQuickly(at, 0.25, next(i))
		s.restartQuickly(at+0.15, 0.1, next(i+1))
		s.At(at+1.5*s.Settings.Deployment.Workers.Lease, func() {
			parts := map[int32]string{}
			for _, n := range s.runningControllers() {
				for _, p := range s.Controllers[n].Controller.DebugState().Shards {
					parts[int32(p.Shard)] = n
				}
			}
			if len(parts) != len(s.controllerNames) || !s.leaderProcess().running {
				t.Errorf("%.1f s after the leader's end two others: parts %v", at-12, parts)
			}
		})
		s.Start()
		s.Run(130)
		for _, b := range append(s.Violations, s.ServiceLevelViolations()...) {
			t.Errorf("%.1f s after the leader's end two others: %s", at-12, b)
		}
		expectStatus(t, s, protocol.JobDone, ids...)
		expectStatus(t, s, protocol.JobCancelled, "wk-3")
	}
}

// The leader, or the owner of most machines, is alone with its workers and users for a
// moment, for longer than a lease and for a minute; jobs are cancelled, accepted and done
// through the others. No rule breaks, and all is known again and served.
func TestControllerIsolatedWithItsMachines(t *testing.T) {
	for i, who := range []func(*Cluster) []string{leaderOnly, largestOwnerOnly} {
		for k, length := range []float64{3, 20, 60} {
			s := NewCluster(uint64(1360 + 10*i + k))
			s.ServeAPI()
			s.histories.FaultsOver = time.Duration((11 + length) * float64(time.Second))
			s.monitorWaitingJobs()
			submitStandardLoad(s)
			ids := append(submitBurst(s, 14, 4, 6, 4), "wk-1", "wk-2", "wk-5")
			s.At(11, func() { s.after(time.Duration(length*float64(time.Second)), s.IsolateController(who(s)[0])) })
			s.Submit(8, NewSubmission("wk-4", protocol.ShapeArray, 6, 1, 90, nil))
			s.Submit(16, NewSubmission("wk-5", protocol.ShapeGang, 2, 3, 6, nil))
			s.Cancel(12.5, "wk-4")
			s.Start()
			s.Run(200)
			for _, b := range append(s.Violations, s.ServiceLevelViolations()...) {
				t.Errorf("alone for %v s (%d): %s", length, i, b)
			}
			expectStatus(t, s, protocol.JobDone, ids...)
			expectStatus(t, s, protocol.JobCancelled, "wk-3", "wk-4")
		}
	}
}
