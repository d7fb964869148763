package userapi

import (
	"fmt"
	"net/http"

	"curlewspool/internal/dependency"
	"curlewspool/internal/httpreply"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file handles jobs that depend on other jobs.

// dependencyOutcome converts the status of a finished job to its outcome in the dependency graph.
func dependencyOutcome(status protocol.JobStatus) dependency.Outcome {
	switch status {
	case protocol.JobDone:
		return dependency.OutcomeDone
	case protocol.JobCancelled:
		return dependency.OutcomeCancelled
	}
	return dependency.OutcomeUnknown
}

// dependentSubmission is a submission with dependencies, while these are looked up.
type dependentSubmission struct {
	service       *Service
	job           *protocol.Job
	timing        submissionTiming
	reply         Reply
	unresolved    int  // number of dependencies that are not yet known to have been accepted
	hasUnfinished bool // at least one dependency is accepted but not done
	answered      bool
}

// submitDependent submits a job with dependencies, each of which must have been accepted. A
// dependency that is live in the cache was accepted, however old the cache is. Any other dependency
// is looked up in the store. Only a response of the store that is newer than the request can show
// that the dependency was never accepted.
func (s *Service) submitDependent(job *protocol.Job, timing submissionTiming, reply Reply) {
	if !s.controller.SupportsDependencies() {
		s.replyStateOr(job.ID, reply, func() { httpreply.Unavailable(reply, reasonOldController) })
		return
	}
	submission := &dependentSubmission{service: s, job: job, timing: timing, reply: reply, unresolved: len(job.Dependencies)}
	for _, dependencyID := range job.Dependencies {
		switch {
		case dependencyID == job.ID:
			submission.reject(errDependsOnItself)
		case s.isLive(dependencyID):
			submission.acceptLive(dependencyID)
		default:
			s.find(dependencyID, func(result lookupResult) { submission.resolve(dependencyID, result) })
		}
	}
}

// resolve handles the result of the lookup of a dependency.
func (d *dependentSubmission) resolve(dependencyID string, result lookupResult) {
	switch result.state {
	case jobLive:
		d.acceptLive(dependencyID)
	case jobFinished:
		d.hasUnfinished = d.hasUnfinished || result.outcome.Status != protocol.JobDone
		d.markAccepted()
	case jobUnknown:
		d.reject(fmt.Errorf("%w: %s", errUnknownDependency, dependencyID))
	case jobUnavailable:
		d.failUnavailable()
	}
}

// reject replies with err, which says why the job can never run. If the job was accepted earlier, it
// replies with the job's state instead.
func (d *dependentSubmission) reject(err error) {
	if !d.answered {
		d.answered = true
		d.service.rejectUnlessKnown(d.job.ID, http.StatusUnprocessableEntity, err, d.reply)
	}
}

// failUnavailable replies that the store is unreachable. Without the store, it is unknown whether the
// dependencies were accepted.
func (d *dependentSubmission) failUnavailable() {
	if !d.answered {
		d.answered = true
		httpreply.Unavailable(d.reply, httpreply.ReasonStoreUnreachable)
	}
}

// acceptLive handles a dependency that is live. A service is rejected as a dependency, because it
// never finishes.
func (d *dependentSubmission) acceptLive(dependencyID string) {
	if record := d.service.controller.Job(dependencyID); record != nil && record.Job.Shape == protocol.ShapeService {
		d.reject(fmt.Errorf("%w: %s", errDependsOnService, dependencyID))
		return
	}
	d.hasUnfinished = true
	d.markAccepted()
}

// markAccepted counts one more dependency as accepted. Once all dependencies are accepted, it stores
// the job. If all of them are already done, the job is stored like a job without dependencies.
// Otherwise the job is stored without shards and waits.
func (d *dependentSubmission) markAccepted() {
	d.unresolved--
	if d.unresolved > 0 || d.answered {
		return
	}
	d.answered = true
	if !d.hasUnfinished {
		d.service.placeAndStore(d.job, d.timing, d.reply)
		return
	}
	d.timing.placedAt = d.service.env.Now()
	record := &shard.JobRecord{Job: *d.job, AcceptedAt: d.service.controller.WallSeconds()}
	d.service.storeJob(&d.timing, record, d.reply)
}

// maxListedDependencies is the maximum number of dependencies in a response with a job's status. It
// bounds the size of the response.
const maxListedDependencies = 100

// pendingDependencies returns the jobs that a job still waits for, at most maxListedDependencies.
func (s *Service) pendingDependencies(job string) []string {
	pending := s.controller.Dependencies().UnmetDependencies(job)
	return pending[:min(len(pending), maxListedDependencies)]
}

// readOutcomes reads the outcomes of jobs that are no longer live, and calls done when all reads are
// complete. ok is false if an outcome could not be read. jobs must not be empty.
func (s *Service) readOutcomes(jobs []string, done func(ok bool)) {
	unread, allRead := len(jobs), true
	for _, job := range jobs {
		s.FetchOutcome(job, func(ok bool) {
			unread--
			allRead = allRead && ok
			if unread == 0 {
				done(allRead)
			}
		})
	}
}

// FetchOutcome passes the outcome of a job that is no longer live to the dependency graph. An
// outcome that is not cached is read from the store. ok is false if the outcome could not be read.
func (s *Service) FetchOutcome(job string, done func(ok bool)) {
	if outcome, known := s.finished.Get(job); known {
		s.controller.Dependencies().RecordOutcome(job, dependencyOutcome(outcome.Status))
		done(true)
		return
	}
	s.readOutcome(job, func(_ shard.FinalRecord, err error) { done(err == nil) })
}

// CancelWithDependency stores that a waiting job is cancelled because one of its direct or
// transitive dependencies was cancelled.
func (s *Service) CancelWithDependency(job string, done func(ok bool)) {
	abandon := func() bool { return true }
	s.storeCancellation(job, s.controller.Dependencies().CancellationCause(job), done, abandon)
}
