package shard

import (
	"log/slog"
	"slices"

	"curlewspool/internal/agent"
)

// This file applies changed records of the key-value store to the shard: jobs, their progress,
// and machines.

// UpdateJob applies the record of a live job. A nil record means that the job has finished.
func (s *Shard) UpdateJob(id string, record *JobRecord, revision uint64) {
	defer s.finishCommandRequests()
	s.beginJobOperation(OperationJobRecord, id)
	s.needsPass = true
	job := s.Jobs[id]
	if record == nil {
		if job != nil {
			s.dropJob(job)
		}
		return
	}
	if job == nil {
		if !slices.Contains(record.ChunkShards, s.ID) {
			return
		}
		job = s.addJob(id, record, revision)
	}
	job.storedRecord = record
	job.Record = s.controller.WithInherited(record)
	job.Revision = revision
	job.mergeDone(record.DoneRanges, s.ID)
	job.recountTasks(s.ID)
	s.checkCacheSync(job)
}

// addJob adds a job that is new in the shard to the queue.
func (s *Shard) addJob(id string, record *JobRecord, revision uint64) *QueuedJob {
	job := newQueuedJob(record, revision, s.controller.Now())
	job.newSinceTakeover = revision > s.guard().Revision
	job.awaitsCacheSync = job.mayRunOnAnyMachine()
	if job.awaitsCacheSync {
		s.awaitingSyncCount++
	}
	if job.isHosted() {
		s.hostedCount++
	}
	s.Jobs[id] = job
	s.jobOrder = nil
	s.lastPassAt = 0 // the next tick runs a scheduling pass
	for _, machine := range s.Machines {
		if machine.free.hasUnknownJob { // an attempt of an unknown job may belong to the new job
			machine.freeVersion = 0
		}
		if machine.teamUsage.hasUnknownJob {
			machine.teamUsageVersion = 0
		}
	}
	slog.Debug("shard: job queued", "shard", s.ID, "job", id, "tasks", record.Job.Tasks, "rank", record.Rank)
	return job
}

// dropJob removes a finished job and stops its remaining attempts.
func (s *Shard) dropJob(job *QueuedJob) {
	// The controller's cache may share the record, so a copy is changed.
	record := *job.Record
	record.ChunkShards = nil
	job.Record = &record
	for _, machine := range s.machinesByID() {
		if machine.HasAttemptsOf(record.Job.ID) {
			s.removeOrphans(machine, record.Job.ID)
		}
		s.requestCommands(machine)
	}
	job.placements = map[agent.TaskID]*placement{}
	s.forgetJob(job)
}

// removeOrphans removes the attempts of a finished job from a machine.
func (s *Shard) removeOrphans(machine *Machine, job string) {
	s.beginMachineOperation(OperationRemoveAttempts, machine.ID)
	for attempt := range machine.AllAttempts() {
		if attempt.Job == job {
			removeOrphan(machine, attempt)
		}
	}
}

// removeOrphan removes an attempt of a finished job from its machine: it acknowledges an ended
// attempt and stops any other.
func removeOrphan(machine *Machine, attempt *agent.Attempt) {
	attempt.Orphaned = true
	machine.MarkChanged()
	if attempt.HasEnded() {
		attempt.Acknowledge = true
		return
	}
	machine.RequestStop(attempt, 0)
}

// forgetJob removes the state of a job from the shard.
func (s *Shard) forgetJob(job *QueuedJob) {
	id := job.Record.Job.ID
	if s.Jobs[id] == job {
		if job.isHosted() {
			s.hostedCount--
		}
		if job.awaitsCacheSync {
			s.awaitingSyncCount--
		}
	}
	delete(s.Jobs, id)
	s.faults.ForgetJob(id)
	s.jobOrder = nil
	if s.headJob == job {
		s.headJob = nil
	}
}

// forgetIfMovedAway removes the state of a job that no longer has a chunk in the shard, unless
// writes or attempts of it are still pending.
func (s *Shard) forgetIfMovedAway(job *QueuedJob) {
	switch {
	case s.Jobs[job.Record.Job.ID] != job:
	case job.localTasks > 0 || job.writeInFlight:
	case len(job.placements) > 0 || len(job.unrecordedEnds) > 0 || len(job.unwantedAttempts) > 0:
	default:
		s.forgetJob(job)
	}
}

// RefreshInherited recomputes the priority and deadline that a job inherits from its dependent jobs.
func (s *Shard) RefreshInherited(id string) {
	if job := s.Jobs[id]; job != nil {
		job.Record = s.controller.WithInherited(job.storedRecord)
		s.needsPass = true
	}
}

// CacheAdvanced is called after the controller's cache of the store has reached a new revision.
func (s *Shard) CacheAdvanced() {
	if s.awaitingSyncCount == 0 {
		return
	}
	defer s.finishCommandRequests()
	for _, job := range s.jobsByID() {
		s.checkCacheSync(job)
	}
}

// checkCacheSync allows the launches of a job with JobRecord.Anywhere once the controller's cache
// contains all changes that were stored before the job's record. If this controller wrote the record
// itself, the answer to the write may arrive before these changes. One of the changes may be that
// another controller has taken over the shard. The new owner then assumes that no previous owner can
// launch a job whose record is newer than the new ownership key.
func (s *Shard) checkCacheSync(job *QueuedJob) {
	if !job.awaitsCacheSync || !s.controller.Store().HasRevision(job.Revision) {
		return
	}
	job.awaitsCacheSync = false
	job.recordedMachines.every = true
	s.awaitingSyncCount--
	s.releaseHeldAttempts(job)
}

// UpdateProgress applies the stored progress of a job in this or another shard.
func (s *Shard) UpdateProgress(id string, shardID int, progress *Progress) {
	job := s.Jobs[id]
	if job == nil || progress == nil {
		return
	}
	s.beginJobOperation(OperationProgressRecord, id)
	job.mergeDone(progress.DoneRanges, s.ID)
	s.recordStoredEvidence(job, shardID, progress.FaultEvidence)
	if shardID == s.ID && !job.writeInFlight { // while a write is in flight, only progressWrite.finish sets recordedMachines
		job.recordedMachines = progress.machineSet()
	}
	s.needsPass = true
	s.finishIfDone(job)
}

// UpdateMachine applies a machine's record. A nil record means that the cloud has definitely
// deleted the machine, and with it all of its tasks.
func (s *Shard) UpdateMachine(id string, record *MachineRecord) {
	defer s.finishCommandRequests()
	s.needsPass = true
	machine := s.Machines[id]
	if record == nil || record.Shard != s.ID {
		if machine != nil {
			s.removeMachine(machine)
		}
		return
	}
	if machine == nil {
		machine = s.newMachine(id, record)
		s.Machines[id] = machine
		s.machineOrder = nil
	}
	machine.record = *record
}

// removeMachine removes a machine that was deleted or transferred to another shard, and requeues
// the tasks that were on it.
func (s *Shard) removeMachine(machine *Machine) {
	delete(s.Machines, machine.ID)
	s.machineOrder = nil
	s.faults.ForgetMachine(machine.ID)
	for attempt := range machine.AllAttempts() {
		machine.Forget(attempt)
		if !attempt.HasEnded() {
			s.handleLost(machine, attempt)
		}
	}
}
