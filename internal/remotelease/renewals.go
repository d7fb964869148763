package remotelease

import (
	"maps"
	"time"
)

// Renewals records when the leader of the home cluster last renewed each remote lease. Each leadership
// starts with a new Renewals value.
type Renewals struct {
	earlierLeaderUntil time.Duration // see NewRenewals
	lastRenewed        map[Key]time.Duration
	issuedByThisLeader map[Key]bool
}

// NewRenewals returns the Renewals of a new leadership. earlierLeaderUntil is a time after which no
// earlier leader renewed a remote lease. Callers can pass the time at which the new leader learned that
// it is the leader, because leaders confirm their leadership with the store before each renewal.
func NewRenewals(earlierLeaderUntil time.Duration) *Renewals {
	return &Renewals{
		earlierLeaderUntil: earlierLeaderUntil,
		lastRenewed:        map[Key]time.Duration{},
		issuedByThisLeader: map[Key]bool{},
	}
}

// RecordIssued records that the remote lease was issued in this leadership. No earlier leader can have
// renewed such a lease.
func (r *Renewals) RecordIssued(key Key) { r.issuedByThisLeader[key] = true }

// RecordRenewed records that home answered "hold" at the time now. The answer renews the remote lease.
func (r *Renewals) RecordRenewed(key Key, now time.Duration) {
	r.lastRenewed[key] = max(r.lastRenewed[key], now)
}

// LastRenewal returns the latest time at which the remote lease may have been renewed. ok is false if
// no leader can have renewed it.
func (r *Renewals) LastRenewal(key Key) (at time.Duration, ok bool) {
	at, ok = r.lastRenewed[key]
	if !r.issuedByThisLeader[key] {
		return max(at, r.earlierLeaderUntil), true
	}
	return at, ok
}

// IsExpired reports whether the remote lease has expired or was never renewed, so that no task of the
// lease can run in the host cluster. The lease must not be renewed again after a caller has relied on
// this result. The caller ensures this by removing the lease from the job's record, because home
// renews only leases in the record.
func (r *Renewals) IsExpired(key Key, rules Rules, now time.Duration) bool {
	at, renewed := r.LastRenewal(key)
	return !renewed || now > at+rules.ExpiresAfter()
}

// Retain drops all remote leases for which live returns false.
func (r *Renewals) Retain(live func(Key) bool) {
	maps.DeleteFunc(r.lastRenewed, func(key Key, _ time.Duration) bool { return !live(key) })
	maps.DeleteFunc(r.issuedByThisLeader, func(key Key, _ bool) bool { return !live(key) })
}
