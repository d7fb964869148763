package standin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// One-task jobs come four a second for two minutes, a quarter of them cancelled at
// random moments of their lives, with a state service that takes no more changes than
// they need, while leaders and owners change. None is forgotten, begins after its
// cancellation was confirmed, or is left; what was accepted is done or cancelled.
func TestRushOfSingleTasksWithoutChangesToSpare(t *testing.T) {
	t.Parallel()
	troubles := map[string]func(s *Sim){
		"none":               func(*Sim) {},
		"leaders end":        func(s *Sim) { s.quick(30, 0.3, s.leader); s.quick(60, 7, s.leader); s.quick(90, 0.3, s.leader) },
		"all end":            func(s *Sim) { s.crash(50, 52.5, s.all...) },
		"one is refused":     func(s *Sim) { s.refuseFor(40, 65, theLargest) },
		"writes are late":    func(s *Sim) { s.late(40, 70, 0.1, 2, 12, "/multi"); s.quick(55, 0.3, s.leader) },
		"answers are lost":   func(s *Sim) { s.late(40, 70, 0.2, 0.001, 0.002, "/multi"); s.quick(55, 0.3, s.leader) },
		"commands are late":  func(s *Sim) { s.late(40, 70, 0.1, 2, 16, "/orders"); s.quick(55, 4, s.owner) },
		"machines lost, too": func(s *Sim) { s.cutFor(40, 70, s.links(s.Workers["i-002"])); s.quick(55, 4, s.owner) },
	}
	for _, name := range slices.Sorted(maps.Keys(troubles)) {
		for seed := uint64(2700); seed < 2702; seed++ {
			s := New(seed)
			s.API()
			for _, n := range s.all {
				s.Nodes[n].set.Deployment.State.WriteRPS = 14
			}
			s.State.changes = newBudget(14, 14)
			s.history.Calm = 150 * time.Second
			s.watchWaiting()
			r := rand.New(rand.NewPCG(seed, 9))
			fleet(s, 10, 0)
			for i := range 480 {
				id, at := fmt.Sprintf("wk-%d", i), 8+float64(i)/4
				s.Submit(at, Spec(id, wire.Array, 1, 1, 2+6*r.Float64(), nil))
				if r.IntN(4) == 0 {
					s.Abort(at+9*r.Float64()*r.Float64(), id)
				}
			}
			troubles[name](s)
			s.Start()
			s.Run(320)
			what := fmt.Sprintf("%s, seed %d", name, seed)
			for _, wrong := range s.verdict(false) {
				t.Errorf("%s: %s", what, wrong)
			}
			ordered, ends := 0, map[string]int{}
			for id := range s.jobs {
				ordered += s.history.job(id).ordered
				ends[s.Told(id)]++
			}
			if ordered > 0 && name != "commands are late" {
				t.Errorf("%s: %d tasks were ordered to begin after their cancellation", what, ordered)
			}
			if s.State.changes.Refused < 20 {
				t.Errorf("%s: only %d transactions were refused for want of changes", what, s.State.changes.Refused)
			}
			if ends[wire.Withdrawn] < 60 {
				t.Errorf("%s: only %d of 480 jobs were cancelled", what, ends[wire.Withdrawn])
			}
		}
	}
}
