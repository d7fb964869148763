package shard

import (
	"log/slog"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
)

// This file runs hosted jobs: jobs of partner clusters (docs/federation.md).

// HostedPriority is the priority of hosted jobs. It is below every priority that users can
// request, so all jobs of this cluster precede hosted jobs in the queue and may preempt them.
const HostedPriority = -1

// Wait reasons of hosted jobs, shown to operators.
const (
	waitRemoteLeaseEnding WaitReason = "borrowed: is given back"
	waitRenewal           WaitReason = "borrowed: waits for its home's word"
)

const (
	// takeoverGraceDivisor limits how long answers to reports may be delayed after a takeover of
	// the shard. The limit is the machine lease divided by takeoverGraceDivisor. See
	// recentlyAcquired.
	takeoverGraceDivisor = 10
	// maxIdleTerms is the number of terms after which the remote lease of a hosted job without
	// placed tasks is released, even if the home cluster is unresponsive.
	maxIdleTerms = 10
)

// canStartHosted reports whether tasks of a hosted job may start now. If not, it sets the
// job's wait reason.
func (s *Shard) canStartHosted(job *QueuedJob, now time.Duration) bool {
	if job.Record.RemoteLease.Ending || job.endedByHome {
		job.waitReason = waitRemoteLeaseEnding
		return false
	}
	// The launch command may have to wait for the answer to the machine's next report, so the
	// remote lease must last at least until that answer.
	if job.remoteLease.Remaining(now) < s.reportInterval() {
		job.waitReason = waitRenewal
		return false
	}
	return true
}

// EachHosted calls visit for each hosted job that has tasks in the shard, with the validity of
// its remote lease.
func (s *Shard) EachHosted(visit func(record *JobRecord, remoteLease *remotelease.Validity)) {
	for _, job := range s.jobsByID() {
		if job.isHosted() && job.localTasks > 0 {
			visit(job.Record, job.remoteLease)
		}
	}
}

// RemoteLeaseRenewed is called after the home cluster has renewed the remote lease of a
// hosted job. It makes a scheduling pass due, so that queued tasks start at once.
func (s *Shard) RemoteLeaseRenewed(id string) {
	if job := s.Jobs[id]; job != nil && job.idleTasks > 0 {
		s.needsPass = true
		s.lastPassAt = 0
	}
}

// EndRemoteLease is called after the home cluster has ended the remote lease of a hosted job.
// The next tick stops the job's tasks.
func (s *Shard) EndRemoteLease(id string) {
	job := s.Jobs[id]
	if job == nil || !job.isHosted() || job.endedByHome {
		return
	}
	job.endedByHome = true
	slog.Info("shard: remote lease ended by home cluster", "shard", s.ID, "job", id)
}

// checkRemoteLease stops the tasks of a hosted job that must not continue, and releases its
// remote lease when that is due.
func (s *Shard) checkRemoteLease(job *QueuedJob, now time.Duration) {
	if job.placedTasks > 0 {
		job.lastPlacedAt = now
	}
	remaining := job.remoteLease.Remaining(now)
	s.stopIfRemoteLeaseEnds(job, remaining, now)
	// A job without tasks in this shard has moved to another one, and is in s.Jobs only until
	// its pending writes and attempts here are done. Only the owner of the other shard knows
	// which tasks run there, so this shard must not release the remote lease.
	if job.localTasks > 0 && job.shouldReleaseRemoteLease(remaining, now) {
		s.releaseRemoteLease(job)
	}
}

// stopIfRemoteLeaseEnds stops a hosted job whose remote lease has expired or is being ended. If the
// remote lease is about to expire, it stops only the running tasks that save checkpoints. remaining
// is the time until the remote lease expires.
func (s *Shard) stopIfRemoteLeaseEnds(job *QueuedJob, remaining, now time.Duration) {
	spec := &job.Record.Job
	saveTime := env.Seconds(spec.CheckpointDuration) + 2*s.reportInterval()
	switch {
	case remaining == 0 && s.recentlyAcquired(now): // the home cluster may be about to renew the remote lease
	case remaining == 0:
		s.stopHosted(job, 0)
	case job.Record.RemoteLease.Ending || job.endedByHome:
		s.stopHosted(job, spec.CheckpointDuration)
	case job.savesCheckpoints() && remaining < min(saveTime, job.remoteLeaseTerm()/2):
		// The home cluster has not renewed the remote lease for some time. The running tasks are
		// stopped while there is still time to save a checkpoint.
		for _, placed := range job.sortedPlacements() {
			if !placed.attempt.StopRequested && placed.attempt.StartedAt > 0 {
				s.stopAttempt(job, placed, "home cluster is silent")
			}
		}
	}
}

// remoteLeaseTerm returns how long a renewal by the home cluster is valid.
func (q *QueuedJob) remoteLeaseTerm() time.Duration {
	return time.Duration(q.Record.RemoteLease.TermMillis) * time.Millisecond
}

// shouldReleaseRemoteLease reports whether the remote lease of a hosted job should be released, so
// that the home cluster can run the job elsewhere. A lease that is ending or recalled should be
// released. The lease should also be released if no task of the job has been on a machine for more
// than one term and the lease is still valid. After more than maxIdleTerms terms without such a task
// it should be released even if it has expired.
func (q *QueuedJob) shouldReleaseRemoteLease(remaining, now time.Duration) bool {
	lease := q.Record.RemoteLease
	if lease.Ending || q.endedByHome || lease.Recall {
		return true
	}
	idleFor := now - q.lastPlacedAt
	return idleFor > q.remoteLeaseTerm() && remaining > 0 || idleFor > maxIdleTerms*q.remoteLeaseTerm()
}

// recentlyAcquired reports whether the shard was acquired so recently that the home clusters of
// hosted jobs may not have answered a renewal request yet. If a machine's report were answered
// before that, the answer would have to stop the machine's hosted tasks, although their remote
// leases may be about to be renewed. Answers to such reports are therefore delayed, by at most a
// tenth of the machine lease.
func (s *Shard) recentlyAcquired(now time.Duration) bool {
	return now < s.acquiredAt+s.leaseDuration()/takeoverGraceDivisor
}

// ShouldDelayAnswer reports whether the answer to the machine's report should be delayed for the
// reason given at recentlyAcquired.
func (s *Shard) ShouldDelayAnswer(machine *Machine, now time.Duration) bool {
	return s.hostedCount > 0 && s.recentlyAcquired(now) && machine.HasExpiredRemoteLease(now)
}

// stopHosted stops all tasks of a hosted job. If saveSeconds is positive and the job saves
// checkpoints, its tasks get a grace period.
func (s *Shard) stopHosted(job *QueuedJob, saveSeconds float64) {
	for _, placed := range job.sortedPlacements() {
		attempt := placed.attempt
		isStopping := attempt.StopRequested && (saveSeconds > 0 || attempt.GraceSeconds == 0)
		switch {
		case isStopping:
		case saveSeconds > 0 && job.savesCheckpoints():
			s.stopAttempt(job, placed, "borrowed job returned")
		case placed.machine.RequestStop(attempt, 0):
			s.requeueTask(job, attempt)
		default:
			s.requestCommands(placed.machine)
		}
	}
}

// hasNoAttempts reports whether no attempt of the job is, or could be, on any machine of the
// shard.
func (s *Shard) hasNoAttempts(job *QueuedJob) bool {
	if job.placedTasks > 0 || len(job.placements) > 0 || job.writeInFlight || job.moveInFlight {
		return false
	}
	if s.hasStaleAttempt(job) {
		return false
	}
	for _, machine := range s.machinesByID() {
		if !machine.Reconciled && job.recordedMachines.contains(machine.ID) {
			return false
		}
		if !machine.HasAttemptsOf(job.Record.Job.ID) {
			continue
		}
		for _, attempt := range machine.Attempts {
			if attempt.Job == job.Record.Job.ID && !attempt.HasEnded() && attempt.MayExist() {
				return false
			}
		}
	}
	return true
}

// releaseRemoteLease replaces the job's record by a final record that lists the finished tasks. It
// does so only when no attempt of the job is left here, which only the owner of the job's shard can
// know.
func (s *Shard) releaseRemoteLease(job *QueuedJob) {
	if job.finishing || job.remainingTasks == 0 || !s.hasNoAttempts(job) {
		return
	}
	job.finishing = true
	id := job.Record.Job.ID
	s.controller.Store().Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if s.Jobs[id] != job || job.localTasks == 0 || !s.hasNoAttempts(job) {
				return nil, nil
			}
			return s.replaceByFinal(job, &FinalRecord{
				Nonce:      nonce,
				Status:     protocol.JobCancelled,
				Tasks:      job.Record.Job.Tasks,
				FinishedAt: s.controller.WallSeconds(),
				DoneRanges: job.doneRanges(s.ID, s.listSizeLimit()),
			})
		},
		Done: func(ok bool, _ uint64) {
			job.finishing = false
			if ok {
				slog.Info("shard: remote lease released", "shard", s.ID, "job", id, "done", job.localDone, "of", job.localTasks)
			}
		},
	})
}
