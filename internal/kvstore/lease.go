package kvstore

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"curlewspool/internal/protocol"
)

// Lease is the lease that this controller's keys are attached to. It also bounds how long
// this controller may act as their owner: for the lease's time to live from the older of
// two moments, the last renewal and the one as of which the cache is known to be current.
// A renewal alone does not tell what others decided meanwhile. (Two failures seen with
// renewals alone: a controller was refused for less than a lease's life, renewed, and was
// then cut off with all others; it answered workers for two lives without knowing of a
// cancellation. And an owner whose key had been taken by force went on for longer than the
// taker waits.)
type Lease struct {
	// ID is the lease's number at the service; 0: none is held.
	ID uint64
	// ConfirmedByPeersAt is the latest moment as of which all peers confirmed that
	// nothing was cancelled or taken that this controller does not know of; 0: they did
	// not. It stands for both moments: a renewal and a current cache.
	ConfirmedByPeersAt time.Duration
	// OnAcquired and OnLost, if given, are called when a lease is granted and when it has
	// expired at the service.
	OnAcquired func()
	OnLost     func()

	store            *Store
	ttl              time.Duration
	renewInterval    time.Duration
	maxClockDrift    float64       // of each clock against true time, as a fraction
	renewedAt        time.Duration // when the last successful renewal was sent
	isRequestPending bool
}

// KeepAlive obtains a lease of the given time to live and renews it at an interval.
func (l *Lease) KeepAlive(ttl, renewInterval time.Duration, maxClockDrift float64) {
	l.ttl, l.renewInterval, l.maxClockDrift = ttl, renewInterval, maxClockDrift
	l.acquireOrRenew()
}

// IsValid reports whether this controller may act as the owner of its keys now. The time
// to live counts from when a renewal was sent, as the service counts it from when it
// executed it, which is later; it is shortened as the two clocks may drift apart.
func (l *Lease) IsValid() bool {
	if l.ID == 0 {
		return false
	}
	entitledAsOf := max(min(l.renewedAt, l.store.currentAsOf), l.ConfirmedByPeersAt)
	safeLife := time.Duration(float64(l.ttl) * (1 - 2*l.maxClockDrift))
	return l.store.env.Now() < entitledAsOf+safeLife
}

// acquireOrRenew sends the next request for the lease, unless one is under way.
func (l *Lease) acquireOrRenew() {
	if l.isRequestPending {
		return
	}
	l.isRequestPending = true
	if l.ID == 0 {
		l.acquire()
	} else {
		l.renew()
	}
}

// acquire asks for a new lease.
func (l *Lease) acquire() {
	sentAt := l.store.env.Now()
	request := &protocol.LeaseRequest{TTLMillis: uint64(l.ttl.Milliseconds())}
	grant := &protocol.LeaseGrant{}
	l.post("/grants", request, grant, func(status int) {
		if statusError(status, http.StatusCreated) == nil && grant.Lease != 0 {
			l.ID = grant.Lease
			l.renewedAt = sentAt
			slog.Info("kvstore: lease acquired", "lease", l.ID)
			if l.OnAcquired != nil {
				l.OnAcquired()
			}
		}
		l.scheduleNext(sentAt, l.ID != 0)
	})
}

// renew extends the lease's life.
func (l *Lease) renew() {
	sentAt, id := l.store.env.Now(), l.ID
	l.post(fmt.Sprintf("/grants/%d/touch", id), nil, nil, func(status int) {
		err := statusError(status, http.StatusNoContent)
		l.store.recordOutcome(err)
		if l.ID == id {
			switch {
			case err == nil:
				l.renewedAt = sentAt
			case errors.Is(err, ErrNotFound):
				l.handleExpired()
			}
		}
		l.scheduleNext(sentAt, err == nil)
	})
}

// post sends a request for the lease. It times out after two intervals at the latest.
func (l *Lease) post(path string, in, out any, done func(status int)) {
	timeout := min(requestTimeout, 2*l.renewInterval)
	l.store.env.Call(l.store.address, http.MethodPost, path, in, out, timeout, done)
}

// scheduleNext ends the request that was sent at sentAt and schedules the next: an
// interval after that one was sent, or a retry delay if it failed and that is sooner.
func (l *Lease) scheduleNext(sentAt time.Duration, succeeded bool) {
	l.isRequestPending = false
	delay := l.renewInterval
	if !succeeded {
		delay = min(delay, l.store.retryDelay())
	}
	l.store.env.After(max(0, sentAt+delay-l.store.env.Now()), l.acquireOrRenew)
}

// handleExpired gives the lease up, as the service does not know it any more, and asks
// for a new one.
func (l *Lease) handleExpired() {
	if l.ID == 0 {
		return
	}
	slog.Info("kvstore: lease expired", "lease", l.ID)
	l.ID, l.ConfirmedByPeersAt = 0, 0
	if l.OnLost != nil {
		l.OnLost()
	}
	l.acquireOrRenew()
}
