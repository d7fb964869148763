package userapi

import (
	"math/bits"
	"time"
)

// boundCount is the number of upper bounds of a histogram: 1 ms, 2 ms, 4 ms, ..., 8,192 ms.
const boundCount = 14

// Histogram counts durations in buckets whose upper bounds are powers of two of a millisecond. It
// is implemented here because controllers link no metrics library (docs/design.md, "Libraries").
type Histogram struct {
	Counts [boundCount + 1]uint64 `cbor:"c" json:"counts"` // the last bucket is for durations above all bounds
	Sum    float64                `cbor:"s" json:"sum_s"`  // seconds
}

// Add counts one duration.
func (h *Histogram) Add(d time.Duration) {
	d = max(d, 0)
	// Bucket k holds durations up to 2^k ms, after rounding up to whole milliseconds.
	milliseconds := uint64((d + time.Millisecond - 1) / time.Millisecond)
	bucket := bits.Len64(max(milliseconds, 1) - 1)
	h.Counts[min(bucket, boundCount)]++
	h.Sum += d.Seconds()
}

// Buckets returns the histogram in the form that Prometheus expects: the cumulative number of
// durations by upper bound in seconds, and the total number.
func (h *Histogram) Buckets() (cumulative map[float64]uint64, total uint64) {
	cumulative = map[float64]uint64{}
	for bucket, count := range h.Counts {
		total += count
		if bucket < boundCount {
			cumulative[float64(uint64(1)<<bucket)/1000] = total
		}
	}
	return cumulative, total
}

// SubmissionLatencies holds the latencies of submissions accepted since the process started. Total
// covers a whole submission; each other field covers one stage, in the order of the stages.
type SubmissionLatencies struct {
	Queued    Histogram `cbor:"q" json:"queue"`  // until the event loop starts to handle the request
	Placement Histogram `cbor:"c" json:"choose"` // until the leader has chosen the job's shards; for a waiting job, until its dependencies are looked up
	Batching  Histogram `cbor:"g" json:"commit"` // until the job's write is sent; includes the wait for the store's rate limit
	Store     Histogram `cbor:"s" json:"state"`  // until the store's response, including retries
	Total     Histogram `cbor:"a" json:"all"`
}

// ByStage returns the histograms by the stage names used in metrics.
func (l *SubmissionLatencies) ByStage() map[string]*Histogram {
	return map[string]*Histogram{
		"queue":  &l.Queued,
		"choose": &l.Placement,
		"commit": &l.Batching,
		"state":  &l.Store,
		"all":    &l.Total,
	}
}

// submissionTiming holds how long a submission waited for the event loop, and when it reached the
// later stages, by the process's monotonic clock.
type submissionTiming struct {
	queueDelay time.Duration // wait for the event loop
	receivedAt time.Duration // start of the handling on the event loop
	placedAt   time.Duration // end of the placement stage
	sentAt     time.Duration // the write was sent to the store
}

// record adds the latencies of a submission that was accepted at the time now.
func (l *SubmissionLatencies) record(timing submissionTiming, now time.Duration) {
	l.Queued.Add(timing.queueDelay)
	l.Placement.Add(timing.placedAt - timing.receivedAt)
	l.Batching.Add(timing.sentAt - timing.placedAt)
	l.Store.Add(now - timing.sentAt)
	l.Total.Add(timing.queueDelay + now - timing.receivedAt)
}
