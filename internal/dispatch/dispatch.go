// Package dispatch is the leader's choice of a part for each job (DESIGN;
// paper, section 4, "Meta-Scheduler"): a rank from the job's margin, then
// Load, then Ordering.
package dispatch

import (
	"math"

	"curlewspool/internal/wire"
)

// Ranker gives ranks 0 to Max from the margins of the last jobs.
type Ranker struct {
	Max    int
	Window int
	last   []float64
	sum    float64
	next   int
}

// Margin is the latest start minus the submission. Jobs without a deadline
// have none; they count as far away (the paper generates 30% of its jobs
// without a deadline and leaves their rank open).
func Margin(j *wire.Job) float64 {
	if j.Deadline <= 0 {
		return math.Inf(1)
	}
	return max(0, j.Deadline-j.Estimate)
}

// Rank classifies j and remembers its margin.
func (r *Ranker) Rank(j *wire.Job) int {
	m := Margin(j)
	rank := r.slice(m)
	if !math.IsInf(m, 1) {
		rank = r.correct(rank, m, j.Estimate)
		r.remember(m)
	}
	return rank
}

// slice cuts [0, 2 E(margin)] into Max slices of doubling width; the
// narrowest, next to 0, gives Max.
func (r *Ranker) slice(margin float64) int {
	if len(r.last) == 0 || math.IsInf(margin, 1) {
		return 0
	}
	unit := 2 * r.sum / float64(len(r.last)) / (math.Exp2(float64(r.Max)) - 1)
	edge := 0.0
	for k := 0; k < r.Max; k++ {
		edge += unit * math.Exp2(float64(k))
		if margin < edge {
			return r.Max - k
		}
	}
	return 0
}

// correct weighs the margin against the run time, so that long jobs with a
// wide margin are not always last.
func (r *Ranker) correct(rank int, margin, estimate float64) int {
	if estimate <= 0 {
		return rank
	}
	ratio := margin / estimate
	switch {
	case ratio >= 1:
		rank -= int(min(math.Floor(ratio), float64(r.Max)))
	case ratio <= 0:
		rank = r.Max
	default:
		rank += int(min(math.Floor(-math.Log2(ratio)), float64(r.Max)))
	}
	return min(max(rank, 0), r.Max)
}

func (r *Ranker) remember(m float64) {
	if len(r.last) < r.Window {
		r.last = append(r.last, m)
	} else {
		r.sum -= r.last[r.next]
		r.last[r.next] = m
		r.next = (r.next + 1) % r.Window
	}
	r.sum += m
}

// Slots describe one part's queue: slot P has the work, and the number of
// jobs, queued with rank P or above.
type Slots struct {
	Load  []float64
	Count []int
}

// NewSlots makes empty slots for ranks 0 to top.
func NewSlots(top int) Slots { return Slots{make([]float64, top+1), make([]int, top+1)} }

// Add counts a job, or a chunk of one, of the given rank.
func (s Slots) Add(rank int, work float64) {
	for p := 0; p <= rank && p < len(s.Load); p++ {
		s.Load[p] += work
		s.Count[p]++
	}
}

// Work is what tasks of j weigh in a slot: estimate times cores and GPUs.
func Work(j *wire.Job, tasks int) float64 {
	return max(j.Estimate, 1) * (j.Cores + j.GPUs) * float64(tasks)
}

// Choose picks the part for a job of the given rank among the eligible ones:
// the first with nothing in slot P; else the lowest slot P, ties by the
// number of jobs there.
func Choose(parts []Slots, eligible []bool, rank int) int {
	best := -1
	for i := range parts {
		if !eligible[i] {
			continue
		}
		if parts[i].Load[rank] == 0 {
			return i
		}
		if best < 0 || parts[i].Load[rank] < parts[best].Load[rank] ||
			parts[i].Load[rank] == parts[best].Load[rank] && parts[i].Count[rank] < parts[best].Count[rank] {
			best = i
		}
	}
	return best
}
