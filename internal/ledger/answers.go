package ledger

import "time"

// answers follow how long a transaction's answer usually takes, so that one
// which is late can be told from a slow service.
//
// Some state services apply a transaction at once and answer a few in a hundred
// much later: on the users' loss day (simulated) 408 of 9,057 answers took 242 ms
// and all others 5 to 9, and a user's submission, a task's start or its end waited
// for nothing. Whether it is applied can be read.
type answers struct {
	usual time.Duration // nine of ten come within it; 0: none seen
}

// patience is how many times the usual an answer may take before it is late.
const patience = 4

// add learns from an answer. The quantile is followed by small steps, up by nine
// for each answer above it and down by one for each below: a few late answers
// move it little, and a slow spell is the usual after some tens of them.
func (a *answers) add(d time.Duration) {
	step := max(a.usual/40, time.Microsecond)
	switch {
	case a.usual == 0:
		a.usual = d
	case d > a.usual:
		a.usual += 9 * step
	default:
		a.usual = max(a.usual-step, time.Microsecond)
	}
}

// late gives the time after which an answer is late; false: not known, or so
// long that the request's own end comes first.
func (a *answers) late() (time.Duration, bool) {
	d := patience * a.usual
	return d, d > 0 && d < timeout/2
}

// look reads whether a batch whose answer is late has been applied. If it shows
// so, nothing is waited for; if not, nothing is concluded, as it may be yet. At
// most three batches are under way, each looked for once a send, so this takes few
// requests in an outage too.
func (l *Ledger) look(b *batch) {
	l.read(b, func(_ int, stored bool, stamp uint64) {
		if stored && !b.over {
			l.applied(b, stamp)
		}
	})
}
