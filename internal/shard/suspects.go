package shard

import (
	"log/slog"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// This file decides which jobs and machines are suspect after failures of tasks (see package
// faults).
//
// A suspect job probably fails on every machine. One of its tasks at a time runs as a probe, with
// exponential backoff, in capacity that no other job waits for. A suspect job is never the head of
// the queue, preempts nothing, does not move to other shards, and causes no scale-out.
//
// On a suspect machine tasks of any job probably fail. The machine runs one task at a time as a
// probe, of a job that has not recently failed there. It is retired once it is almost certainly
// faulty.

// suspectProbability is the probability of being faulty from which on a machine is suspect. A
// suspect job is cleared when its probability falls below the same value.
const suspectProbability = 0.5

// A backoff after n failures lasts 2^n report intervals. These constants are the maximum values of
// the exponent n.
const (
	maxMachineBackoffExponent = 6 // backoff of a job on one machine
	maxProbeBackoffExponent   = 5 // backoff of a suspect job on all machines
)

// assumedRemoteProbes is the number of failed probes that is assumed for a job that is suspect only
// because of evidence from other shards or previous owners. If no failed probes were assumed, each
// shard would probe each such job immediately after a restart of all controllers.
const assumedRemoteProbes = 2

// recordFailure records that a task of a job ended with an error on a machine. The caller evaluates
// the suspects once it has recorded all failures of a report.
func (s *Shard) recordFailure(job *QueuedJob, machine *Machine, now time.Duration) {
	id := job.Record.Job.ID
	machine.lastFailureAt = now
	job.failuresByMachine[machine.ID]++
	// The job avoids the machine for a while, so that its tasks try other machines first. A faulty
	// machine is always free, and would otherwise get the tasks again and again.
	machineBackoff := s.reportInterval() << min(job.failuresByMachine[machine.ID], maxMachineBackoffExponent)
	job.avoidUntil[machine.ID] = now + machineBackoff
	s.faults.RecordFailure(id, machine.ID)
	if machine.suspect {
		machine.nextProbeAt = now + s.reportInterval()
	}
	if job.suspect {
		job.failedProbes++
		job.backoffUntil = now + s.reportInterval()<<min(job.failedProbes, maxProbeBackoffExponent)
	}
}

// recordSuccess records that an attempt ended without error. If the attempt was placed after the
// last failure on the machine, its success counts as proof that the machine works.
func (s *Shard) recordSuccess(job *QueuedJob, machine *Machine, attempt *agent.Attempt) {
	s.faults.RecordJobSuccess(job.Record.Job.ID)
	if attempt.PlacedAt > machine.lastFailureAt && machine.lastFailureAt > 0 {
		s.faults.RecordMachineSuccess(machine.ID)
		machine.lastFailureAt = 0
	}
}

// recordStoredEvidence applies the evidence against a job that the owner of a shard has stored, as
// log odds. If the shard is this one, a previous owner stored the evidence, and this owner inherits
// the evidence as its own. If the evidence counted as that of another shard, this owner's first
// progress write would erase it, and all tasks of the job would be tried again.
func (s *Shard) recordStoredEvidence(job *QueuedJob, shardID int, odds float64) {
	if shardID == s.ID {
		if job.progressWrittenAt == 0 {
			s.faults.InheritJobLogOdds(job.Record.Job.ID, odds)
		}
		return
	}
	if job.remoteEvidence[shardID] == odds {
		return
	}
	job.remoteEvidence[shardID] = odds
	sum := 0.0
	for _, shardOdds := range job.remoteEvidence {
		sum += shardOdds
	}
	s.faults.SetRemoteJobLogOdds(job.Record.Job.ID, sum)
}

// evaluateSuspects decides for all jobs and machines with evidence against them whether they are
// suspect.
func (s *Shard) evaluateSuspects(now time.Duration) {
	jobs, machines := s.faults.Suspects()
	if len(jobs)+len(machines) > 0 {
		s.controller.SetActivity(Activity{Operation: OperationEvaluateSuspects})
	}
	for _, id := range jobs {
		job := s.Jobs[id]
		if job == nil {
			s.faults.ForgetJob(id) // the shard no longer has the job
			continue
		}
		s.evaluateJob(job, now)
	}
	for _, id := range machines {
		if machine := s.Machines[id]; machine != nil {
			s.evaluateMachine(machine)
		}
	}
}

// evaluateJob decides whether a job is suspect.
func (s *Shard) evaluateJob(job *QueuedJob, now time.Duration) {
	id := job.Record.Job.ID
	if s.hasSucceeded(job, now) {
		s.faults.RecordJobSuccess(id)
	}
	probability := s.faults.JobFaultProbability(id)
	switch {
	case !job.suspect && probability >= s.controller.Settings().Faults.SuspectJobThreshold:
		job.suspect = true
		job.progressDirty = true // owners of the job's other shards, and later owners of this one, need the evidence
		if len(job.failuresByMachine) == 0 && job.placedTasks == 0 {
			// The evidence is from other shards, or from before a restart.
			job.failedProbes = assumedRemoteProbes
			job.backoffUntil = now + s.reportInterval()<<assumedRemoteProbes
		}
		slog.Info("shard: job suspected", "shard", s.ID, "job", id, "machines", len(job.failuresByMachine), "probability", probability)
		s.stopUnstarted(job)
	case job.suspect && probability < suspectProbability:
		job.suspect = false
		job.failedProbes = 0
		job.progressDirty = true
		slog.Info("shard: job cleared", "shard", s.ID, "job", id, "probability", probability)
	}
}

// hasSucceeded reports whether a task of the job has finished or, if the job is a service, has
// run for longer than a machine lease.
func (s *Shard) hasSucceeded(job *QueuedJob, now time.Duration) bool {
	if job.remainingTasks < job.Record.Job.Tasks {
		return true
	}
	return job.isService() && job.firstRunningAt > 0 && now-job.firstRunningAt > s.leaseDuration()
}

// evaluateMachine decides whether a machine is suspect, and retires it if it is almost certainly
// faulty.
func (s *Shard) evaluateMachine(machine *Machine) {
	probability := s.faults.MachineFaultProbability(machine.ID)
	if isSuspect := probability >= suspectProbability; isSuspect != machine.suspect {
		machine.suspect = isSuspect
		s.needsPass = true
		slog.Info("shard: machine suspicion changed", "shard", s.ID, "machine", machine.ID, "suspect", isSuspect, "probability", probability)
	}
	if probability >= s.controller.Settings().Faults.RetireMachineThreshold {
		s.retireMachine(machine, retireFaulty)
	}
}

// stopUnstarted stops the tasks of a suspect job that do not run yet. Such tasks would probably hold
// resources and fetch images in vain. Running tasks continue, because they either fail soon or clear
// the job.
func (s *Shard) stopUnstarted(job *QueuedJob) {
	if job.isGang() {
		return // the failure of one task already stops the whole gang
	}
	for _, placed := range job.sortedPlacements() {
		attempt := placed.attempt
		if attempt.StartedAt == 0 && attempt.State != protocol.TaskRunning && !attempt.StopRequested {
			s.stopAttempt(job, placed, "its job fails on every machine")
		}
	}
}

// isUnfitForGang reports whether a job is a gang that must not start on a machine because the
// machine is suspect. A gang may be the probe only if the gang is late to start and nothing has
// failed on the machine for the duration of a lease. This exception is needed because there may be
// no other job that could be the probe. In random simulated run 5110, in which gangs were never
// probes, a machine that had been faulty for 15 s stayed suspect indefinitely, because no job other
// than gangs arrived. A gang for which the machine counted as capacity waited indefinitely,
// although machines of other shards were free.
func (s *Shard) isUnfitForGang(machine *Machine, job *QueuedJob, now time.Duration) bool {
	if !machine.suspect || !job.isGang() {
		return false
	}
	return now-machine.lastFailureAt < s.leaseDuration() || s.lateStartBoost(job, s.ageOf(job)) <= 0
}

// isOnProbation reports whether the machine is suspect and no task may start on it now: a probe
// is running, or the next one is not due yet.
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
