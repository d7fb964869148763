package settings

import (
	"fmt"
	"math"
)

// This file computes the upper bound on the time from the confirmation of a cancellation until the
// last task of the job has ended (docs/design.md, "The bound of a cancellation").

const (
	// storeLeaseShare limits the TTL of a store lease to this share of the difference between
	// cancel_s and lease_s. The rest covers delays without a known bound: timers that fire late and
	// reports in transit.
	storeLeaseShare = 0.9
	// renewalShare is the share of the key-value store's request rate that the renewals of
	// store leases may use.
	renewalShare = 0.25
	// minRenewalsPerTTL is how many renewals must fit into the TTL of a store lease.
	minRenewalsPerTTL = 4
	// shortTTLDivisor divides lease_s. If the TTL of store leases is below the result, Warnings
	// reports it as too short.
	shortTTLDivisor = 4
)

// StoreLeaseTTL returns the TTL of a store lease in seconds. The TTL counts from the older of two
// times: when the owner sent its last renewal, and the time as of which its cache is current. The
// TTL is long enough that machines keep their leases during ordinary outages of the key-value
// store. It is also short enough for the cancellation bound: an owner that does not know of a
// cancellation stops renewing machine leases so early that the last one expires within cancel_s of
// the cancellation.
func (s *Settings) StoreLeaseTTL() float64 {
	workers := &s.Deployment.Workers
	return min(workers.Lease*s.StoreLease.TTLRatio, storeLeaseShare*(workers.Cancel-workers.Lease*(1+3*MaxClockDrift)))
}

// StoreLeaseRenewInterval returns how often, in seconds, a controller renews its store lease. The
// renewals of all controllers together stay within renewalShare.
func (s *Settings) StoreLeaseRenewInterval() float64 {
	return max(s.StoreLeaseTTL()*s.StoreLease.RenewIntervalRatio, s.minRenewalInterval())
}

// minRenewalInterval returns the shortest interval, in seconds, at which every controller can
// renew its store lease within renewalShare.
func (s *Settings) minRenewalInterval() float64 {
	return float64(len(s.ControllerNames())) / renewalShare / s.Deployment.State.RPS
}

// CancelBoundTerm is one of the durations whose sum is the bound on the time from the confirmation of
// a cancellation until the job's last task has ended.
type CancelBoundTerm struct {
	Description string
	Seconds     float64 // upper bound, by a clock without drift
}

// CancelBound returns the terms of the bound for an owner that cannot know of the cancellation.
// No other case needs a term:
//
//   - An owner that knows of the cancellation adds a stop command to each answer that could renew
//     the machine's lease. The command ends the task at once.
//   - A launch in transit is carried out only by the agent's incarnation that it was sent to.
//   - A machine that hangs continues within its lease or not at all.
func (s *Settings) CancelBound() []CancelBoundTerm {
	return []CancelBoundTerm{
		// The owner measures the TTL by its own clock, from before the key-value store answered. The
		// division converts this time to the longest possible time by a clock without drift.
		{"last report that the owner answers without knowing of the cancellation", s.StoreLeaseTTL() * (1 - 2*MaxClockDrift) / (1 - MaxClockDrift)},
		// The agent measures the lease by its own clock, from when it sent the report that was
		// answered. The division converts this time to the longest possible time by a clock without
		// drift.
		{"machine lease that this answer renews", s.Deployment.Workers.Lease / (1 - MaxClockDrift)},
	}
}

// checkCancelBound refuses settings under which the TTL of store leases (StoreLeaseTTL) is too
// short for minRenewalsPerTTL renewals. The error names the setting that is too small (cancel_s,
// the operators' [grants] life, or the key-value store's request rate) and the smallest value that
// is accepted.
func (s *Settings) checkCancelBound() error {
	workers, rps := &s.Deployment.Workers, s.Deployment.State.RPS
	minTTL := minRenewalsPerTTL * s.minRenewalInterval()
	switch configuredTTL := workers.Lease * s.StoreLease.TTLRatio; {
	case workers.Lease < minTTL:
		return fmt.Errorf("deployment.state.rps is %v, must be %v or more: %d controllers could not renew their store leases within lease_s %v on a quarter of it",
			rps, roundUp(rps*minTTL/workers.Lease), len(s.ControllerNames()), workers.Lease)
	case configuredTTL < minTTL:
		return fmt.Errorf("[grants] life is %v, must be %v or more: store leases of %.2f s could not be renewed on a quarter of state.rps %v",
			s.StoreLease.TTLRatio, roundUp(minTTL/workers.Lease), configuredTTL, rps)
	case s.StoreLeaseTTL() < minTTL:
		return fmt.Errorf("deployment.workers.cancel_s is %v, must be %v or more: cancel_s minus lease_s limits the TTL of store leases",
			workers.Cancel, roundUp(workers.Lease*(1+3*MaxClockDrift)+minTTL/storeLeaseShare))
	}
	return nil
}

// roundUp rounds a minimum up to a thousandth. It adds a small margin first: without the margin, a
// setting that is exactly the minimum could be refused because of rounding errors.
func roundUp(value float64) float64 { return math.Ceil(value*1000+1e-6) / 1000 }

// Warnings describes settings that are valid but will work badly.
func (s *Settings) Warnings() []string {
	ttl, workers := s.StoreLeaseTTL(), &s.Deployment.Workers
	if ttl >= workers.Lease/shortTTLDivisor {
		return nil
	}
	return []string{fmt.Sprintf("cancel_s %v is little more than lease_s %v: agents get no answers once the key-value store has been unavailable for %.1f s",
		workers.Cancel, workers.Lease, ttl)}
}
