package autoscaler

import (
	"time"

	"curlewspool/internal/protocol"
)

const (
	// bucketCount is the number of time buckets that the measured time span is divided into.
	bucketCount = 12
	// averagedBucketCount is the number of buckets that the rate is averaged over: all but the
	// current one and the two consecutive ones with the most work. Those two may hold a burst,
	// such as a large array or the start of a working day. The waiting jobs of a burst are already
	// counted as demand, and a burst does not predict later arrivals. Leaving out only one bucket is
	// not enough: after a burst across two buckets, hundreds of machines were rented for work that
	// never arrived, and the cost rose by almost a half (3.2 instead of 2.2).
	averagedBucketCount = bucketCount - 3
	// priorityCount is the number of priorities that users can choose from.
	priorityCount = 4
)

// ArrivalRate measures how much work of spot jobs is submitted, by priority. A waiting job of
// low priority competes for machines with the other waiting jobs and also with all jobs of
// higher priority that are submitted before the waiting job starts.
type ArrivalRate struct {
	bucketLength time.Duration
	buckets      [bucketCount]arrivalBucket // ring buffer, indexed by bucket number modulo bucketCount
}

// arrivalBucket holds the work submitted during one interval of the length bucketLength.
type arrivalBucket struct {
	number                int64 // number of the interval, counted from the Unix epoch
	coreSecondsByPriority [priorityCount]float64
}

// coreSecondsAbovePriority returns the work of all priorities above the given one, in core-seconds.
func (b *arrivalBucket) coreSecondsAbovePriority(priority int) float64 {
	sum := 0.0
	for higher := max(priority+1, 0); higher < priorityCount; higher++ {
		sum += b.coreSecondsByPriority[higher]
	}
	return sum
}

// NewArrivalRate returns an empty ArrivalRate that measures over the given time span.
func NewArrivalRate(span time.Duration) *ArrivalRate {
	return &ArrivalRate{bucketLength: max(span/bucketCount, time.Millisecond)}
}

// Record adds a job that was accepted at the given time. It ignores jobs that may not use spot
// machines and jobs accepted outside the measured time span. Both times are wall-clock times since
// the Unix epoch, so that jobs accepted before a restart of the process count.
func (a *ArrivalRate) Record(job *protocol.Job, acceptedAt, now time.Duration) {
	number, current := int64(acceptedAt/a.bucketLength), int64(now/a.bucketLength)
	if !job.AllowSpot || number > current || number <= current-bucketCount {
		return
	}
	bucket := a.bucket(number)
	if bucket.number > number {
		return
	}
	if bucket.number != number {
		*bucket = arrivalBucket{number: number}
	}
	priority := min(max(job.Priority, 0), priorityCount-1)
	bucket.coreSecondsByPriority[priority] += float64(job.Tasks) * max(job.Cores, job.GPUs) * max(job.Estimate, 1)
}

// bucket returns the element of the ring buffer for the interval with the given number. The
// element may still hold the work of another interval.
func (a *ArrivalRate) bucket(number int64) *arrivalBucket {
	return &a.buckets[(number%bucketCount+bucketCount)%bucketCount]
}

// CoresAbovePriority returns the average number of cores that jobs with priorities above the given
// one will take if they continue to be submitted at the recent rate.
func (a *ArrivalRate) CoresAbovePriority(priority int, now time.Duration) float64 {
	current := int64(now / a.bucketLength)
	sum, largestPair, previous := 0.0, 0.0, 0.0
	for number := current - bucketCount + 1; number < current; number++ {
		work := 0.0
		if bucket := a.bucket(number); bucket.number == number {
			work = bucket.coreSecondsAbovePriority(priority)
		}
		sum += work
		largestPair = max(largestPair, previous+work)
		previous = work
	}
	return (sum - largestPair) / (averagedBucketCount * a.bucketLength.Seconds())
}
