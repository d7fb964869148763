package kvstore

import (
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strings"

	"curlewspool/internal/protocol"
)

// sendBatch sends a batch's transaction. If the answer is late, it reads a written key to find out
// whether the batch has been applied.
func (s *Store) sendBatch(b *batch) {
	if b.isResolved {
		return
	}
	result := &protocol.TransactionResult{}
	sentAt, isAnswered := s.env.Now(), false
	s.env.Call(s.address, http.MethodPost, "/multi", b.transaction, result, requestTimeout, func(status int) {
		isAnswered = true
		err := statusError(status)
		if err == nil && result.StoreRevision == 0 {
			err = ErrUnknownOutcome // without a revision, the answer does not prove that the batch was applied
		}
		s.recordOutcome(err)
		if err == nil {
			s.latency.observe(s.env.Now() - sentAt)
		}
		if !b.isResolved {
			s.handleResult(b, result, err)
		}
	})
	limit, ok := s.latency.lateAfter()
	if !ok || b.firstPutKey() == "" {
		return
	}
	s.env.After(limit, func() {
		if !isAnswered && !b.isResolved {
			s.checkStored(b)
		}
	})
}

// handleResult handles the answer to a transaction.
func (s *Store) handleResult(b *batch, result *protocol.TransactionResult, err error) {
	switch {
	case err == nil:
		s.handleApplied(b, result.StoreRevision)
	case errors.Is(err, ErrConflict) && b.isOutcomeUnknown:
		s.resolveOutcome(b) // an earlier copy may have been applied and changed the keys
	case errors.Is(err, ErrConflict):
		s.handleConflict(b, result.FailedKeys)
	case errors.Is(err, ErrRejected):
		s.handleRejected(b, result.Error)
	case errors.Is(err, ErrThrottled), errors.Is(err, ErrUnavailable):
		s.handleNotExecuted(b, err)
	default:
		// The batch may have been applied, or may still be applied. It can be sent again: the
		// copies have the same conditions, so at most one of them takes effect, and the stored
		// nonce shows whether one of them has taken effect.
		b.isOutcomeUnknown = true
		s.resendLater(b)
	}
}

// resendLater sends a batch again, unchanged, after a retry delay.
func (s *Store) resendLater(b *batch) {
	s.env.After(s.retryDelay(), func() { s.sendBatch(b) })
}

// handleApplied applies a batch's mutations to the cache and notifies the writers.
func (s *Store) handleApplied(b *batch, revision uint64) {
	b.isResolved = true
	s.batchesInFlight--
	for i := range b.transaction.Mutations {
		s.applyOwnMutation(&b.transaction.Mutations[i], revision)
	}
	if s.isLoaded {
		s.onChange("", nil)
	}
	for _, request := range b.requests {
		request.Done(true, revision)
	}
	s.sendQueued()
}

// applyOwnMutation applies one mutation of an applied batch to the cache.
//
// The mutation is ignored if the cache already contains all changes up to its revision: the cache is
// then newer than this late answer, and a key that is missing from the cache has been deleted since.
// Without this check, a cancelled job was started again. The answer to a transaction that moved the
// job arrived after the job had been cancelled through another controller. The answer put the job
// back into this controller's cache, and nothing removed it again.
func (s *Store) applyOwnMutation(mutation *protocol.Mutation, revision uint64) {
	key := mutationKey(mutation)
	if !strings.HasPrefix(key, CachedPrefix) || s.cache[key].Revision >= revision {
		return
	}
	if s.isLoaded && revision <= s.revision {
		return
	}
	if mutation.Put != "" {
		s.cache[key] = Entry{Value: mutation.Value, Revision: revision, LeaseID: mutation.Lease}
	} else {
		delete(s.cache, key)
		if revision > s.revision {
			s.deletedAt[key] = revision
		}
	}
	if s.isLoaded {
		s.onChange(key, mutation.Value)
	}
}

// handleConflict handles a batch of which nothing was applied. failed lists the keys whose
// conditions failed; it is empty if they are not known.
//
// If the batch has a single request, the writer is notified once the cache shows the cause. If the
// batch has several requests, those whose conditions failed are retried one by one, and the others
// return to their queues. Retrying all of them one by one would turn one stale write among twenty
// into twenty transactions; this is done only if the failed keys are not known.
func (s *Store) handleConflict(b *batch, failed []string) {
	s.batchesInFlight--
	if len(b.requests) == 1 {
		s.reportNotApplied(b.requests[0])
		s.sendQueued()
		return
	}
	hasFailed := func(condition protocol.Condition) bool { return slices.Contains(failed, condition.Key) }
	for i := len(b.requests) - 1; i >= 0; i-- {
		request := b.requests[i]
		priority := request.priority
		if len(failed) == 0 || slices.ContainsFunc(b.conditions[i], hasFailed) {
			request.batchConflicts++
			priority = PriorityHigh
		}
		s.queues.pushFront(priority, request)
	}
	s.sendQueued()
}

// reportNotApplied notifies a writer that its mutations were not applied. It first brings the
// cache up to date, so that the writer sees the change that caused the conflict. If the cache were
// outdated, an owner could go on acting on a key that it has lost.
func (s *Store) reportNotApplied(request *WriteRequest) {
	s.Sync(func(isCurrent bool) {
		if !isCurrent {
			s.env.After(s.retryDelay(), func() { s.reportNotApplied(request) })
			return
		}
		request.Done(false, 0)
	})
}

// handleRejected handles a batch that the service considers invalid. If an earlier copy may have been
// applied, it determines whether that is the case, unless the error is about a lease.
func (s *Store) handleRejected(b *batch, message string) {
	if b.isOutcomeUnknown && !namesLease(message) {
		s.resolveOutcome(b)
		return
	}
	slog.Error("kvstore: transaction rejected", "error", message, "key", b.transaction.Mutations[0].Put)
	if saysLeaseExpired(message) {
		s.Lease.handleExpired()
	}
	s.handleConflict(b, nil)
}

// namesLease reports whether the service's error message is about a lease, which the service's
// protocol calls a permit.
func namesLease(message string) bool {
	return strings.Contains(message, "lease") || strings.Contains(message, "permit")
}

// saysLeaseExpired reports whether the service's error message says that a lease does not exist any
// more. A lease is the only thing that must exist for a transaction to be valid, so every message
// with "no such" is about a lease.
func saysLeaseExpired(message string) bool { return strings.Contains(message, "no such") }

// handleNotExecuted handles a batch that the service refused without executing it. If an earlier
// copy of the batch may have been applied, the batch is sent again unchanged. Otherwise, the sending
// of batches pauses, and the requests are queued again, so that they are rebuilt when they are sent.
// If the service has no quorum, requests whose ShouldAbandon returns true are dropped.
func (s *Store) handleNotExecuted(b *batch, err error) {
	if b.isOutcomeUnknown {
		s.resendLater(b)
		return
	}
	s.pausedUntil = s.env.Now() + s.retryDelay()
	s.batchesInFlight--
	isUnavailable := errors.Is(err, ErrUnavailable)
	for i := len(b.requests) - 1; i >= 0; i-- {
		request := b.requests[i]
		if isUnavailable && request.ShouldAbandon != nil && request.ShouldAbandon() {
			continue
		}
		s.queues.pushFront(PriorityHigh, request)
	}
	s.scheduleSend(s.retryDelay())
}
