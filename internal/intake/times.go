package intake

import (
	"math/bits"
	"time"
)

// bounds is the number of a histogram's bounds: 1 ms, 2 ms, 4 ms, ... 8,192 ms.
const bounds = 14

// Histogram counts durations by powers of two of a millisecond. (Written here
// since a controller links no metrics library: docs/design.md, "Libraries".)
type Histogram struct {
	Counts [bounds + 1]uint64 `cbor:"c" json:"counts"` // the last: above all bounds
	Sum    float64            `cbor:"s" json:"sum_s"`  // seconds
}

// Add counts one duration.
func (h *Histogram) Add(d time.Duration) {
	d = max(d, 0)
	// Of whole milliseconds, rounded up: up to 2^k are in bucket k.
	ms := uint64((d + time.Millisecond - 1) / time.Millisecond)
	h.Counts[min(bits.Len64(max(ms, 1)-1), bounds)]++
	h.Sum += d.Seconds()
}

// Buckets gives the histogram as Prometheus wants it: the number of durations up
// to each bound in seconds, and of all.
func (h *Histogram) Buckets() (upTo map[float64]uint64, all uint64) {
	upTo = map[float64]uint64{}
	for k, c := range h.Counts {
		all += c
		if k < bounds {
			upTo[float64(uint64(1)<<k)/1000] = all
		}
	}
	return upTo, all
}

// Times say where the time of accepted submissions goes, since the process
// began.
type Times struct {
	Queue  Histogram `cbor:"q" json:"queue"`  // until the owner's loop takes it up
	Choose Histogram `cbor:"c" json:"choose"` // until its parts are chosen (the leader's answer)
	Commit Histogram `cbor:"g" json:"commit"` // until it is sent with others, within the budget of changes
	State  Histogram `cbor:"s" json:"state"`  // until the state service's answer, repeats included
	All    Histogram `cbor:"a" json:"all"`
}

// Parts lists them with their names.
func (t *Times) Parts() map[string]*Histogram {
	return map[string]*Histogram{"queue": &t.Queue, "choose": &t.Choose, "commit": &t.Commit, "state": &t.State, "all": &t.All}
}

// stamps of one submission, by the process's steady clock.
type stamps struct {
	queued               time.Duration // how long it waited for the loop
	came, chosen, sentAt time.Duration
}

func (t *Times) accepted(s stamps, now time.Duration) {
	t.Queue.Add(s.queued)
	t.Choose.Add(s.chosen - s.came)
	t.Commit.Add(s.sentAt - s.chosen)
	t.State.Add(now - s.sentAt)
	t.All.Add(s.queued + now - s.came)
}
