package kvstore

import "time"

// latencyEstimate follows how long a transaction's answer usually takes, so that one
// which is late can be told from a slow service.
//
// Some key-value services apply a transaction at once and answer a few in a hundred
// much later: on the users' loss day (simulated) 408 of 9,057 answers took 242 ms
// and all others 5 to 9, and a user's submission, a task's start or its end waited
// for nothing. Whether the transaction is applied can be read.
type latencyEstimate struct {
	p90 time.Duration // nine of ten answers come within it; 0: none observed
}

const (
	// lateFactor is how many times the usual an answer may take before it is late.
	lateFactor = 4
	// stepDivisor sets how fast the estimate moves: one step is this part of it.
	stepDivisor = 40
	// minLatencyStep is the smallest step, and the smallest estimate.
	minLatencyStep = time.Microsecond
	// p90StepsUp steps up for an answer above against one step down for one below
	// balance where nine of ten answers are below.
	p90StepsUp = 9
)

// observe learns from an answer's latency. The quantile is followed by small steps: a
// few late answers move it little, and after some tens of them a slow spell is the usual.
func (e *latencyEstimate) observe(latency time.Duration) {
	step := max(e.p90/stepDivisor, minLatencyStep)
	switch {
	case e.p90 == 0:
		e.p90 = latency
	case latency > e.p90:
		e.p90 += p90StepsUp * step
	default:
		e.p90 = max(e.p90-step, minLatencyStep)
	}
}

// lateAfter gives the time after which an answer is late; false: not known, or so
// long that the request's own timeout comes first.
func (e *latencyEstimate) lateAfter() (time.Duration, bool) {
	limit := lateFactor * e.p90
	return limit, limit > 0 && limit < requestTimeout/2
}
