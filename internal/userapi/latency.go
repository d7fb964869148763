package userapi

import (
	"math/bits"
	"time"
)

// bucketBounds is the number of a histogram's bounds: 1 ms, 2 ms, 4 ms, ... 8,192 ms.
const bucketBounds = 14

// Histogram counts durations by powers of two of a millisecond. (Written here
// since a controller links no metrics library: docs/design.md, "Libraries".)
type Histogram struct {
	Counts [bucketBounds + 1]uint64 `cbor:"c" json:"counts"` // the last: above all bounds
	Sum    float64                  `cbor:"s" json:"sum_s"`  // seconds
}

// Add counts one duration.
func (h *Histogram) Add(d time.Duration) {
	d = max(d, 0)
	// Of whole milliseconds, rounded up: up to 2^k are in bucket k.
	ms := uint64((d + time.Millisecond - 1) / time.Millisecond)
	h.Counts[min(bits.Len64(max(ms, 1)-1), bucketBounds)]++
	h.Sum += d.Seconds()
}

// Buckets gives the histogram as Prometheus wants it: the number of durations up
// to each bound in seconds, and of all.
func (h *Histogram) Buckets() (upTo map[float64]uint64, all uint64) {
	upTo = map[float64]uint64{}
	for k, c := range h.Counts {
		all += c
		if k < bucketBounds {
			upTo[float64(uint64(1)<<k)/1000] = all
		}
	}
	return upTo, all
}

// SubmissionLatencies say where the time of accepted submissions goes, since the process
// began.
type SubmissionLatencies struct {
	Queued       Histogram `cbor:"q" json:"queue"`  // until the owner's loop takes it up
	Placement    Histogram `cbor:"c" json:"choose"` // until its parts are chosen (the leader's answer)
	Batching     Histogram `cbor:"g" json:"commit"` // until it is sent with others, within the budget of changes
	StateService Histogram `cbor:"s" json:"state"`  // until the state service's answer, repeats included
	Total        Histogram `cbor:"a" json:"all"`
}

// ByStage lists them with their names.
func (t *SubmissionLatencies) ByStage() map[string]*Histogram {
	return map[string]*Histogram{"queue": &t.Queued, "choose": &t.Placement, "commit": &t.Batching, "state": &t.StateService, "all": &t.Total}
}

// submissionTiming of one submission, by the process's steady clock.
type submissionTiming struct {
	queued                       time.Duration // how long it waited for the loop
	receivedAt, placedAt, sentAt time.Duration
}

func (t *SubmissionLatencies) record(s submissionTiming, now time.Duration) {
	t.Queued.Add(s.queued)
	t.Placement.Add(s.placedAt - s.receivedAt)
	t.Batching.Add(s.sentAt - s.placedAt)
	t.StateService.Add(now - s.sentAt)
	t.Total.Add(s.queued + now - s.receivedAt)
}
