package autoscaler

import (
	"time"

	"curlewspool/internal/protocol"
)

// ArrivalRate follow how much work of spot jobs comes in, by rank: what waits with
// a low rank shares the machines not only with what waits beside it, but with
// all of a higher rank that will have come before it starts.
type ArrivalRate struct {
	bucketLength time.Duration // length of a bucket
	buckets      [bucketCount]arrivalBucket
}

// bucketCount is how many steps the rate is taken over. The two after each other in
// which most came are left out: a rush at the start of a day, or one large array,
// is a queue, which is counted as such, and says nothing of what is to come.
// (With one left out, a rush that fell across two steps had hundreds of machines
// rented for what never came: a price of 3.2 for one of 2.2.)
const bucketCount = 12

type arrivalBucket struct {
	number            int64              // which step it is
	coreSecondsByRank [rankCount]float64 // core-seconds that came in it
}

// rankCount is the number of users' priorities.
const rankCount = 4

// NewArrivalRate remembers what came in the given time.
func NewArrivalRate(span time.Duration) *ArrivalRate {
	return &ArrivalRate{bucketLength: max(span/bucketCount, time.Millisecond)}
}

// Record takes a job that was accepted at the given time, which may be long ago.
// Times are of day: what was accepted before a restart counts.
func (a *ArrivalRate) Record(j *protocol.Job, at, now time.Duration) {
	n := int64(at / a.bucketLength)
	if !j.AllowSpot || n > int64(now/a.bucketLength) || n <= int64(now/a.bucketLength)-bucketCount {
		return
	}
	s := &a.buckets[n%bucketCount]
	if s.number > n {
		return
	}
	if s.number != n {
		*s = arrivalBucket{number: n}
	}
	s.coreSecondsByRank[min(max(j.Priority, 0), rankCount-1)] += float64(j.Tasks) * max(j.Cores, j.GPUs) * max(j.Estimate, 1)
}

// CoresAboveRank is how many cores the work of ranks above the given one takes that
// comes at the pace of late.
func (a *ArrivalRate) CoresAboveRank(rank int, now time.Duration) float64 {
	last := int64(now / a.bucketLength)
	sum, most, before := 0.0, 0.0, 0.0
	for n := last - bucketCount + 1; n < last; n++ { // the step under way is not over
		w := 0.0
		if s := &a.buckets[(n%bucketCount+bucketCount)%bucketCount]; s.number == n {
			for r := max(rank+1, 0); r < rankCount; r++ {
				w += s.coreSecondsByRank[r]
			}
		}
		sum += w
		most = max(most, before+w)
		before = w
	}
	return (sum - most) / (float64(bucketCount-3) * a.bucketLength.Seconds())
}
