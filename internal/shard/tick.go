package shard

import (
	"log/slog"
	"time"
)

// This file handles the timer ticks of the shard.

// passesPerReportInterval is the maximum number of scheduling passes over all machines per report
// interval.
const passesPerReportInterval = 8

// Tick runs the periodic work of the shard: progress writes, the checks of machines (see
// checkMachine), and a scheduling pass if one is due. It is called a few times a second.
func (s *Shard) Tick() {
	defer s.finishCommandRequests()
	now := s.controller.Now()
	writeInterval := s.progressInterval(s.countUnwrittenJobs())
	s.evaluateSuspects(now)
	for _, job := range s.jobsByID() {
		s.beginJobOperation(OperationTickJob, job.Record.Job.ID)
		s.tickJob(job, now, writeInterval)
	}
	s.finishCommandRequests()
	s.spotFreeCores = -1
	s.failing = nil
	for _, machine := range s.machinesByID() {
		s.beginMachineOperation(OperationTickMachine, machine.ID)
		s.checkMachine(machine, now)
		s.sendCommandsIfDue(machine)
	}
	s.finishCommandRequests()
	if s.isPassDue(now) {
		s.Schedule()
	}
}

// countUnwrittenJobs returns the number of jobs whose stored progress is outdated.
func (s *Shard) countUnwrittenJobs() int {
	count := 0
	for _, job := range s.jobsByID() {
		if job.progressDirty {
			count++
		}
	}
	return count
}

// tickJob runs the periodic work of one job.
func (s *Shard) tickJob(job *QueuedJob, now, writeInterval time.Duration) {
	if s.isPartialGang(job) {
		slog.Info("shard: partial gang restarted", "shard", s.ID, "job", job.Record.Job.ID, "placed", job.placedTasks)
		job.gangFailed = true
		s.needsPass = true
		s.clearGangAttempt(job)
	}
	s.finishIfDone(job)
	s.writeProgressIfDue(job, now, writeInterval)
	if job.isHosted() {
		s.checkRemoteLease(job, now)
	}
}

// isPassDue reports whether a scheduling pass over all machines is due. If something has changed
// since the last pass, the next one is due passInterval after it. Otherwise it is due half a report
// interval after it.
func (s *Shard) isPassDue(now time.Duration) bool {
	since := now - s.lastPassAt
	if since < s.passInterval() {
		return false
	}
	return s.needsPass || since > s.reportInterval()/2
}

// passInterval returns the minimum time between two scheduling passes over all machines.
func (s *Shard) passInterval() time.Duration {
	return s.reportInterval() / passesPerReportInterval
}

// ScheduleMachine places tasks on a machine after its report, so that the answer to the report
// carries the launch commands. A pass over all machines would cost more than the handling of the
// report, so the pass is left to the next tick.
func (s *Shard) ScheduleMachine(machine *Machine) {
	if s.needsPass {
		s.scheduleOnMachine(machine)
	}
}
