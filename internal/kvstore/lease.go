package kvstore

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"curlewspool/internal/protocol"
)

// Lease is the store lease that this controller's keys are attached to. It also limits how long
// this controller may act as the owner of these keys: until the lease's time to live (TTL) has
// passed since the older of two times. One is the time of the last renewal, and the other is the
// time as of which the cache is known to be current. A confirmation by all peers counts as both.
//
// Renewals alone must not count, because a renewal does not show what other controllers have
// decided in the meantime. When they did count, two failures occurred. In the first, the requests
// of a controller were refused for less than a TTL. It then renewed its lease, and directly
// afterwards all controllers were cut off from the service. The renewal let the controller answer
// agents for another TTL, so it answered them for two TTLs without knowing of a cancellation. In
// the second, an owner whose key had been taken by force went on answering agents for longer than
// the new owner waits.
type Lease struct {
	// ID is the lease's number at the service; 0 if none is held.
	ID uint64
	// ConfirmedByPeersAt is the latest time as of which all peers confirmed that this controller
	// knows of every cancellation and that its keys have not been taken; 0 if there is no such
	// confirmation. It counts both as a renewal and as a time at which the cache was current.
	ConfirmedByPeersAt time.Duration
	// OnAcquired, if set, is called when the service has granted a lease. OnLost, if set, is
	// called when the service reports that the lease has expired.
	OnAcquired func()
	OnLost     func()

	store            *Store
	ttl              time.Duration
	renewInterval    time.Duration
	maxClockDrift    float64       // maximum drift of each clock against true time, as a fraction
	renewedAt        time.Duration // when the last successful renewal was sent
	isRequestPending bool
}

// KeepAlive acquires a lease with the given time to live and renews it at the given interval.
func (l *Lease) KeepAlive(ttl, renewInterval time.Duration, maxClockDrift float64) {
	l.ttl, l.renewInterval, l.maxClockDrift = ttl, renewInterval, maxClockDrift
	l.acquireOrRenew()
}

// IsValid reports whether this controller may act as the owner of its keys now. Here, the time to
// live counts from when a renewal was sent. The service counts from when it executed the renewal,
// which is later. The time to live is also shortened by the possible drift between the two clocks.
func (l *Lease) IsValid() bool {
	if l.ID == 0 {
		return false
	}
	validFrom := max(min(l.renewedAt, l.store.currentAsOf), l.ConfirmedByPeersAt)
	safeTTL := time.Duration(float64(l.ttl) * (1 - 2*l.maxClockDrift))
	return l.store.env.Now() < validFrom+safeTTL
}

// acquireOrRenew sends the next request for the lease, unless one is pending.
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

// acquire requests a new lease.
func (l *Lease) acquire() {
	sentAt := l.store.env.Now()
	request := &protocol.LeaseRequest{TTLMillis: uint64(l.ttl.Milliseconds())}
	response := &protocol.LeaseResponse{}
	l.post("/grants", request, response, func(status int) {
		if statusError(status, http.StatusCreated) == nil && response.Lease != 0 {
			l.ID = response.Lease
			l.renewedAt = sentAt
			slog.Info("kvstore: lease acquired", "lease", l.ID)
			if l.OnAcquired != nil {
				l.OnAcquired()
			}
		}
		l.scheduleNext(sentAt, l.ID != 0)
	})
}

// renew extends the lease's time to live.
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

// post sends a request about the lease. It times out after requestTimeout or two renewal intervals,
// whichever is shorter.
func (l *Lease) post(path string, in, out any, done func(status int)) {
	timeout := min(requestTimeout, 2*l.renewInterval)
	l.store.env.Call(l.store.address, http.MethodPost, path, in, out, timeout, done)
}

// scheduleNext completes the request that was sent at sentAt and schedules the next one: a renewal
// interval after sentAt or, if the request failed, a retry delay after sentAt if that is sooner.
func (l *Lease) scheduleNext(sentAt time.Duration, succeeded bool) {
	l.isRequestPending = false
	delay := l.renewInterval
	if !succeeded {
		delay = min(delay, l.store.retryDelay())
	}
	l.store.env.After(max(0, sentAt+delay-l.store.env.Now()), l.acquireOrRenew)
}

// handleExpired discards the lease, which the service does not know any more, and requests a new
// one.
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
