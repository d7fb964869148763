package shard

import (
	"log/slog"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// This file says what follows from failures (see package blame). A job that is likely
// mistaken has one task at a time tried, ever more rarely, in room that nothing else
// waits for: it is never the head, stops nothing, moves nowhere, and nothing is rented
// for it. A machine that is likely sick takes one task at a time, of a job that did
// not fail there; it is returned when it is surely sick.

// recordFailure: a task ended with an error.
func (s *Shard) recordFailure(job *QueuedJob, machine *Machine, now time.Duration) {
	id := job.Record.Job.ID
	machine.lastFailureAt = now
	job.failuresByMachine[machine.ID]++
	// Elsewhere first; a machine that fails all it starts would otherwise get the
	// job's tasks again and again, being always free.
	job.avoidUntil[machine.ID] = now + s.reportInterval()<<min(job.failuresByMachine[machine.ID], 6)
	s.faults.RecordFailure(id, machine.ID)
	if machine.suspect {
		machine.nextProbeAt = now + s.reportInterval()
	}
	if job.suspect {
		job.failedProbes++
		job.notBefore = now + s.reportInterval()<<min(job.failedProbes, 5)
	}
	s.evaluateSuspects(now)
}

// recordSuccess: a task ended without error. One that began there after the last
// failure proves the machine well.
func (s *Shard) recordSuccess(job *QueuedJob, machine *Machine, attempt *agent.Attempt) {
	s.faults.RecordJobSuccess(job.Record.Job.ID)
	if attempt.PlacedAt > machine.lastFailureAt && machine.lastFailureAt > 0 {
		s.faults.RecordMachineSuccess(machine.ID)
		machine.lastFailureAt = 0
	}
}

// recordSuspicion takes what the owner of part k holds against a job; of this part, the
// owner before. (Heard from him like from another, it was gone with the first record
// that the new owner wrote, and all the job's tasks were tried once more.)
func (s *Shard) recordSuspicion(job *QueuedJob, shardID int, odds float64) {
	if shardID == s.ID {
		if job.progressWrittenAt == 0 {
			s.faults.InheritJobOdds(job.Record.Job.ID, odds)
		}
		return
	}
	if job.remoteEvidence[shardID] == odds {
		return
	}
	job.remoteEvidence[shardID] = odds
	sum := 0.0
	for _, partOdds := range job.remoteEvidence {
		sum += partOdds
	}
	s.faults.SetRemoteJobOdds(job.Record.Job.ID, sum)
}

// evaluateSuspects draws the conclusions for all that anything is held against.
func (s *Shard) evaluateSuspects(now time.Duration) {
	thresholds := &s.controller.Settings().Blame
	jobs, machines := s.faults.Suspects()
	for _, id := range jobs {
		job := s.Jobs[id]
		if job == nil {
			s.faults.ForgetJob(id) // of a job that this part no longer has
			continue
		}
		if job.remainingTasks < job.Record.Job.Tasks || job.isService() && job.firstRunningAt > 0 && now-job.firstRunningAt > s.leaseDuration() {
			s.faults.RecordJobSuccess(id)
		}
		switch likely := s.faults.JobFaultProbability(id); {
		case !job.suspect && likely >= thresholds.Hold:
			job.suspect, job.progressDirty = true, true // its other owners, and the next, are to know
			if len(job.failuresByMachine) == 0 && job.placedTasks == 0 {
				// By what others hold against it, who try it, or did before a restart.
				job.failedProbes = remoteVerdictProbes
				job.notBefore = now + s.reportInterval()<<remoteVerdictProbes
			}
			slog.Info("part: job fails on every machine", "part", s.ID, "job", id, "machines", len(job.failuresByMachine), "likely", likely)
			s.stopUnstarted(job)
		case job.suspect && likely < 0.5:
			job.suspect, job.failedProbes, job.progressDirty = false, 0, true
			slog.Info("part: job is all right", "part", s.ID, "job", id, "likely", likely)
		}
	}
	for _, id := range machines {
		machine := s.Machines[id]
		if machine == nil {
			continue
		}
		likely := s.faults.MachineFaultProbability(id)
		if sick := likely >= 0.5; sick != machine.suspect {
			machine.suspect = sick
			s.needsPass = true
			slog.Info("part: machine is in doubt", "part", s.ID, "machine", id, "sick", sick, "likely", likely)
		}
		if likely >= thresholds.Return {
			s.retireMachine(machine, "faulty")
		}
	}
}

// remoteVerdictProbes is how many failed tries a job counts as having had that is mistaken by
// the word of others alone. (After a restart of all controllers each part tried each
// such job at once, as if it were the first time.)
const remoteVerdictProbes = 2

// stopUnstarted takes back what of a mistaken job has not begun to run: it holds room and
// fetches images for nothing. What runs fails soon, or shows that it was not.
func (s *Shard) stopUnstarted(job *QueuedJob) {
	if job.isGang() {
		return // as a whole, when its tasks fail
	}
	for _, placed := range job.sortedPlacements() {
		if placed.attempt.StartedAt == 0 && placed.attempt.State != protocol.TaskRunning && !placed.attempt.StopRequested {
			s.stopAttempt(job, placed, "its job fails on every machine")
		}
	}
}

// unfitForGang: a gang is not to be what a machine in doubt is tried with, unless it should
// have begun, and nothing has failed there for a lease: perhaps nothing else comes that
// could be tried. (Random day 5110: a machine that had been faulty for 15 s was in doubt
// for ever, as no single task came any more, and a gang, for which it counted as room,
// waited for ever beside free machines of other parts.)
func (s *Shard) unfitForGang(machine *Machine, job *QueuedJob, now time.Duration) bool {
	return machine.suspect && job.isGang() && (now-machine.lastFailureAt < s.leaseDuration() || s.lateStartBoost(job, s.controller.WallSeconds()-job.Record.AcceptedAt) <= 0)
}

// isOnProbation: nothing more is to start on a machine that is likely sick, as a task is
// being tried there or the next try is not due.
func (m *Machine) isOnProbation(now time.Duration) bool {
	if !m.suspect {
		return false
	}
	for _, attempt := range m.Attempts {
		if !attempt.HasEnded() {
			return true
		}
	}
	return now < m.nextProbeAt
}
