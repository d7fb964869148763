// Package remotelease implements the timing rules of remote leases, under which tasks of one
// cluster (home) run in another (host). It does no I/O, and callers pass the current time.
//
// The rules ensure that no task runs in both clusters. The home cluster runs a task again only in two
// cases: the host has durably confirmed that the remote lease has ended and that none of its tasks
// runs, or the remote lease has expired. A renewal is valid for one term, counted from the moment at
// which the host *sent* the request that home answered with "hold". When the term is over, tasks on
// the host's machines may run on for at most one machine lease. docs/federation.md proves that these
// rules suffice.
package remotelease

import "time"

// Rules holds the values on which both clusters base their decisions about a remote lease.
type Rules struct {
	Term         time.Duration // how long a renewal is valid, by the host's clock, from when the host sent the request
	MachineLease time.Duration // length of a machine lease in the host cluster
	ClockDrift   float64       // maximum rate error of a clock, as a fraction
}

// ExpiresAfter returns how long after the last answer "hold" tasks of the remote lease may run in the
// host cluster, by home's clock. It is the term plus the machine lease, with a factor for clock drift,
// plus a margin of a hundredth of the machine lease. In the worst case, home's clock is fast by
// ClockDrift, and the clocks that measure the term and the machine lease are slow by ClockDrift. That
// requires a factor of (1+ClockDrift)/(1-ClockDrift), about 1+2*ClockDrift. The factor used,
// 1+4*ClockDrift, is larger.
func (r Rules) ExpiresAfter() time.Duration {
	return time.Duration(float64(r.Term+r.MachineLease)*(1+4*r.ClockDrift)) + r.MachineLease/100
}

// MaxTerm returns a term that is short enough for the cancellation bound: every task is terminated
// within cancelBound after its job's cancellation, even if the host cannot be notified. The result is
// about a tenth below the longest such term. It is 0 if cancelBound leaves no time for a term.
func MaxTerm(cancelBound, machineLease time.Duration, clockDrift float64) time.Duration {
	bound := float64(cancelBound - machineLease - machineLease/100)
	return max(0, time.Duration(bound/(1+4*clockDrift))*9/10-machineLease/100)
}

// Validity is a host controller's view of one remote lease: until when the controller may let
// tasks of the lease run. A Validity is never stored, because the clock of a restarted controller has
// no relation to the clock of the previous process. After a restart, the Validity starts as not valid.
type Validity struct{ validUntil time.Duration }

// Renew records the answer "hold" to a renewal request that was sent at sentAt.
func (v *Validity) Renew(sentAt, term time.Duration) {
	v.validUntil = max(v.validUntil, sentAt+term)
}

// Revoke ends the validity of the remote lease at once.
func (v *Validity) Revoke() { v.validUntil = 0 }

// IsValid reports whether tasks of the remote lease may be started and may continue to run.
func (v *Validity) IsValid(now time.Duration) bool { return now < v.validUntil }

// Remaining returns how much longer the remote lease is valid, or 0 if it is not valid.
func (v *Validity) Remaining(now time.Duration) time.Duration { return max(0, v.validUntil-now) }
