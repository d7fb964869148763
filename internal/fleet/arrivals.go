package fleet

import (
	"time"

	"curlewspool/internal/wire"
)

// Arrivals follow how much work of spot jobs comes in, by rank: what waits with
// a low rank shares the machines not only with what waits beside it, but with
// all of a higher rank that will have come before it starts.
type Arrivals struct {
	step  time.Duration // length of a bucket
	slots [buckets]slot
}

// buckets is how many steps the rate is taken over. The two after each other in
// which most came are left out: a rush at the start of a day, or one large array,
// is a queue, which is counted as such, and says nothing of what is to come.
// (With one left out, a rush that fell across two steps had hundreds of machines
// rented for what never came: a price of 3.2 for one of 2.2.)
const buckets = 12

type slot struct {
	n    int64          // which step it is
	work [ranks]float64 // core-seconds that came in it
}

// ranks is the number of users' priorities.
const ranks = 4

// NewArrivals remembers what came in the given time.
func NewArrivals(span time.Duration) *Arrivals {
	return &Arrivals{step: max(span/buckets, time.Millisecond)}
}

// Note takes a job that was accepted at the given time, which may be long ago.
// Times are of day: what was accepted before a restart counts.
func (a *Arrivals) Note(j *wire.Job, at, now time.Duration) {
	n := int64(at / a.step)
	if !j.Spot || n > int64(now/a.step) || n <= int64(now/a.step)-buckets {
		return
	}
	s := &a.slots[n%buckets]
	if s.n > n {
		return
	}
	if s.n != n {
		*s = slot{n: n}
	}
	s.work[min(max(j.Rank, 0), ranks-1)] += float64(j.Tasks) * max(j.Cores, j.GPUs) * max(j.Estimate, 1)
}

// Above is how many cores the work of ranks above the given one takes that
// comes at the pace of late.
func (a *Arrivals) Above(rank int, now time.Duration) float64 {
	last := int64(now / a.step)
	sum, most, before := 0.0, 0.0, 0.0
	for n := last - buckets + 1; n < last; n++ { // the step under way is not over
		w := 0.0
		if s := &a.slots[(n%buckets+buckets)%buckets]; s.n == n {
			for r := max(rank+1, 0); r < ranks; r++ {
				w += s.work[r]
			}
		}
		sum += w
		most = max(most, before+w)
		before = w
	}
	return (sum - most) / (float64(buckets-3) * a.step.Seconds())
}
