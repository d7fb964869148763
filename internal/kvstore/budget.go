package kvstore

import "time"

const (
	// writeRateShare is the part of the service's write limit that controllers plan to use.
	writeRateShare = 0.9
	// busyMembersShare is the part of all controllers expected to write at the same time.
	busyMembersShare = 0.7
	// lowPriorityReserve is the part of a second's budget that writes of low priority
	// leave to others.
	lowPriorityReserve = 0.25
)

// writeBudget is a token bucket that holds up to one second's worth of mutations. Its
// clock is the environment's steady one.
type writeBudget struct {
	rate      float64 // mutations a second
	available float64 // mutations that may be sent now; negative: overdrawn
	updatedAt time.Duration
}

// newWriteBudget makes a full budget: this controller's share of the service's limit.
func newWriteBudget(limits Limits) writeBudget {
	busyMembers := max(1, busyMembersShare*float64(limits.Members))
	rate := writeRateShare * limits.WritesPerSecond / busyMembers
	return writeBudget{rate: rate, available: rate}
}

// refill adds what has accrued since the last call.
func (b *writeBudget) refill(now time.Duration) {
	accrued := b.rate * (now - b.updatedAt).Seconds()
	b.available = min(b.rate, b.available+accrued)
	b.updatedAt = now
}

// spend takes mutations that are being sent from the budget.
func (b *writeBudget) spend(mutations int) { b.available -= float64(mutations) }

// allows reports whether a write of so many mutations may be sent now. Those of low and
// normal priority leave a part of the budget for writes of higher priority to come. One
// of high priority may overdraw the budget by a second's worth, and by any amount as the
// first of its batch, if that limit is not reached yet.
func (b *writeBudget) allows(priority Priority, mutations int, isFirst bool) bool {
	floor := [PriorityCount]float64{
		PriorityHigh:   -b.rate,
		PriorityNormal: 0,
		PriorityLow:    lowPriorityReserve * b.rate,
	}[priority]
	if b.available-float64(mutations) >= floor {
		return true
	}
	return priority == PriorityHigh && isFirst && b.available > -b.rate
}

// timePerMutation is the time in which the budget grows by one mutation.
func (b *writeBudget) timePerMutation() time.Duration {
	return time.Duration(float64(time.Second) / b.rate)
}
