package standin

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// handOvers are the ways in which one controller's work changes hands at a time.
var handOvers = map[string]func(s *Sim, at float64){
	"its owner ends":           func(s *Sim, at float64) { s.quick(at, 8, s.largest) },
	"its owner is back":        func(s *Sim, at float64) { s.quick(at, 0.2, s.largest) },
	"its owner is refused":     func(s *Sim, at float64) { s.refuseFor(at, at+9, theLargest) },
	"its owner stands still":   func(s *Sim, at float64) { s.At(at, func() { s.largest().Freeze(10*time.Second, true) }) },
	"its owner is isolated":    func(s *Sim, at float64) { s.At(at, func() { s.after(12*time.Second, s.Isolate(s.largest().name)) }) },
	"there and back":           func(s *Sim, at float64) { s.quick(at, 1, s.largest); s.quick(at+2.5, 1, s.largest) },
	"owner and leader end":     func(s *Sim, at float64) { s.quick(at, 5, s.largest); s.quick(at+0.4, 0.3, s.leader) },
	"its owner loses machines": loseWorkers,
}

// loseWorkers has the owner of most machines reached by none of them, so that it gives
// its parts up.
func loseWorkers(s *Sim, at float64) {
	s.At(at, func() {
		n := s.largest().name
		for _, id := range s.workerIDs() {
			s.cut(s.Workers[id].Addr(), n)
			s.cut(s.Workers[id].Addr(), s.api(n))
		}
		s.after(15*time.Second, func() {
			for _, id := range s.workerIDs() {
				s.heal(s.Workers[id].Addr(), n)
				s.heal(s.Workers[id].Addr(), s.api(n))
			}
		})
	})
}

// Jobs are cancelled in the seconds in which one controller's work changes hands, one
// each quarter of a second, some of them as they begin. Whoever has the work by then:
// within cancel_s nothing is left, and no controller that has heard of the cancellation
// orders anything of it to begin.
func TestCancelledWhileWorkChangesHands(t *testing.T) {
	t.Parallel()
	const at = 14.0
	cancelled := 0
	for _, how := range slices.Sorted(maps.Keys(handOvers)) {
		for _, unsaid := range []bool{false, true} {
			for seed := uint64(2400); seed < 2402; seed++ {
				s := New(seed)
				s.API()
				s.Unsaid = unsaid
				s.history.Calm = 70 * time.Second
				s.watchWaiting()
				fleet(s, 12, 0)
				for i := range 48 {
					id, moment := fmt.Sprintf("wk-%d", i), at-2+0.25*float64(i)
					submit, tasks := 5+float64(i)/16, 1+i%2
					if i%3 == 0 { // begins just then
						submit = moment - 0.4
					}
					s.Submit(submit, Spec(id, wire.Array, tasks, 0.5, 90, nil))
					s.Abort(moment, id)
				}
				handOvers[how](s, at)
				s.Start()
				s.Run(130)
				what := fmt.Sprintf("%s, cancellations not passed on %v, seed %d", how, unsaid, seed)
				for _, wrong := range s.verdict(false) {
					t.Errorf("%s: %s", what, wrong)
				}
				for i := range 48 {
					id := fmt.Sprintf("wk-%d", i)
					if s.Told(id) == wire.Withdrawn {
						cancelled++
					}
					if n := s.history.job(id).ordered; n > 0 && !unsaid {
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
