package controller

import "time"

// isAbsent reports whether another controller has been unavailable for so long that its keys should
// be taken over. This controller must itself have been ready for a minimum time, otherwise the
// result is false. A controller that is not in the configuration is always absent.
func (c *Controller) isAbsent(name string) bool {
	member := c.members.peers[name]
	if member == nil {
		return name != c.settings.Name
	}
	if !c.isReady() {
		return false
	}
	now := c.env.Now()
	readyFor := now - c.readySince
	// If the member reports that the key-value store has not answered it for a quarter of a machine
	// lease, it counts as absent without waiting for absenceTimeout. This controller must then have
	// been ready for an eighth of a lease: within that time after an outage, the other controllers
	// find that the store answers again. If the member counted as absent only after absenceTimeout,
	// its shards would have no owner for half a minute after an outage.
	lease := c.machineLease()
	if c.members.isAlive(name) && member.reportsStoreOutage(now, lease/4) && readyFor > lease/8 {
		return true
	}
	limit := c.absenceTimeout(name)
	return now-max(member.lastReadyAt, member.livenessSeenAt) > limit && readyFor > limit
}

// absenceTimeout returns how long a member may go without a sign that it works before it counts as
// absent. Such a sign is a status that says ready, or a renewal of its liveness key.
func (c *Controller) absenceTimeout(name string) time.Duration {
	limit := time.Duration(float64(c.machineLease()) * c.settings.StoreLease.AbsenceTimeoutRatio)
	if c.isBypassed(name) {
		// At least half of the machines of one of its shards report to another controller, so their
		// leases are about to expire. The shorter timeout still exceeds the time that a restarted
		// process needs to reclaim its own keys.
		return limit * 7 / 10
	}
	return limit
}

// isIsolated reports whether this controller has lost contact with the key-value store and with
// all other controllers. Agents and users may still reach it.
func (c *Controller) isIsolated() bool {
	now, limit := c.env.Now(), 4*c.statusInterval()
	failingSince := c.store.Health().FailingSince
	if failingSince == 0 || now-failingSince < limit || len(c.members.peers) == 0 {
		return false
	}
	return !c.members.receivedStatusWithin(limit)
}

// memberReadySince returns when a member, or this controller, became ready, as far as this
// controller knows.
func (c *Controller) memberReadySince(name string) time.Duration {
	if member := c.members.peers[name]; member != nil {
		return member.readySince
	}
	return c.readySince
}
