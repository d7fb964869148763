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
	lags := map[string]func(s *Cluster){
		"late":         func(s *Cluster) { s.delayRequestsFor(8, 30, 0.5, 2, 12, "/multi") },
		"answers lost": func(s *Cluster) { s.delayRequestsFor(8, 30, 0.6, 0.001, 0.002, "/multi") },
		"slow":         func(s *Cluster) { s.delayResponsesFor("/multi", s.random, 8, 30, 1.6) },
		"rentals unsure": func(s *Cluster) {
			s.delayRequestsFor(8, 30, 0.5, 0.05, 4, "/rentals")
			s.delayRequestsFor(8, 30, 0.3, 2, 9, "/multi")
		},
	}
	seed, rented, cutOff := uint64(2500), 0, 0
	for _, lag := range slices.Sorted(maps.Keys(lags)) {
		for _, single := range []bool{false, true} {
			for _, after := range []float64{0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.5, 3, 6} { // the first rental
				seed++
				s := newMonitoredCluster(seed, 60)
				s.Cloud.BootTimeFactor = 0.06
				for _, z := range []string{"a", "b"} {
					s.Cloud.Capacity["small/"+z+"/false"] = 5
					s.Cloud.Capacity["small/"+z+"/true"] = 3
				}
				addMachines(s, 2, 0)
				lags[lag](s)
				if single {
					for _, n := range s.controllerNames {
						s.Controllers[n].settings.Dispatch.Anywhere = 0
					}
					for i := range 30 {
						s.Submit(9+float64(i)/10, NewSubmission(fmt.Sprintf("wk-s%d", i), protocol.ShapeArray, 1, 1, 8, nil))
					}
				} else {
					submitArrays(s, "wk-a", 9, 4, 10, 8)
					s.Submit(10, NewSubmission("wk-g", protocol.ShapeGang, 3, 4, 8, nil))
				}
				met := false
				s.OnRequest = func(_, method, path string) {
					if method == "POST" && path == "/rentals" && !met {
						met = true
						rented++
						end := s.now.Seconds() + 0.6 + after
						if seed%2 == 0 {
							s.restartQuickly(end, 0.2+after/2, s.leaderProcess)
							s.restartQuickly(end+2, 5, s.leaderProcess)
							return
						}
						s.At(end, func() {
							for i, id := range s.machineIDs() {
								if w := s.Machines[id]; i%2 == 0 && len(w.attempts) > 0 {
									cutOff++
									s.cutLinksFor(s.now.Seconds(), s.now.Seconds()+25, s.machineLinks(w))
								}
							}
							s.crashFor(s.now.Seconds(), s.now.Seconds()+0.5, s.controllerNames...)
						})
					}
				}
				s.Start()
				s.Run(300)
				what := fmt.Sprintf("%s, single tasks %v, the leader ends %v s after the rental (seed %d)", lag, single, after, seed)
				for _, wrong := range s.checkDay(false) {
					t.Errorf("%s: %s", what, wrong)
				}
				for _, id := range s.machineIDs() { // by then idle for minutes
					if w := s.Machines[id]; !w.deleted && s.Controllers[s.leaderProcess().name].Controller.DebugState().Machines < len(s.runningMachines()) {
						t.Errorf("%s: %s is known to nobody and stays", what, w.id)
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

// runningMachines lists the machines that are up.
func (c *Cluster) runningMachines() (up []*Machine) {
	for _, id := range c.machineIDs() {
		if w := c.Machines[id]; w.running && !w.deleted {
			up = append(up, w)
		}
	}
	return up
}
