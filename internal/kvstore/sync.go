package kvstore

import (
	"errors"
	"time"

	"curlewspool/internal/protocol"
)

// Sync sends a request for changes and calls done(true) once the changes in the answer are in the
// cache, which then contains everything that was stored when Sync was called. Sync calls done(false)
// if no valid answer comes in time or the cache is not loaded. Calls that wait at the same time share
// one request.
func (s *Store) Sync(done func(isCurrent bool)) {
	s.syncWaiters = append(s.syncWaiters, done)
	s.startSync()
}

// Refresh requests the latest changes as soon as syncInterval allows, without waiting for the watch.
func (s *Store) Refresh() { s.Sync(func(bool) {}) }

// startSync requests changes on behalf of all waiters, unless a sync is pending or scheduled. If the
// last request was sent less than syncInterval ago, the next one is scheduled for later.
func (s *Store) startSync() {
	if s.isSyncing || s.isSyncScheduled || len(s.syncWaiters) == 0 {
		return
	}
	if !s.isLoaded {
		notifyAll(s.takeSyncWaiters(), false)
		return
	}
	if wait := s.lastSyncAt + s.syncInterval() - s.env.Now(); wait > 0 {
		s.scheduleSync(wait)
		return
	}
	s.isSyncing = true
	s.lastSyncAt = s.env.Now()
	sentAt := s.lastSyncAt
	waiters := s.takeSyncWaiters()
	s.fetchChanges(0, readTimeout, func(changes *protocol.ChangeLog, err error) {
		s.recordOutcome(err)
		s.isSyncing = false
		s.finishSync(waiters, sentAt, changes, err)
		s.startSync()
	})
}

// scheduleSync starts the next sync after a delay.
func (s *Store) scheduleSync(delay time.Duration) {
	s.isSyncScheduled = true
	s.env.After(delay, func() {
		s.isSyncScheduled = false
		s.startSync()
	})
}

// finishSync applies the answer to a sync request that was sent at sentAt and notifies its waiters.
func (s *Store) finishSync(waiters []func(bool), sentAt time.Duration, changes *protocol.ChangeLog, err error) {
	switch {
	case !s.isLoaded:
		notifyAll(waiters, false)
	case err == nil:
		s.applyChanges(changes)
		s.currentAsOf = max(s.currentAsOf, sentAt)
		notifyAll(waiters, true)
	default:
		notifyAll(waiters, false)
		if errors.Is(err, ErrCompacted) {
			s.reload()
		}
	}
}

// takeSyncWaiters returns all waiters and empties the list.
func (s *Store) takeSyncWaiters() []func(bool) {
	waiters := s.syncWaiters
	s.syncWaiters = nil
	return waiters
}

// notifyAll calls all waiters with the result of a sync.
func notifyAll(waiters []func(bool), isCurrent bool) {
	for _, done := range waiters {
		done(isCurrent)
	}
}
