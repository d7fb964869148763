package shard

import (
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
)

// This file writes the progress of jobs in the shard to the key-value store.

const (
	// progressWriteShare is the maximum share of a controller's write budget that the progress
	// writes of one shard may use. The store's write budget is divided evenly among the
	// controllers.
	progressWriteShare = 1.0 / 4
	// maxListShare is the share of the maximum size of a stored value that a list of tasks or
	// machines may use.
	maxListShare = 0.35
	// listItemOverhead is the encoding overhead of a string in a list, in bytes.
	listItemOverhead = 3
	bytesPerKB       = 1024
)

// progressInterval returns how long to wait between two progress writes of a job, so that the
// writes of all active jobs of the shard stay within progressWriteShare.
func (s *Shard) progressInterval(activeJobs int) time.Duration {
	config := s.controller.Settings()
	share := config.Deployment.State.WriteRPS * progressWriteShare / float64(max(1, len(config.ControllerNames())))
	return max(s.reportInterval(), env.Seconds(float64(activeJobs)/share))
}

// writeProgressIfDue queues a write of the job's progress if one is due.
func (s *Shard) writeProgressIfDue(job *QueuedJob, now, interval time.Duration) {
	if job.hasHeldAttempts && !job.awaitsCacheSync {
		s.queueProgressWrite(job, kvstore.PriorityNormal)
	}
	if !job.progressDirty || job.finishing || job.mayRunOnAnyMachine() && !job.suspect {
		return
	}
	otherOwnersWait := job.localDone == job.localTasks && job.remainingTasks > 0
	switch {
	case otherOwnersWait: // the owner of another shard needs this progress to finish the job
		s.queueProgressWrite(job, kvstore.PriorityHigh)
	case job.progressWrittenAt == 0 || now-job.progressWrittenAt >= interval:
		s.queueProgressWrite(job, kvstore.PriorityLow)
	}
}

// progressWrite is a write of a job's progress, from when it is queued until it is answered.
type progressWrite struct {
	shard    *Shard
	job      *QueuedJob
	priority kvstore.Priority
	isBuilt  bool
	ended    []*agent.Attempt // attempts of finished tasks that the write contains
	machines machineSet       // machines that the written progress allows to have tasks of the job
}

// queueProgressWrite queues a write of a job's finished tasks and of the machines that may have
// tasks of the job. Attempts on machines that the stored progress does not name are held back
// until the write is stored.
func (s *Shard) queueProgressWrite(job *QueuedJob, priority kvstore.Priority) {
	if job.writeQueued[priority] || job.writeInFlight {
		return
	}
	job.writeQueued[priority] = true
	write := &progressWrite{shard: s, job: job, priority: priority}
	s.controller.Store().Write(priority, &kvstore.WriteRequest{
		Build: write.build,
		Done:  write.finish,
	})
}

// isNeeded reports whether the write still has to be built, or rebuilt after a conflict.
func (w *progressWrite) isNeeded() bool {
	if w.shard.Jobs[w.job.Record.Job.ID] != w.job {
		return false
	}
	if w.isBuilt {
		return true
	}
	return !w.job.writeInFlight && (w.job.progressDirty || w.job.hasHeldAttempts)
}

// build builds the transaction. It is called again after a conflict.
func (w *progressWrite) build(nonce string) ([]protocol.Condition, []protocol.Mutation) {
	if !w.isNeeded() {
		return nil, nil
	}
	shard, job := w.shard, w.job
	shard.beginJobOperation(OperationProgressWrite, job.Record.Job.ID)
	w.isBuilt = true
	job.writeInFlight = true
	job.progressDirty = false
	job.progressWrittenAt = shard.controller.Now()
	w.ended = append(w.ended[:0], job.unrecordedEnds...)
	id := job.Record.Job.ID
	limit := shard.listSizeLimit()
	progress := &Progress{
		Nonce:         nonce,
		DoneRanges:    job.doneRanges(shard.ID, limit),
		Running:       job.placedTasks,
		FaultEvidence: shard.faults.LocalJobLogOdds(id),
	}
	w.machines = shard.machinesToRecord(job, limit)
	progress.AnyMachine = w.machines.every
	for machineID := range w.machines.ids {
		progress.Machines = append(progress.Machines, machineID)
	}
	sort.Strings(progress.Machines)
	job.pendingMachines = &w.machines
	key := ProgressKey(id, shard.ID)
	conditions := []protocol.Condition{shard.guard(), shard.controller.Store().UnchangedCondition(key)}
	mutations := []protocol.Mutation{{Put: key, Value: protocol.Encode(progress)}}
	return conditions, mutations
}

// finish handles the outcome of the write.
func (w *progressWrite) finish(ok bool, _ uint64) {
	shard, job := w.shard, w.job
	defer shard.finishCommandRequests()
	shard.beginJobOperation(OperationProgressWrite, job.Record.Job.ID)
	job.writeQueued[w.priority] = false
	if !w.isBuilt { // the write was no longer needed, so nothing was sent
		return
	}
	job.writeInFlight = false
	job.pendingMachines = nil
	if !ok {
		job.progressDirty = true // a later tick retries
		return
	}
	job.recordedMachines = w.machines
	for _, attempt := range w.ended {
		attempt.Acknowledge = true
	}
	job.unrecordedEnds = job.unrecordedEnds[len(w.ended):]
	shard.releaseHeldAttempts(job)
	if job.hasHeldAttempts {
		shard.queueProgressWrite(job, kvstore.PriorityNormal)
	}
}

// listSizeLimit returns the maximum size in bytes of a list of finished tasks or of machines in
// a stored value.
func (s *Shard) listSizeLimit() int {
	return int(s.controller.Settings().Deployment.State.ValueKB * bytesPerKB * maxListShare)
}

// machinesToRecord returns the machines on which tasks of a job are, could be or may soon be. If
// the job is not a gang and has queued tasks, the result includes every machine that accepts tasks
// and can run the job, so that not every start needs a write of its own. If the list would exceed
// the limit in bytes, the result is all machines of the shard.
func (s *Shard) machinesToRecord(job *QueuedJob, limit int) machineSet {
	if job.mayRunOnAnyMachine() {
		return machineSet{every: true}
	}
	ids := map[string]bool{}
	for _, placed := range job.placements {
		ids[placed.machine.ID] = true
	}
	for _, machine := range job.unwantedAttempts {
		ids[machine.ID] = true
	}
	startsMore := job.idleTasks > 0 && !job.isGang()
	now := s.controller.Now()
	for _, machine := range s.machinesByID() {
		mayHaveUnseen := !machine.Reconciled && job.recordedMachines.contains(machine.ID)
		if mayHaveUnseen || startsMore && s.acceptsTasks(machine, now) && s.canRunOn(machine, &job.Record.Job) {
			ids[machine.ID] = true
		}
	}
	size := 0
	for id := range ids {
		size += len(id) + listItemOverhead
	}
	if size > limit {
		return machineSet{every: true}
	}
	return machineSet{ids: ids}
}

// releaseHeldAttempts allows the launches that were held back for a progress write, if the stored
// progress now names their machines.
func (s *Shard) releaseHeldAttempts(job *QueuedJob) {
	if !job.hasHeldAttempts {
		return
	}
	job.hasHeldAttempts = false
	for _, placed := range job.sortedPlacements() {
		switch {
		case !placed.attempt.AwaitingRecord:
		case job.recordCovers(placed.machine.ID):
			placed.attempt.AwaitingRecord = false
			s.requestCommands(placed.machine)
		default:
			job.hasHeldAttempts = true
		}
	}
}
