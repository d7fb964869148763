package kvstore

import "time"

// latencyEstimate follow how long a transaction's answer usually takes, so that one
// which is late can be told from a slow service.
//
// Some state services apply a transaction at once and answer a few in a hundred
// much later: on the users' loss day (simulated) 408 of 9,057 answers took 242 ms
// and all others 5 to 9, and a user's submission, a task's start or its end waited
// for nothing. Whether it is applied can be read.
type latencyEstimate struct {
	p90 time.Duration // nine of ten come within it; 0: none seen
}

// lateFactor is how many times the usual an answer may take before it is late.
const lateFactor = 4

// observe learns from an answer. The quantile is followed by small steps, up by nine
// for each answer above it and down by one for each below: a few late answers
// move it little, and a slow spell is the usual after some tens of them.
func (e *latencyEstimate) observe(d time.Duration) {
	step := max(e.p90/40, time.Microsecond)
	switch {
	case e.p90 == 0:
		e.p90 = d
	case d > e.p90:
		e.p90 += 9 * step
	default:
		e.p90 = max(e.p90-step, time.Microsecond)
	}
}

// lateAfter gives the time after which an answer is late; false: not known, or so
// long that the request's own end comes first.
func (e *latencyEstimate) lateAfter() (time.Duration, bool) {
	d := lateFactor * e.p90
	return d, d > 0 && d < requestTimeout/2
}

// checkStored reads whether a batch whose answer is late has been applied. If it shows
// so, nothing is waited for; if not, nothing is concluded, as it may be yet. At
// most three batches are under way, each looked for once a send, so this takes few
// requests in an outage too.
func (s *Store) checkStored(b *batch) {
	s.readStored(b, func(_ int, stored bool, stamp uint64) {
		if stored && !b.isResolved {
			s.handleApplied(b, stamp)
		}
	})
}
