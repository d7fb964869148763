package dispatch

import (
	"testing"

	"curlewspool/internal/protocol"
)

// Mean margin 100 and max 3: [0,200] is cut into 28.6, 57.1 and 114.3.
func TestRankBySliceAndEstimate(t *testing.T) {
	for _, c := range []struct {
		deadline, estimate float64
		want               int
	}{
		{20 + 40, 40, 3},   // margin 20, narrowest slice 3; ratio 0.5 adds 1, clamped
		{50 + 400, 400, 3}, // margin 50, slice 2; ratio 1/8 adds 3, clamped
		{50 + 51, 51, 2},   // slice 2; ratio just under 1 adds 0
		{50 + 50, 50, 1},   // slice 2; ratio 1 takes 1
		{50 + 10, 10, 0},   // slice 2; ratio 5 takes 5, clamped
		{500 + 600, 600, 0},
		{0, 10, 0}, // no deadline
	} {
		r := &Ranker{MaxRank: 3, Window: 10}
		r.Rank(&protocol.Job{Deadline: 200, Estimate: 100})
		if got := r.Rank(&protocol.Job{Deadline: c.deadline, Estimate: c.estimate}); got != c.want {
			t.Errorf("deadline %v, estimate %v: rank %d, want %d", c.deadline, c.estimate, got, c.want)
		}
	}
}

func TestRankWindow(t *testing.T) {
	r := &Ranker{MaxRank: 4, Window: 2}
	for _, d := range []float64{1000, 20, 20} {
		r.Rank(&protocol.Job{Deadline: d})
	}
	if r.marginSum != 40 {
		t.Errorf("the window holds %v, want the last two margins, 40", r.marginSum)
	}
}

func TestChooseShard(t *testing.T) {
	all := []bool{true, true, true}
	slots := func() []RankSlots { return []RankSlots{NewRankSlots(3), NewRankSlots(3), NewRankSlots(3)} }
	s := slots()
	s[0].Add(1, 50) // low rank work does not count for a high one
	if got := ChooseShard(s, all, 2); got != 0 {
		t.Errorf("part %d, want the first with nothing in slot 2", got)
	}
	for i, w := range []float64{30, 20, 40} {
		s[i].Add(3, w)
	}
	if got := ChooseShard(s, all, 2); got != 1 {
		t.Errorf("part %d, want the least loaded", got)
	}
	if got := ChooseShard(s, []bool{true, false, true}, 2); got != 0 {
		t.Errorf("part %d, want the least loaded that is eligible", got)
	}
	s = slots()
	s[0].Add(3, 10)
	s[0].Add(3, 10)
	s[1].Add(3, 20)
	s[2].Add(3, 30)
	if got := ChooseShard(s, all, 2); got != 1 {
		t.Errorf("part %d, want the one with fewer jobs among equal loads", got)
	}
}
