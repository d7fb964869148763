package controller

import (
	"slices"
	"time"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/settings"
)

// peer is what is known of another controller. Times are those of this process's clock.
type peer struct {
	lastStatusAt      time.Duration
	readySince        time.Duration // without a break
	lastReadyAt       time.Duration // when its latest status that said ready arrived
	storeAnsweredAt   time.Duration // the latest moment at which the key-value store is known to have answered it
	livenessSeenAt    time.Duration // when its liveness key changed last
	unresponsive      bool          // it left a placement request unanswered and has sent nothing since
	status            *peermsg.Status
	incarnation       uint64   // of its process
	endedIncarnations []uint64 // of its earlier processes, the latest ones
}

// maxEndedIncarnations is how many earlier processes of a member are remembered.
const maxEndedIncarnations = 8

// newPeers lists the other controllers. Before its first message each counts as silent
// for an hour.
func newPeers(cfg *settings.Settings) map[string]*peer {
	peers := map[string]*peer{}
	for _, member := range cfg.Members {
		peers[member.Name] = &peer{
			lastStatusAt:   -time.Hour,
			lastReadyAt:    -time.Hour,
			livenessSeenAt: -time.Hour,
		}
	}
	return peers
}

// acceptIncarnation notes the process that sent a message and returns false if that
// process has ended. (A process that is back within a fraction of a second was never
// seen to be gone; messages of its predecessor may still be on the way.)
func (p *peer) acceptIncarnation(incarnation uint64, now time.Duration) bool {
	if incarnation == p.incarnation {
		return true
	}
	if slices.Contains(p.endedIncarnations, incarnation) {
		return false
	}
	if p.incarnation != 0 {
		ended := append(p.endedIncarnations, p.incarnation)
		p.endedIncarnations = ended[max(0, len(ended)-maxEndedIncarnations):]
		p.readySince = now
	}
	p.incarnation = incarnation
	return true
}

// applyStatus notes a status message; a peer that has not said ready for longer than
// readyGap counts as ready only from now on.
func (p *peer) applyStatus(status *peermsg.Status, now, readyGap time.Duration) {
	p.lastStatusAt, p.status = now, status
	if age := status.StoreAgeMs; age > 0 {
		p.storeAnsweredAt = max(p.storeAnsweredAt, now-time.Duration(age)*time.Millisecond)
	}
	if !status.Ready {
		return
	}
	if now-p.lastReadyAt > readyGap {
		p.readySince = now
	}
	p.lastReadyAt = now
}

// reportsStoreOutage reports whether the peer's latest status says that the key-value
// store has not answered it for longer than limit.
func (p *peer) reportsStoreOutage(now, limit time.Duration) bool {
	return p.status != nil && !p.status.Ready && p.status.StoreAgeMs > 0 && now-p.storeAnsweredAt > limit
}

// peerTimeout is how long a member may be silent and still count as alive.
func (c *Controller) peerTimeout() time.Duration { return 3 * c.statusInterval() }

// isPeerAlive reports whether a member's messages arrive.
func (c *Controller) isPeerAlive(name string) bool {
	member := c.peers[name]
	return member == nil || c.env.Now()-member.lastStatusAt < c.peerTimeout()
}

// isAbsent reports whether another controller has not been ready for so long, while this
// one has been, that its keys are to be taken over.
func (c *Controller) isAbsent(name string) bool {
	member := c.peers[name]
	if member == nil {
		return name != c.settings.Name
	}
	if !c.isReady() {
		return false
	}
	now := c.env.Now()
	readyFor := now - c.readySince
	// It says itself that the key-value store has not answered it for long, while this
	// controller is answered, and has been for longer than others take to find that an
	// outage is over. Waiting as for one that is silent would leave its shard without an
	// owner for half a minute after an outage.
	lease := c.workerLease()
	if c.isPeerAlive(name) && member.reportsStoreOutage(now, lease/4) && readyFor > lease/8 {
		return true
	}
	limit := c.absenceLimit(name)
	return now-max(member.lastReadyAt, member.livenessSeenAt) > limit && readyFor > limit
}

// absenceLimit is how long a member may be silent before it counts as absent.
func (c *Controller) absenceLimit(name string) time.Duration {
	limit := time.Duration(float64(c.workerLease()) * c.settings.Grants.Absent)
	if c.isBypassed(name) {
		// Its workers' leases are running out. This is still more than the time in
		// which a process is restarted, which then takes its own keys back.
		return limit * 7 / 10
	}
	return limit
}

// isIsolated reports whether neither the key-value store nor any other controller reaches
// this one; its workers and users may.
func (c *Controller) isIsolated() bool {
	now, limit := c.env.Now(), 4*c.statusInterval()
	failingSince := c.store.Health().FailingSince
	if failingSince == 0 || now-failingSince < limit || len(c.peers) == 0 {
		return false
	}
	for _, member := range c.peers {
		if now-member.lastStatusAt < limit {
			return false
		}
	}
	return true
}

// memberReadySince is when a member became ready, as far as this controller knows.
func (c *Controller) memberReadySince(name string) time.Duration {
	if member := c.peers[name]; member != nil {
		return member.readySince
	}
	return c.readySince
}

// memberZone is the zone of a member; this controller's for an unknown one.
func (c *Controller) memberZone(name string) string {
	for _, member := range c.settings.Members {
		if member.Name == name {
			return member.Zone
		}
	}
	return c.settings.Zone
}

// liveStatuses lists the latest statuses of the members that are alive, by name, and
// then this controller's own.
func (c *Controller) liveStatuses() []*peermsg.Status {
	var statuses []*peermsg.Status
	c.eachLiveStatus(func(_ string, status *peermsg.Status) {
		statuses = append(statuses, status)
	})
	return statuses
}

// eachLiveStatus visits the same statuses with their controllers' names.
func (c *Controller) eachLiveStatus(visit func(name string, status *peermsg.Status)) {
	for _, name := range sortedKeys(c.peers) {
		if member := c.peers[name]; member.status != nil && c.isPeerAlive(name) {
			visit(name, member.status)
		}
	}
	if c.ownStatus != nil {
		visit(c.settings.Name, c.ownStatus)
	}
}
