package shard

import (
	"log/slog"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// This file reconciles the shard's state with the heartbeat reports of its machines.

// HandleReport applies a report of a machine's agent. It returns false if the report is outdated.
// origin tells whether the agent posted the report or sent it in its answer to commands.
func (s *Shard) HandleReport(machine *Machine, report *protocol.Report, origin agent.ReportOrigin) bool {
	defer s.finishCommandRequests()
	s.beginMachineOperation(OperationReport, machine.ID)
	wasReconciled := machine.Reconciled
	events, ok := machine.ApplyReport(report, s.controller.Now(), origin)
	if !ok {
		return false
	}
	if machine.Reconciled != wasReconciled {
		s.needsPass = true
		slog.Debug("shard: machine reconciled", "shard", s.ID, "machine", machine.ID, "attempts", len(machine.Attempts))
	}
	s.handleEvents(machine, events)
	if !machine.IsReachable() {
		s.requeueUnreachable(machine, keepGangs)
	}
	return true
}

// handleEvents handles the changes of attempts that follow from a report or from the expiry of the
// machine's lease.
func (s *Shard) handleEvents(machine *Machine, events []agent.Event) {
	hasFailures := false
	for _, event := range events {
		s.needsPass = true
		hasFailures = hasFailures || event.Kind == agent.AttemptEnded && event.Attempt.Cause == protocol.CauseError
		switch event.Kind {
		case agent.AttemptDiscovered:
			s.handleDiscovered(machine, event.Attempt)
		case agent.AttemptStarted:
			s.handleStarted(machine, event.Attempt)
		case agent.AttemptEnded:
			s.handleEnded(machine, event.Attempt)
		case agent.AttemptLost:
			s.handleLost(machine, event.Attempt)
		}
	}
	s.recheckStoppedGangs(events)
	if hasFailures {
		s.evaluateSuspects(s.controller.Now())
	}
	if len(events) > 0 && len(machine.Attempts) == 0 {
		machine.emptySince = s.controller.Now()
	}
}

// handleDiscovered handles an attempt that a previous owner launched. If the task belongs to this
// shard, it adopts the result of a finished attempt, and it adopts a running attempt if the task has
// no other one. All other attempts are acknowledged if they have ended, and stopped otherwise.
func (s *Shard) handleDiscovered(machine *Machine, attempt *agent.Attempt) {
	job := s.Jobs[attempt.Job]
	isLocal := job != nil && attempt.Index < job.Record.Job.Tasks && job.Record.ShardOf(attempt.Index) == s.ID
	switch {
	case isLocal && attempt.HasEnded() && attempt.Cause == protocol.CauseDone:
		s.adoptResult(job, attempt)
	case !isLocal || !job.canAdopt(attempt):
		s.rejectDiscovered(machine, attempt, isLocal)
	case attempt.HasEnded():
		attempt.Acknowledge = true
	default:
		s.adoptRunning(job, machine, attempt)
	}
}

// canAdopt reports whether an attempt found on a machine can become the placement of its task. The
// task must be idle, and tasks of a gang must all have the same attempt number.
func (q *QueuedJob) canAdopt(attempt *agent.Attempt) bool {
	if q.taskStates[attempt.Index] != taskIdle {
		return false
	}
	return !q.isGang() || q.gangAttempt == 0 || q.gangAttempt == attempt.Number
}

// adoptResult completes a task that finished under a previous owner. If this owner has placed
// another attempt of the task, that attempt is stopped.
func (s *Shard) adoptResult(job *QueuedJob, attempt *agent.Attempt) {
	if job.taskStates[attempt.Index] == taskPlaced {
		if other := job.placements[attempt.TaskID]; other != nil {
			other.machine.RequestStop(other.attempt, 0)
			delete(job.placements, attempt.TaskID)
		}
	}
	s.completeTask(job, attempt)
}

// adoptRunning adopts an unfinished attempt that a previous owner launched. The attempt becomes the
// placement of its task, which was idle until then.
func (s *Shard) adoptRunning(job *QueuedJob, machine *Machine, attempt *agent.Attempt) {
	job.setTaskState(attempt.Index, taskPlaced)
	attempt.RemoteLease = job.remoteLease
	job.placements[attempt.TaskID] = &placement{machine, attempt}
	if job.isGang() {
		job.gangAttempt = attempt.Number
		job.gangCleared = false // if the attempt has failed, this task has not been told to stop
	}
	if attempt.State == protocol.TaskCheckpointing { // a previous owner is stopping it
		attempt.StopRequested = true
		attempt.GraceSeconds = job.Record.Job.CheckpointDuration
		job.gangStopping = true
	}
}

// rejectDiscovered handles an attempt that cannot be adopted: it acknowledges an ended attempt and
// stops any other. isLocal is true if the attempt's task is in this shard.
func (s *Shard) rejectDiscovered(machine *Machine, attempt *agent.Attempt, isLocal bool) {
	attempt.Orphaned = true
	if attempt.HasEnded() {
		attempt.Acknowledge = true
		return
	}
	job := s.Jobs[attempt.Job]
	if isLocal {
		job.unwantedAttempts[attempt] = machine
	}
	s.logTask("unexpected task stopped", machine, attempt, "job_is_live", job != nil)
	machine.RequestStop(attempt, 0)
	s.requestCommands(machine)
}

// handleStarted records for a newly running attempt that its job has started, and that the job's
// image is cached on the machine.
func (s *Shard) handleStarted(machine *Machine, attempt *agent.Attempt) {
	image := ""
	if job := s.Jobs[attempt.Job]; job != nil {
		image = job.Record.Job.Image
		if job.firstRunningAt == 0 {
			job.firstRunningAt = s.controller.Now()
			job.progressDirty = true
		}
	}
	machine.cachedImages[image] = true
}

// handleEnded handles the end of an attempt: it completes or requeues the task.
func (s *Shard) handleEnded(machine *Machine, attempt *agent.Attempt) {
	job := s.Jobs[attempt.Job]
	if attempt.Orphaned || job == nil {
		attempt.Acknowledge = true
		return
	}
	now := s.controller.Now()
	if attempt.Cause == protocol.CauseDone {
		if attempt.StartedAt > 0 {
			s.updateEstimateCorrection(&job.Record.Job, now-attempt.StartedAt)
		}
		s.recordSuccess(job, machine, attempt)
		s.completeTask(job, attempt)
		return
	}
	attempt.Acknowledge = true
	s.logTask("attempt ended without result", machine, attempt, "cause", attempt.Cause, "checkpointed", attempt.Checkpointed)
	switch attempt.Cause {
	case protocol.CauseError:
		s.recordFailure(job, machine, now)
	case protocol.CauseMachineFull, protocol.CauseOtherAttemptPresent:
		machine.fullUntil = now + s.reportInterval()
	case protocol.CauseUnknownTask:
		job.backoffUntil = now + s.reportInterval()
	}
	s.requeueTask(job, attempt)
}

// handleLost requeues the task of an attempt that is no longer on its machine and whose outcome was
// never reported.
func (s *Shard) handleLost(machine *Machine, attempt *agent.Attempt) {
	job := s.Jobs[attempt.Job]
	if attempt.Orphaned || job == nil {
		return
	}
	s.logTask("task lost", machine, attempt)
	s.requeueTask(job, attempt)
}

// gangPolicy selects what requeueUnreachable does with tasks of gangs.
type gangPolicy bool

const (
	keepGangs    gangPolicy = false // used when only a single answer may have been lost, which is no reason to stop a gang
	requeueGangs gangPolicy = true  // used when the machine is known to be unreachable
)

// requeueUnreachable requeues the tasks that were placed on a machine which commands may not reach.
// It leaves out tasks that may already have been launched there and, with keepGangs, tasks of gangs.
func (s *Shard) requeueUnreachable(machine *Machine, gangs gangPolicy) {
	for attempt := range machine.AllAttempts() {
		job := s.Jobs[attempt.Job]
		if attempt.MayExist() || job != nil && job.isGang() && gangs == keepGangs {
			continue
		}
		machine.Forget(attempt)
		if job != nil {
			s.logTask("task of unreachable machine queued again", machine, attempt)
			s.requeueTask(job, attempt)
		}
	}
}
