package userapi

import (
	"errors"
	"time"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file looks up the state of a job. An outcome is final, so a cached outcome is a valid
// result. The results jobLive and jobUnknown need a response of the store that is newer than the
// user's request.

// jobState is the result of a lookup.
type jobState int

const (
	jobUnavailable jobState = iota // the state cannot be determined now
	jobUnknown                     // the store confirmed that the job was never accepted
	jobLive                        // the job is in a cache that was confirmed to be current
	jobFinished                    // the job's outcome is known
)

// lookupResult is the result of a lookup. outcome is set only for a finished job.
type lookupResult struct {
	state   jobState
	outcome shard.FinalRecord
}

// lookup is a pending lookup of the state of a job. attempts counts the retries so far.
type lookup struct {
	job      string
	attempts int
	done     func(result lookupResult)
}

// maxLookupAttempts limits how often a lookup is retried because the job changed during the lookup.
const maxLookupAttempts = 3

func (l *lookup) answerFinished(outcome shard.FinalRecord) {
	l.done(lookupResult{jobFinished, outcome})
}

func (l *lookup) answer(state jobState) { l.done(lookupResult{state: state}) }

// find looks up the state of a job and passes the result to done.
func (s *Service) find(job string, done func(result lookupResult)) {
	s.startLookup(&lookup{job: job, done: done})
}

// startLookup starts or restarts a lookup.
func (s *Service) startLookup(l *lookup) {
	if outcome, ok := s.finished.Get(l.job); ok {
		l.answerFinished(outcome)
		return
	}
	if s.controller.Store().IsUnavailable() {
		l.answer(jobUnavailable)
		return
	}
	if !s.isLive(l.job) {
		s.enqueueLookup(l)
		return
	}
	s.controller.Store().Sync(func(isCurrent bool) {
		outcome, finished := s.finished.Get(l.job)
		switch {
		case finished:
			l.answerFinished(outcome)
		case !isCurrent:
			l.answer(jobUnavailable)
		case s.isLive(l.job):
			s.resolveLive(l)
		default:
			s.enqueueLookup(l)
		}
	})
}

// enqueueLookup queues a lookup of a job that is not in the cache. The store is asked about queued
// lookups in batches.
func (s *Service) enqueueLookup(l *lookup) {
	// Each pending lookup keeps a user's connection open. Half of the sockets are for users.
	maxPending := s.controller.Settings().Deployment.Limits.Sockets / 2
	if s.controller.Store().IsUnavailable() || len(s.pendingLookups) > maxPending {
		l.answer(jobUnavailable)
		return
	}
	s.pendingLookups = append(s.pendingLookups, l)
	s.checkNextBatch()
}

// checkNextBatch takes a batch of queued lookups and asks the store whether any of their jobs was
// ever accepted.
func (s *Service) checkNextBatch() {
	if s.isCheckingBatch || len(s.pendingLookups) == 0 {
		return
	}
	s.isCheckingBatch = true
	limits := &s.controller.Settings().Deployment.State
	// The delay keeps the requests of this controller within an equal share of the store's rate
	// limit. Lookups that are queued during the delay are part of the batch.
	delaySeconds := float64(len(s.controller.Settings().ControllerNames())) / limits.RPS
	s.env.After(time.Duration(delaySeconds*float64(time.Second)), func() {
		size := min(len(s.pendingLookups), 2*limits.TxnOps)
		batch := s.pendingLookups[:size:size]
		s.pendingLookups = s.pendingLookups[size:]
		s.controller.Store().CheckConditions(absenceConditions(batch), func(err error) {
			s.isCheckingBatch = false
			for _, l := range batch {
				s.applyCheckResult(l, err)
			}
			s.checkNextBatch()
		})
	})
}

// absenceConditions returns conditions that all hold only if none of the jobs was ever accepted: no
// job has a live record or an outcome.
func absenceConditions(batch []*lookup) []protocol.Condition {
	var conditions []protocol.Condition
	seen := map[string]bool{}
	for _, l := range batch {
		if !seen[l.job] {
			seen[l.job] = true
			conditions = append(conditions, protocol.Condition{Key: shard.JobKey(l.job)}, protocol.Condition{Key: shard.FinalKey(l.job)})
		}
	}
	return conditions
}

// applyCheckResult continues a lookup with the result of the check of its batch.
func (s *Service) applyCheckResult(l *lookup, err error) {
	switch {
	case err == nil:
		l.answer(jobUnknown)
	case errors.Is(err, kvstore.ErrConflict):
		s.resolveAfterConflict(l)
	default:
		l.answer(jobUnavailable)
	}
}

// resolveAfterConflict continues a lookup after the check of its batch has shown that at least one
// job of the batch was accepted. It is not known which one, so the outcome of this lookup's job is
// read. If there is none, resolveUnfinished continues the lookup.
func (s *Service) resolveAfterConflict(l *lookup) {
	s.readOutcome(l.job, func(outcome shard.FinalRecord, err error) {
		switch {
		case err == nil:
			l.answerFinished(outcome)
		case errors.Is(err, kvstore.ErrNotFound):
			s.resolveUnfinished(l)
		default:
			l.answer(jobUnavailable)
		}
	})
}

// resolveUnfinished continues a lookup of a job that has no outcome in the store. It looks for the job
// in the cache, after the cache was confirmed to be current. If the job is not there, the lookup is
// queued again.
func (s *Service) resolveUnfinished(l *lookup) {
	s.controller.Store().Sync(func(isCurrent bool) {
		switch {
		case !isCurrent || l.attempts > maxLookupAttempts:
			l.answer(jobUnavailable)
		case s.isLive(l.job):
			s.resolveLive(l)
		default:
			l.attempts++
			s.enqueueLookup(l)
		}
	})
}

// resolveLive completes a lookup of a job that is live in a cache confirmed to be current.
//
// A waiting job counts as cancelled as soon as one of its direct or transitive dependencies is
// cancelled, even if the job's own outcome is not stored yet. The key that stores the
// dependency's outcome decides for all jobs that wait for the dependency.
//
// The cache was confirmed to be current after the request arrived. A dependency that was reported to
// a user as cancelled before the request is therefore no longer live in the cache, and its outcome is
// read here.
func (s *Service) resolveLive(l *lookup) {
	graph := s.controller.Dependencies()
	unread := graph.UnreadUpstreamOutcomes(l.job)
	if graph.IsCancelled(l.job) {
		l.answerFinished(shard.FinalRecord{Status: protocol.JobCancelled, Tasks: s.taskCount(l.job), CancelledWith: graph.CancellationCause(l.job)})
		return
	}
	if len(unread) == 0 {
		l.answer(jobLive)
		return
	}
	s.readOutcomes(unread, func(ok bool) {
		l.attempts++
		switch {
		case !ok || l.attempts > maxLookupAttempts:
			l.answer(jobUnavailable)
		case s.isLive(l.job):
			s.resolveLive(l)
		default:
			s.startLookup(l)
		}
	})
}

// readOutcome reads a job's outcome from the store and caches it. err is kvstore.ErrNotFound if the
// job has not finished; after any other error it is unknown whether the job has finished.
func (s *Service) readOutcome(job string, done func(outcome shard.FinalRecord, err error)) {
	s.controller.Store().Fetch(shard.FinalKey(job), func(entry kvstore.Entry, err error) {
		var outcome shard.FinalRecord
		if err == nil {
			err = protocol.Decode(entry.Value, &outcome)
		}
		if err == nil {
			s.RecordFinished(job, outcome)
		}
		done(outcome, err)
	})
}
