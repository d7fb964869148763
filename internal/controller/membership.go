package controller

import (
	"slices"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/settings"
)

// peer holds what is known of another controller. All times are of this process's clock.
type peer struct {
	lastStatusAt      time.Duration
	readySince        time.Duration // since when it has been ready without interruption
	lastReadyAt       time.Duration // when the latest status that says ready arrived
	storeAnsweredAt   time.Duration // the latest time at which the key-value store is known to have answered it
	livenessSeenAt    time.Duration // when its liveness key last changed
	unresponsive      bool          // it has not answered a placement request and has sent nothing since
	status            *peermsg.Status
	incarnation       uint64   // identifies the peer's current process
	endedIncarnations []uint64 // its latest earlier incarnations, at most maxEndedIncarnations
}

// maxEndedIncarnations is the number of ended incarnations that are kept for each peer.
const maxEndedIncarnations = 8

// acceptIncarnation records the incarnation that sent a message. It returns false if that
// incarnation is known to have ended. A controller may restart within a fraction of a second,
// too fast for its peers to notice, while messages of the previous process are in flight.
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

// applyStatus applies a status message. A peer counts as ready without interruption as long as
// those of its statuses that say ready arrive at most readyGap apart. After a longer gap between
// two of these statuses, it counts as ready only since the second of them arrived.
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

// reportsStoreOutage reports whether, according to the peer's latest status, the key-value store
// has not answered it for longer than limit.
func (p *peer) reportsStoreOutage(now, limit time.Duration) bool {
	return p.status != nil && !p.status.Ready && p.status.StoreAgeMs > 0 && now-p.storeAnsweredAt > limit
}

// membership holds what this controller knows of all controllers from their messages.
type membership struct {
	env       env.Environment
	settings  *settings.Settings
	peers     map[string]*peer // the other controllers, by name
	ownStatus *peermsg.Status  // this controller's latest status; nil: none yet
}

// newMembership returns a membership of all other controllers. A controller counts as last seen one
// hour before the start of this process until its first status arrives.
func newMembership(environment env.Environment, cfg *settings.Settings) *membership {
	m := &membership{env: environment, settings: cfg, peers: map[string]*peer{}}
	for _, member := range cfg.Members {
		m.peers[member.Name] = &peer{
			lastStatusAt:   -time.Hour,
			lastReadyAt:    -time.Hour,
			livenessSeenAt: -time.Hour,
		}
	}
	return m
}

// names returns the names of the other controllers in sorted order.
func (m *membership) names() []string { return sortedKeys(m.peers) }

// aliveTimeout returns the time after which a controller that has sent no status no longer
// counts as alive.
func (m *membership) aliveTimeout() time.Duration { return 3 * statusInterval(m.settings) }

// isAlive reports whether statuses of a controller arrive. This controller itself always counts as
// alive.
func (m *membership) isAlive(name string) bool {
	member := m.peers[name]
	return member == nil || m.env.Now()-member.lastStatusAt < m.aliveTimeout()
}

func (m *membership) areAllAlive() bool {
	for name := range m.peers {
		if !m.isAlive(name) {
			return false
		}
	}
	return true
}

// receivedStatusWithin reports whether a status of any other controller arrived less than age
// ago.
func (m *membership) receivedStatusWithin(age time.Duration) bool {
	now := m.env.Now()
	for _, member := range m.peers {
		if now-member.lastStatusAt < age {
			return true
		}
	}
	return false
}

// storeAnsweredAnyPeerSince reports whether the key-value store is known to have answered any
// other controller after the given time.
func (m *membership) storeAnsweredAnyPeerSince(since time.Duration) bool {
	for _, member := range m.peers {
		if member.storeAnsweredAt > since {
			return true
		}
	}
	return false
}

// zoneOf returns the zone of a controller; for an unknown name it returns this controller's zone.
func (m *membership) zoneOf(name string) string {
	for _, member := range m.settings.Members {
		if member.Name == name {
			return member.Zone
		}
	}
	return m.settings.Zone
}

// liveStatuses returns the latest statuses of the live peers, sorted by name, followed by this
// controller's own.
func (m *membership) liveStatuses() []*peermsg.Status {
	var statuses []*peermsg.Status
	m.eachLiveStatus(func(_ string, status *peermsg.Status) {
		statuses = append(statuses, status)
	})
	return statuses
}

// eachLiveStatus calls visit for each status that liveStatuses returns, with the name of its
// controller.
func (m *membership) eachLiveStatus(visit func(name string, status *peermsg.Status)) {
	for _, name := range m.names() {
		if member := m.peers[name]; member.status != nil && m.isAlive(name) {
			visit(name, member.status)
		}
	}
	if m.ownStatus != nil {
		visit(m.settings.Name, m.ownStatus)
	}
}
