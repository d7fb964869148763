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
var handOvers = map[string]func(s *Cluster, at float64){
	"its owner ends":         func(s *Cluster, at float64) { s.restartQuickly(at, 8, s.largestOwner) },
	"its owner is back":      func(s *Cluster, at float64) { s.restartQuickly(at, 0.2, s.largestOwner) },
	"its owner is refused":   func(s *Cluster, at float64) { s.refuseControllersFor(at, at+9, largestOwnerOnly) },
	"its owner stands still": func(s *Cluster, at float64) { s.At(at, func() { s.largestOwner().Pause(10*time.Second, true) }) },
	"its owner is isolated": func(s *Cluster, at float64) {
		s.At(at, func() { s.after(12*time.Second, s.IsolateController(s.largestOwner().name)) })
	},
	"there and back": func(s *Cluster, at float64) {
		s.restartQuickly(at, 1, s.largestOwner)
		s.restartQuickly(at+2.5, 1, s.largestOwner)
	},
	"owner and leader end": func(s *Cluster, at float64) {
		s.restartQuickly(at, 5, s.largestOwner)
		s.restartQuickly(at+0.4, 0.3, s.leaderProcess)
	},
	"its owner loses machines": loseMachines,
}

// loseMachines has the owner of most machines reached by none of them, so that it gives
// its parts up.
func loseMachines(s *Cluster, at float64) {
	s.At(at, func() {
		n := s.largestOwner().name
		for _, id := range s.machineIDs() {
			s.cutLink(s.Machines[id].Address(), n)
			s.cutLink(s.Machines[id].Address(), s.apiAddress(n))
		}
		s.after(15*time.Second, func() {
			for _, id := range s.machineIDs() {
				s.healLink(s.Machines[id].Address(), n)
				s.healLink(s.Machines[id].Address(), s.apiAddress(n))
			}
		})
	})
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
				s := NewCluster(seed)
				s.ServeAPI()
				s.DropCancellationNotices = unsaid
				s.histories.FaultsOver = 70 * time.Second
				s.monitorWaitingJobs()
				addMachines(s, 12, 0)
				for i := range 48 {
					id, moment := fmt.Sprintf("wk-%d", i), at-2+0.25*float64(i)
					submit, tasks := 5+float64(i)/16, 1+i%2
					if i%3 == 0 { // begins just then
						submit = moment - 0.4
					}
					s.Submit(submit, NewSubmission(id, protocol.ShapeArray, tasks, 0.5, 90, nil))
					s.Cancel(moment, id)
				}
				handOvers[how](s, at)
				s.Start()
				s.Run(130)
				what := fmt.Sprintf("%s, cancellations not passed on %v, seed %d", how, unsaid, seed)
				for _, wrong := range s.checkDay(false) {
					t.Errorf("%s: %s", what, wrong)
				}
				for i := range 48 {
					id := fmt.Sprintf("wk-%d", i)
					if s.ReportedStatus(id) == protocol.JobCancelled {
						cancelled++
					}
					if n := s.histories.job(id).launchesAfterCancellation; n > 0 && !unsaid {
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
