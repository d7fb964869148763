package standin

import (
	"math/rand/v2"
	"testing"

	"curlewspool/internal/wire"
)

// Each kind of transaction is carried out at once and only its answer is lost, while
// the other controllers read, and go on from, what it wrote: a later write of the same
// key takes the place of the value by which its sender could tell that it was carried
// out. Parts change hands, machines come and go, jobs are accepted, moved, cancelled and
// done meanwhile, and users ask everywhere.
func TestAnswersLostWhileOthersRead(t *testing.T) {
	t.Parallel()
	met := map[string]int{}
	for k, kind := range writes {
		for seed := uint64(2100); seed < 2103; seed++ {
			s := judged(seed+10*uint64(k), 60)
			w := fleet(s, 6, 0)
			s.Cloud.Left["small/a/false"] = 3
			lost := s.lateWrites(7, 45, 0.7, 0.001, 0.003, kind.is)
			s.askEverywhere(rand.New(rand.NewPCG(seed, 5)), 0.2)
			s.uneven()
			s.Submit(10, Spec("wk-g", wire.Gang, 5, 4, 6, nil)) // larger than a part
			s.cutFor(9, 30, [][2]string{{"n0", "n2"}})          // signs of life
			s.refuseFor(11, 17, theLargest)
			s.At(14, func() { w[5].Die() })
			s.quick(22, 0.5, s.owner)
			s.quick(28, 4, s.leader)
			s.Start()
			s.Run(260)
			met[kind.name] += *lost
			for _, wrong := range s.verdict(false) {
				t.Errorf("%s, seed %d: %s", kind.name, seed, wrong)
			}
		}
		if met[kind.name] == 0 {
			t.Errorf("no answer was lost to %s", kind.name)
		}
	}
	t.Logf("answers lost: %v", met)
}
