// Package dispatch is the leader's choice of a part for each job (DESIGN;
// paper, section 4, "Meta-Scheduler"): a rank from the job's margin, then
// Load, then Ordering.
package dispatch

import (
	"math"

	"curlewspool/internal/protocol"
)

// Ranker gives ranks 0 to Max from the margins of the last jobs.
type Ranker struct {
	MaxRank   int
	Window    int
	margins   []float64
	marginSum float64
	oldest    int
}

// Margin is the latest start minus the submission. Jobs without a deadline
// have none; they count as far away (the paper generates 30% of its jobs
// without a deadline and leaves their rank open).
func Margin(j *protocol.Job) float64 {
	if j.Deadline <= 0 {
		return math.Inf(1)
	}
	return max(0, j.Deadline-j.Estimate)
}

// Rank classifies j and remembers its margin.
func (r *Ranker) Rank(j *protocol.Job) int {
	margin := Margin(j)
	rank := r.rankBySlice(margin)
	if !math.IsInf(margin, 1) {
		rank = r.correctByEstimate(rank, margin, j.Estimate)
		r.remember(margin)
	}
	return rank
}

// rankBySlice cuts [0, 2 E(margin)] into Max slices of doubling width; the
// narrowest, next to 0, gives Max.
func (r *Ranker) rankBySlice(margin float64) int {
	if len(r.margins) == 0 || math.IsInf(margin, 1) {
		return 0
	}
	unit := 2 * r.marginSum / float64(len(r.margins)) / (math.Exp2(float64(r.MaxRank)) - 1)
	edge := 0.0
	for k := 0; k < r.MaxRank; k++ {
		edge += unit * math.Exp2(float64(k))
		if margin < edge {
			return r.MaxRank - k
		}
	}
	return 0
}

// correctByEstimate weighs the margin against the run time, so that long jobs with a
// wide margin are not always last.
func (r *Ranker) correctByEstimate(rank int, margin, estimate float64) int {
	if estimate <= 0 {
		return rank
	}
	ratio := margin / estimate
	switch {
	case ratio >= 1:
		rank -= int(min(math.Floor(ratio), float64(r.MaxRank)))
	case ratio <= 0:
		rank = r.MaxRank
	default:
		rank += int(min(math.Floor(-math.Log2(ratio)), float64(r.MaxRank)))
	}
	return min(max(rank, 0), r.MaxRank)
}

func (r *Ranker) remember(margin float64) {
	if len(r.margins) < r.Window {
		r.margins = append(r.margins, margin)
	} else {
		r.marginSum -= r.margins[r.oldest]
		r.margins[r.oldest] = margin
		r.oldest = (r.oldest + 1) % r.Window
	}
	r.marginSum += margin
}

// RankSlots describe one part's queue: slot P has the work, and the number of
// jobs, queued with rank P or above.
type RankSlots struct {
	Work []float64
	Jobs []int
}

// NewRankSlots makes empty slots for ranks 0 to top.
func NewRankSlots(maxRank int) RankSlots {
	return RankSlots{make([]float64, maxRank+1), make([]int, maxRank+1)}
}

// Add counts a job, or a chunk of one, of the given rank.
func (s RankSlots) Add(rank int, work float64) {
	for p := 0; p <= rank && p < len(s.Work); p++ {
		s.Work[p] += work
		s.Jobs[p]++
	}
}

// WorkOf is what tasks of j weigh in a slot: estimate times cores and GPUs.
func WorkOf(j *protocol.Job, tasks int) float64 {
	return max(j.Estimate, 1) * (j.Cores + j.GPUs) * float64(tasks)
}

// ChooseShard picks the part for a job of the given rank among the eligible ones:
// the first with nothing in slot P; else the lowest slot P, ties by the
// number of jobs there.
func ChooseShard(shards []RankSlots, eligible []bool, rank int) int {
	best := -1
	for i := range shards {
		if !eligible[i] {
			continue
		}
		if shards[i].Work[rank] == 0 {
			return i
		}
		if best < 0 || shards[i].Work[rank] < shards[best].Work[rank] ||
			shards[i].Work[rank] == shards[best].Work[rank] && shards[i].Jobs[rank] < shards[best].Jobs[rank] {
			best = i
		}
	}
	return best
}
