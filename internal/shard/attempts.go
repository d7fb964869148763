package shard

import (
	"log/slog"

	"curlewspool/internal/agent"
)

// This file handles the end of attempts: it completes, requeues and stops tasks.

// checkpointMarginSeconds is added to a task's checkpoint duration to get the grace period
// with which it is stopped.
const checkpointMarginSeconds = 1

// logTask logs an event of a task on a machine, with optional further attributes.
func (s *Shard) logTask(event string, machine *Machine, attempt *agent.Attempt, attributes ...any) {
	common := []any{"shard", s.ID, "machine", machine.ID, "task", attempt.String()}
	slog.Info("shard: "+event, append(common, attributes...)...)
}

// completeTask marks a task as done. If the task belongs to a gang, it marks all tasks of the gang
// as done.
func (s *Shard) completeTask(job *QueuedJob, attempt *agent.Attempt) {
	delete(job.placements, attempt.TaskID)
	job.setTaskState(attempt.Index, taskDone)
	job.progressDirty = true
	job.unrecordedEnds = append(job.unrecordedEnds, attempt)
	if job.isGang() && job.remainingTasks > 0 { // the first of the gang's tasks to be reported
		s.beginJobOperation(OperationCompleteGang, job.Record.Job.ID)
		for task := range job.taskStates {
			job.setTaskState(task, taskDone)
		}
	}
	s.needsPass = true
	s.finishIfDone(job)
}

// requeueTask puts a task back into the queue after its attempt ended without a result. If the
// task belongs to a gang, the other tasks of the gang are stopped.
func (s *Shard) requeueTask(job *QueuedJob, attempt *agent.Attempt) {
	if !job.isPlacedAs(attempt) {
		return
	}
	delete(job.placements, attempt.TaskID)
	job.setTaskState(attempt.Index, taskIdle)
	if job.isGang() {
		job.gangFailed = true
		s.clearGangAttempt(job)
	}
	s.needsPass = true
}

// clearGangAttempt stops the remaining tasks of a gang's failed attempt, once for the attempt. The
// next attempt may start only when all of them have terminated.
func (s *Shard) clearGangAttempt(job *QueuedJob) {
	if !job.gangCleared {
		job.gangCleared = true
		s.stopRemainingGang(job)
	}
	if job.placedTasks == 0 {
		job.gangFailed = false
		job.gangStopping = false
		job.gangCleared = false
		job.gangMachines = nil
		job.gangAttempt = 0
	}
}

// stopRemainingGang stops all tasks of a gang at once, except those that already save a checkpoint
// because the gang was stopped in an orderly way.
func (s *Shard) stopRemainingGang(job *QueuedJob) {
	s.beginJobOperation(OperationStopGang, job.Record.Job.ID)
	job.gangMachines = nil
	isListed := map[*Machine]bool{}
	for _, placed := range job.sortedPlacements() {
		if job.gangStopping && placed.attempt.StopRequested {
			continue
		}
		wasNotLaunched := placed.machine.RequestStop(placed.attempt, 0)
		if !wasNotLaunched {
			s.requestCommands(placed.machine)
			if !isListed[placed.machine] {
				isListed[placed.machine] = true
				job.gangMachines = append(job.gangMachines, placed.machine)
			}
			continue
		}
		delete(job.placements, placed.attempt.TaskID)
		job.setTaskState(placed.attempt.Index, taskIdle)
	}
}

// recheckStoppedGangs requests commands again for the machines of failed gangs of which the events end
// tasks. The stops of a machine that had commands in flight before then need not wait for a tick.
func (s *Shard) recheckStoppedGangs(events []agent.Event) {
	rechecked := map[*QueuedJob]bool{}
	for _, event := range events {
		job := s.Jobs[event.Attempt.Job]
		if job == nil || !job.gangCleared || job.gangStopping || rechecked[job] {
			continue
		}
		rechecked[job] = true
		for _, machine := range job.gangMachines {
			if machine.HasAttemptsOf(job.Record.Job.ID) {
				s.requestCommands(machine)
			}
		}
	}
}

// stopAttempt stops a task. If the task belongs to a gang, the whole gang is stopped. Tasks that
// save checkpoints get a grace period. The reason is only logged.
func (s *Shard) stopAttempt(job *QueuedJob, placed *placement, reason string) {
	if !job.isGang() {
		s.stopPlacement(job, placed, reason)
		return
	}
	// The caller may pass several tasks of the same gang in turn. If none of them had been
	// launched, the first call has already requeued the whole gang. If a later call then set
	// gangStopping, it would stay set indefinitely (seen in one of 1,050 random simulated runs).
	if job.gangStopping || !job.isPlacedAs(placed.attempt) {
		return
	}
	job.gangStopping = true
	for _, member := range job.sortedPlacements() {
		s.stopPlacement(job, member, reason)
	}
}

// stopPlacement stops one task, with a grace period if the job saves checkpoints.
func (s *Shard) stopPlacement(job *QueuedJob, placed *placement, reason string) {
	grace := 0.0
	if job.savesCheckpoints() {
		grace = job.Record.Job.CheckpointDuration + checkpointMarginSeconds
	}
	s.logTask("task stopped", placed.machine, placed.attempt, "reason", reason)
	if wasNotLaunched := placed.machine.RequestStop(placed.attempt, grace); wasNotLaunched {
		s.requeueTask(job, placed.attempt)
		return
	}
	s.requestCommands(placed.machine)
}
