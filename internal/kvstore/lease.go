package kvstore

import (
	"fmt"
	"log/slog"
	"time"

	"curlewspool/internal/protocol"
)

// Lease is the lease that this controller's keys hang on, and with it how long this
// controller may act as their owner: for the grant's life from the older of two
// moments, the last renewal and the one as of which the cache is proven current. A
// renewal says nothing of what was decided meanwhile. (Refused alone for less than
// the grant's life, then out with everybody: a renewal between the two let an owner
// answer workers for two lives on news from before a cancellation. And an owner whose
// key had been taken by force went on for longer than the taker waits.)
type Lease struct {
	store            *Store
	ID               uint64
	ttl              time.Duration
	renewInterval    time.Duration
	maxClockDrift    float64
	renewedAt        time.Duration // the last renewal, by our clock
	isRequestPending bool
	// ConfirmedByPeersAt is the latest moment as of which all members vouched that nothing was
	// cancelled or taken that this controller does not know of; 0: they did not. It
	// stands for both moments: see node/vouch.go.
	ConfirmedByPeersAt time.Duration
	OnAcquired         func()
	OnLost             func()
}

// KeepAlive obtains a grant and renews it every so often.
func (l *Lease) KeepAlive(ttl, renewInterval time.Duration, maxClockDrift float64) {
	l.ttl, l.renewInterval, l.maxClockDrift = ttl, renewInterval, maxClockDrift
	l.acquireOrRenew()
}

// IsValid tells whether this controller may act on its strength now. The service
// counts a renewal from when it executed it, which is later than it was sent; the
// clocks may drift apart.
func (l *Lease) IsValid() bool {
	return l.ID != 0 && l.store.env.Now() < max(min(l.renewedAt, l.store.currentAsOf), l.ConfirmedByPeersAt)+time.Duration(float64(l.ttl)*(1-2*l.maxClockDrift))
}

func (l *Lease) acquireOrRenew() {
	if l.isRequestPending {
		return
	}
	l.isRequestPending = true
	sent := l.store.env.Now()
	limit := min(requestTimeout, 2*l.renewInterval)
	next := func(ok bool) {
		l.isRequestPending = false
		d := l.renewInterval
		if !ok {
			d = min(l.renewInterval, l.store.retryDelay())
		}
		l.store.env.After(max(0, sent+d-l.store.env.Now()), l.acquireOrRenew)
	}
	if l.ID == 0 {
		out := &protocol.LeaseGrant{}
		l.store.env.Call(l.store.address, "POST", "/grants", &protocol.LeaseRequest{TTLMillis: uint64(l.ttl.Milliseconds())}, out, limit,
			func(status int) {
				if (status == 200 || status == 201) && out.Lease != 0 {
					l.ID = out.Lease
					l.renewedAt = sent
					slog.Info("state: grant", "permit", l.ID)
					if l.OnAcquired != nil {
						l.OnAcquired()
					}
				}
				next(l.ID != 0)
			})
		return
	}
	id := l.ID
	l.store.env.Call(l.store.address, "POST", fmt.Sprintf("/grants/%d/touch", id), nil, nil, limit, func(status int) {
		l.store.recordStatus(status)
		if l.ID == id {
			switch status {
			case 200, 204:
				l.renewedAt = sent
			case 404:
				l.handleLost()
			}
		}
		next(status == 200 || status == 204)
	})
}

func (l *Lease) handleLost() {
	if l.ID == 0 {
		return
	}
	slog.Info("state: grant lost", "permit", l.ID)
	l.ID, l.ConfirmedByPeersAt = 0, 0
	if l.OnLost != nil {
		l.OnLost()
	}
	if !l.isRequestPending {
		l.acquireOrRenew()
	}
}
