package shard

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// This file follows the runs of tasks: what workers say of them, what is stopped.

// HandleReport takes a worker's report; false if it is outdated.
func (s *Shard) HandleReport(machine *Machine, r *protocol.Report, origin agent.ReportOrigin) bool {
	was := machine.Reconciled
	events, ok := machine.Machine.ApplyReport(r, s.controller.Now(), origin)
	if !ok {
		return false
	}
	if machine.Reconciled != was {
		s.needsPass = true
		slog.Debug("part: machine known", "part", s.ID, "machine", machine.ID, "runs", len(machine.Attempts))
	}
	s.handleEvents(machine, events)
	if !machine.IsReachable() {
		s.requeueUnreachable(machine, false)
	}
	return true
}

// requeueUnreachable gives what was placed on a machine that does not hear, and is surely not
// there, back to the queue. A gang is not broken for one answer that was lost: its
// tasks stay until the machine is known to be deaf.
func (s *Shard) requeueUnreachable(machine *Machine, gangs bool) {
	for attempt := range machine.AllAttempts() {
		job := s.Jobs[attempt.Job]
		if attempt.MayExist() || job != nil && job.isGang() && !gangs {
			continue
		}
		machine.Forget(attempt)
		if job != nil {
			slog.Info("part: does not hear, its task goes elsewhere", "part", s.ID, "machine", machine.ID, "task", attempt.String())
			s.requeueTask(job, attempt)
		}
	}
}

func (s *Shard) handleEvents(machine *Machine, events []agent.Event) {
	for _, e := range events {
		s.needsPass = true
		switch e.Kind {
		case agent.AttemptDiscovered:
			s.handleAppeared(machine, e.Attempt)
		case agent.AttemptStarted:
			if job := s.Jobs[e.Attempt.Job]; job != nil && job.firstRunningAt == 0 {
				job.firstRunningAt = s.controller.Now()
				job.progressDirty = true
			}
			machine.cachedImages[s.imageOf(e.Attempt.Job)] = true
		case agent.AttemptEnded:
			s.handleFinished(machine, e.Attempt)
		case agent.AttemptLost:
			s.handleLost(machine, e.Attempt)
		}
	}
	if len(events) > 0 && len(machine.Attempts) == 0 {
		machine.emptySince = s.controller.Now()
	}
}

func (s *Shard) imageOf(jobID string) string {
	if job := s.Jobs[jobID]; job != nil {
		return job.Record.Job.Image
	}
	return ""
}

// handleAppeared: an earlier owner launched it. It is adopted if the task is ours
// and nowhere else; otherwise it must go.
func (s *Shard) handleAppeared(machine *Machine, attempt *agent.Attempt) {
	job := s.Jobs[attempt.Job]
	ours := job != nil && attempt.Index < job.Record.Job.Tasks && job.Record.ShardOf(attempt.Index) == s.ID
	if ours && attempt.HasEnded() && attempt.Cause == protocol.CauseDone {
		if job.taskStates[attempt.Index] == taskPlaced {
			if pl := job.placements[attempt.TaskID]; pl != nil {
				pl.machine.RequestStop(pl.attempt, 0)
				delete(job.placements, attempt.TaskID)
			}
		}
		s.completeTask(job, attempt)
		return
	}
	if !ours || job.taskStates[attempt.Index] != taskIdle || job.isGang() && job.gangAttempt != 0 && job.gangAttempt != attempt.Number {
		attempt.Orphaned = true
		if attempt.HasEnded() {
			attempt.Acknowledge = true
		} else {
			if ours {
				job.unwantedAttempts[attempt] = machine
			}
			slog.Info("part: unexpected task is halted", "part", s.ID, "machine", machine.ID, "task", attempt.String(), "live", job != nil)
			machine.RequestStop(attempt, 0)
			s.sendOrdersIfDue(machine)
		}
		return
	}
	if attempt.HasEnded() {
		attempt.Acknowledge = true
		return
	}
	job.setTaskState(attempt.Index, taskPlaced)
	attempt.Permit = job.permit
	job.placements[attempt.TaskID] = &placement{machine, attempt}
	if job.isGang() {
		job.gangAttempt = attempt.Number
	}
	if attempt.State == protocol.TaskCheckpointing { // an earlier owner is stopping it
		attempt.StopRequested, attempt.GraceSeconds = true, job.Record.Job.CheckpointDuration
		job.gangStopping = true
	}
}

func (s *Shard) handleFinished(machine *Machine, attempt *agent.Attempt) {
	job := s.Jobs[attempt.Job]
	if attempt.Orphaned || job == nil {
		attempt.Acknowledge = true
		return
	}
	if attempt.Cause == protocol.CauseDone {
		if attempt.StartedAt > 0 {
			s.learnRuntime(&job.Record.Job, s.controller.Now()-attempt.StartedAt)
		}
		s.recordSuccess(job, machine, attempt)
		s.completeTask(job, attempt)
		return
	}
	attempt.Acknowledge = true
	slog.Info("part: task ended", "part", s.ID, "machine", machine.ID, "task", attempt.String(), "cause", attempt.Cause, "saved", attempt.Checkpointed)
	now := s.controller.Now()
	switch attempt.Cause {
	case protocol.CauseError:
		s.recordFailure(job, machine, now)
	case protocol.CauseMachineFull, protocol.CauseOtherAttemptPresent:
		machine.fullUntil = now + s.reportInterval()
	case protocol.CauseUnknownTask:
		job.notBefore = now + s.reportInterval()
	}
	s.requeueTask(job, attempt)
}

// learnRuntime follows how far owners' estimates of a class are off.
func (s *Shard) learnRuntime(spec *protocol.Job, took time.Duration) {
	if spec.Estimate <= 0 {
		return
	}
	ratio := min(max(took.Seconds()/spec.Estimate, 0.1), 10)
	if correction, ok := s.estimateCorrection[spec.Class]; ok {
		ratio = correction + (ratio-correction)/20
	}
	s.estimateCorrection[spec.Class] = ratio
}

// handleLost: the run is not there any more and left no end.
func (s *Shard) handleLost(machine *Machine, attempt *agent.Attempt) {
	job := s.Jobs[attempt.Job]
	if attempt.Orphaned || job == nil {
		return
	}
	slog.Info("part: task lost", "part", s.ID, "machine", machine.ID, "task", attempt.String())
	s.requeueTask(job, attempt)
}

// requeueTask returns a task to the queue after its run ended without result.
func (s *Shard) requeueTask(job *QueuedJob, attempt *agent.Attempt) {
	pl := job.placements[attempt.TaskID]
	if pl == nil || pl.attempt != attempt {
		return
	}
	delete(job.placements, attempt.TaskID)
	job.setTaskState(attempt.Index, taskIdle)
	if job.isGang() {
		job.gangBroken = true
		s.clearGangAttempt(job)
	}
	s.needsPass = true
}

// clearGangAttempt ends what is left of a failed attempt; the next one may only
// start when all of it is gone.
func (s *Shard) clearGangAttempt(job *QueuedJob) {
	for _, pl := range job.sortedPlacements() {
		if job.gangStopping && pl.attempt.StopRequested {
			continue
		}
		if pl.machine.RequestStop(pl.attempt, 0) {
			delete(job.placements, pl.attempt.TaskID)
			job.setTaskState(pl.attempt.Index, taskIdle)
			continue
		}
		s.sendOrdersIfDue(pl.machine)
	}
	if job.placedTasks == 0 {
		job.gangBroken, job.gangStopping, job.gangAttempt = false, false, 0
	}
}

func (q *QueuedJob) sortedPlacements() []*placement {
	out := make([]*placement, 0, len(q.placements))
	for _, pl := range q.placements {
		out = append(out, pl)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].attempt.Index < out[j].attempt.Index })
	return out
}

func (s *Shard) completeTask(job *QueuedJob, attempt *agent.Attempt) {
	delete(job.placements, attempt.TaskID)
	job.setTaskState(attempt.Index, taskDone)
	job.progressDirty = true
	job.unrecordedEnds = append(job.unrecordedEnds, attempt)
	if job.isGang() { // they complete together
		for i := range job.taskStates {
			job.setTaskState(i, taskDone)
		}
	}
	s.needsPass = true
	s.finishIfDone(job)
}

// stopAttempt stops a task in an orderly way; a gang as a whole.
func (s *Shard) stopAttempt(job *QueuedJob, pl *placement, why string) {
	list := []*placement{pl}
	if job.isGang() {
		// Its other tasks may be listed to be stopped, too: the first may have ended
		// the attempt, if none of it had been launched. (It then counted as halting
		// for ever: one of 1,050 random days.)
		if cur := job.placements[pl.attempt.TaskID]; job.gangStopping || cur == nil || cur.attempt != pl.attempt {
			return
		}
		job.gangStopping = true
		list = job.sortedPlacements()
	}
	for _, o := range list {
		grace := 0.0
		if job.Record.Job.CheckpointInterval > 0 {
			grace = job.Record.Job.CheckpointDuration + 1
		}
		slog.Info("part: task is stopped", "part", s.ID, "machine", o.machine.ID, "task", o.attempt.String(), "why", why)
		if o.machine.RequestStop(o.attempt, grace) {
			s.requeueTask(job, o.attempt)
			continue
		}
		s.sendOrdersIfDue(o.machine)
	}
}

// expectedRuntime is the expected run time of a task, corrected by what its class
// showed.
func (s *Shard) expectedRuntime(spec *protocol.Job) time.Duration {
	if spec.Shape == protocol.ShapeService {
		return math.MaxInt64 / 4
	}
	correction, ok := s.estimateCorrection[spec.Class]
	if !ok {
		correction = 1
	}
	return env.Seconds(max(spec.Estimate, 1) * correction)
}
