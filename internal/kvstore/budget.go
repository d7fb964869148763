package kvstore

import "time"

const (
	// writeRateShare is the fraction of the service's write limit that controllers plan to use.
	writeRateShare = 0.9
	// busyControllersShare is the fraction of the controllers that are expected to write at the
	// same time.
	busyControllersShare = 0.7
	// lowPriorityReserve is the part of the budget that low-priority writes leave to writes of
	// higher priority, as a fraction of one second's worth of mutations.
	lowPriorityReserve = 0.25
)

// writeBudget is a token bucket that holds up to one second's worth of mutations. It uses the
// environment's monotonic clock.
type writeBudget struct {
	rate      float64 // mutations per second
	available float64 // mutations that may be sent now; negative if overdrawn
	updatedAt time.Duration
}

// newWriteBudget creates a full budget with this controller's share of the service's write limit.
func newWriteBudget(limits Limits) writeBudget {
	busyControllers := max(1, busyControllersShare*float64(limits.Members))
	rate := writeRateShare * limits.WritesPerSecond / busyControllers
	return writeBudget{rate: rate, available: rate}
}

// refill adds the mutations that have accrued since the last call.
func (b *writeBudget) refill(now time.Duration) {
	accrued := b.rate * (now - b.updatedAt).Seconds()
	b.available = min(b.rate, b.available+accrued)
	b.updatedAt = now
}

// spend deducts mutations that are being sent from the budget.
func (b *writeBudget) spend(mutations int) { b.available -= float64(mutations) }

// allows reports whether a write with the given number of mutations may be sent now.
// Low-priority writes leave lowPriorityReserve to later writes of higher priority. Normal-priority
// writes may use the budget up. High-priority writes may overdraw the budget by one second's worth.
// A high-priority write that is the first of its batch may exceed this limit by any amount if the
// limit has not been reached before.
func (b *writeBudget) allows(priority Priority, mutations int, isFirst bool) bool {
	minBalance := [PriorityCount]float64{
		PriorityHigh:   -b.rate,
		PriorityNormal: 0,
		PriorityLow:    lowPriorityReserve * b.rate,
	}[priority]
	if b.available-float64(mutations) >= minBalance {
		return true
	}
	return priority == PriorityHigh && isFirst && b.available > -b.rate
}

// timePerMutation returns the time in which the budget grows by one mutation.
func (b *writeBudget) timePerMutation() time.Duration {
	return time.Duration(float64(time.Second) / b.rate)
}
