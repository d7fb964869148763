package dispatch

import (
	"math"

	"curlewspool/internal/protocol"
)

// Ranker assigns each job a rank from 0, the least urgent, to MaxRank, the most urgent. It compares
// the job's margin with the margins of the last Window jobs that had a deadline.
type Ranker struct {
	MaxRank int
	Window  int

	margins   []float64 // ring buffer of up to Window margins
	marginSum float64
	oldest    int // index of the oldest margin once the ring buffer is full
}

// Margin returns the time in seconds from a job's submission to the latest start that meets its
// deadline (paper, section 4, "Meta-Scheduler"). The margin of a job without a deadline is infinite,
// so that the job has the lowest rank: the paper generates 30% of its jobs without a deadline and
// does not define their rank.
func Margin(job *protocol.Job) float64 {
	if job.Deadline <= 0 {
		return math.Inf(1)
	}
	return max(0, job.Deadline-job.Estimate)
}

// Rank returns a job's rank and adds its margin to the window. A job without a deadline has rank 0
// and is not added.
func (r *Ranker) Rank(job *protocol.Job) int {
	margin := Margin(job)
	if math.IsInf(margin, 1) {
		return 0
	}
	rank := r.correctByEstimate(r.rankByMargin(margin), margin, job.Estimate)
	r.recordMargin(margin)
	return rank
}

// rankByMargin divides the range [0, 2·E(margin)] into MaxRank intervals, each twice as wide as
// the one before (paper, section 4, figure 2). E(margin) is the mean of the margins in the window.
// A margin in the first interval, the narrowest, has rank MaxRank, and a margin in the last one has
// rank 1. A margin beyond the last interval has rank 0, as has every margin while the window is
// empty.
func (r *Ranker) rankByMargin(margin float64) int {
	if len(r.margins) == 0 {
		return 0
	}
	mean := r.marginSum / float64(len(r.margins))
	narrowest := 2 * mean / (math.Exp2(float64(r.MaxRank)) - 1)
	upperEdge := 0.0
	for interval := range r.MaxRank {
		upperEdge += narrowest * math.Exp2(float64(interval))
		if margin < upperEdge {
			return r.MaxRank - interval
		}
	}
	return 0
}

// correctByEstimate adjusts the rank by the ratio r = margin / estimate (paper, section 4), so
// that long jobs with a wide margin are not always last. If r >= 1, the rank is lowered by the
// floor of r. If r is between 1/2^(w+1) and 1/2^w, the rank is raised by w. A margin of 0 gives
// MaxRank. The result is limited to the range from 0 to MaxRank.
func (r *Ranker) correctByEstimate(rank int, margin, estimate float64) int {
	if estimate <= 0 {
		return rank
	}
	ratio := margin / estimate
	switch {
	case ratio >= 1:
		rank -= r.wholeRanks(ratio)
	case ratio <= 0:
		rank = r.MaxRank
	default:
		rank += r.wholeRanks(-math.Log2(ratio))
	}
	return min(max(rank, 0), r.MaxRank)
}

// wholeRanks rounds a correction down to whole ranks and limits it to MaxRank.
func (r *Ranker) wholeRanks(correction float64) int {
	return int(min(math.Floor(correction), float64(r.MaxRank)))
}

// recordMargin adds a margin to the window and replaces the oldest one if the window is full.
func (r *Ranker) recordMargin(margin float64) {
	if len(r.margins) < r.Window {
		r.margins = append(r.margins, margin)
	} else {
		r.marginSum -= r.margins[r.oldest]
		r.margins[r.oldest] = margin
		r.oldest = (r.oldest + 1) % r.Window
	}
	r.marginSum += margin
}
