package standin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// askEverywhere has users ask at all controllers, again and again within milliseconds,
// and repeat the submission, right after a job was accepted, done or confirmed as
// cancelled; a share of the jobs is cancelled at once.
func (s *Sim) askEverywhere(r *rand.Rand, cancelled float64) {
	s.OnTold = func(id, status string) {
		if status == wire.Running {
			return
		}
		cancel := status == wire.Pending && r.Float64() < cancelled
		for i, n := range s.all {
			for k := range 4 {
				what := []string{"ask", "submit", "ask", "ask"}[(i+k)%4]
				if cancel && k == 1 && i == int(s.now)%len(s.all) {
					what = "cancel"
				}
				s.after(time.Duration(r.IntN(15*(k+1)))*time.Millisecond, func() { s.again(n, what, s.subs[id]) })
			}
		}
	}
}

// Whatever a user was told first, no controller answers something older to a question
// or a repeated submission that comes milliseconds later: not one whose news are late,
// that has just begun, that the state service refuses, or whose transactions get no
// answer though they are carried out.
func TestUsersAskAllNodesWithinMilliseconds(t *testing.T) {
	t.Parallel()
	troubles := map[string]func(s *Sim, r *rand.Rand){
		"none":                  func(*Sim, *rand.Rand) {},
		"changes are told late": func(s *Sim, r *rand.Rand) { s.slowAt("/changes", r, 6, 40, 2) },
		"transactions slow":     func(s *Sim, r *rand.Rand) { s.slowAt("/multi", r, 6, 40, 1.5) },
		"answers lost":          func(s *Sim, r *rand.Rand) { s.late(6, 40, 0.4, 0.001, 0.002, "/multi") },
		"written late":          func(s *Sim, r *rand.Rand) { s.late(6, 40, 0.2, 2, 12, "/multi") },
		"leaders end": func(s *Sim, r *rand.Rand) {
			s.quick(10, 0.3, s.leader)
			s.quick(16, 0.3, s.owner)
			s.quick(22, 4, s.leader)
		},
		"one controller refused":   func(s *Sim, r *rand.Rand) { s.refuseFor(8, 24, theLeader) },
		"one controller isolated":  func(s *Sim, r *rand.Rand) { s.At(9, func() { s.after(15*time.Second, s.Isolate(s.leader().name)) }) },
		"one controller frozen":    func(s *Sim, r *rand.Rand) { s.At(9, func() { s.owner().Freeze(9*time.Second, true) }) },
		"cancellations not passed": func(s *Sim, r *rand.Rand) { s.Unsaid = true; s.slowAt("/changes", r, 6, 40, 2) },
	}
	looks, ends := 0, map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(troubles)) {
		for seed := uint64(2000); seed < 2003; seed++ {
			s := judged(seed, 60)
			r := rand.New(rand.NewPCG(seed, 3))
			fleet(s, 6, 0)
			for i := range 16 {
				shape, tasks := wire.Array, 1+i%5
				if i%5 == 4 {
					shape, tasks = wire.Gang, 2
				}
				s.Submit(6+1.5*float64(i), Spec(fmt.Sprintf("wk-%d", i), shape, tasks, 1, 1+6*r.Float64(), nil))
			}
			s.askEverywhere(r, 0.3)
			s.OnCall = func(from, _, path string) {
				if from == "user" && strings.HasPrefix(path, "/v2/runs") {
					looks++
				}
			}
			troubles[name](s, r)
			s.Start()
			s.Run(150)
			for _, wrong := range s.verdict(false) {
				t.Errorf("%s, seed %d: %s", name, seed, wrong)
			}
			for id := range s.jobs {
				ends[s.Told(id)]++
			}
		}
	}
	if ends[wire.Done] < 200 || ends[wire.Withdrawn] < 60 || looks < 10000 {
		t.Errorf("%v after %d questions, too few to tell", ends, looks)
	}
}

// refuseFor has the state service refuse some controllers alone from one time to
// another, in seconds.
func (s *Sim) refuseFor(from, to float64, who func(s *Sim) []string) {
	s.At(from, func() {
		for _, n := range who(s) {
			s.Refuse(n, "state", true)
			s.At(to, func() { s.Refuse(n, "state", false) })
		}
	})
}
