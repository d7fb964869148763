package shard

import (
	"fmt"
	"log/slog"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
)

// This file writes what the ledger keeps of the part's jobs.

// ProgressKey is where this part's progress of a job is kept.
func ProgressKey(id string, part int) string { return fmt.Sprintf("a/p/%s/%d", id, part) }

// finishIfDone writes the job's end when every task is done.
func (s *Shard) finishIfDone(job *QueuedJob) {
	if job.remainingTasks > 0 || job.finishing || job.isService() {
		return
	}
	job.finishing = true
	id := job.Record.Job.ID
	store := s.controller.Store()
	store.Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if s.Jobs[id] != job {
				return nil, nil
			}
			return []protocol.Condition{s.guard(), {Key: JobKey(id), Revision: job.Revision}, {Key: FinalKey(id)}},
				[]protocol.Mutation{{Put: FinalKey(id), Value: protocol.Encode(&FinalRecord{Nonce: nonce, Status: protocol.JobDone, Tasks: job.Record.Job.Tasks, EndedAt: s.controller.WallSeconds()})},
					{Delete: JobKey(id)}}
		},
		Done: func(ok bool, _ uint64) {
			job.finishing = false
			if ok {
				slog.Info("part: job done", "part", s.ID, "job", id)
			} else if s.Jobs[id] == job {
				job.notBefore = s.controller.Now() + s.reportInterval()/4 // the tick tries again
			}
		},
	})
}

// progressInterval spaces the writes of a job's progress, so that all of this part's
// together use at most a quarter of a member's share of the state's writes.
func (s *Shard) progressInterval(active int) time.Duration {
	config := s.controller.Settings()
	share := config.Deployment.State.WriteRPS / 4 / float64(max(1, len(config.Names())))
	return max(s.reportInterval(), env.Seconds(float64(active)/share))
}

func (s *Shard) writeProgressIfDue(job *QueuedJob, now, every time.Duration) {
	if job.hasHeldAttempts && !job.uncertain {
		s.queueProgressWrite(job, kvstore.PriorityNormal)
	}
	if !job.progressDirty || job.finishing || job.mayBeAnywhere() && !job.suspect {
		return
	}
	// All our tasks are done, others run elsewhere: they wait for our word.
	switch last := job.localDone == job.localTasks && job.remainingTasks > 0; {
	case last:
		s.queueProgressWrite(job, kvstore.PriorityHigh)
	case job.progressWrittenAt == 0 || now-job.progressWrittenAt >= every:
		s.queueProgressWrite(job, kvstore.PriorityLow)
	}
}

// queueProgressWrite writes what is done of a job and the machines it may be on. Runs that
// the ledger does not cover wait for it.
func (s *Shard) queueProgressWrite(job *QueuedJob, priority kvstore.Priority) {
	if job.writeQueued[priority] || job.writeInFlight {
		return
	}
	job.writeQueued[priority] = true
	id := job.Record.Job.ID
	key := ProgressKey(id, s.ID)
	store := s.controller.Store()
	built := false
	var ended []*agent.Attempt
	var next *machineSet
	store.Write(priority, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if s.Jobs[id] != job || job.writeInFlight && !built || !built && !job.progressDirty && !job.hasHeldAttempts {
				return nil, nil
			}
			built, job.writeInFlight, job.progressDirty, job.progressWrittenAt = true, true, false, s.controller.Now()
			ended = append(ended[:0], job.unrecordedEnds...)
			limit := s.listSizeLimit()
			progress := &Progress{Nonce: nonce, DoneRanges: job.doneRanges(s.ID, limit), Running: job.placedTasks, FaultEvidence: s.faults.LocalJobOdds(id)}
			next = s.machinesToRecord(job, limit)
			progress.AnyMachine = next.every
			for m := range next.ids {
				progress.Machines = append(progress.Machines, m)
			}
			sort.Strings(progress.Machines)
			job.pendingMachines = next
			return []protocol.Condition{s.guard(), store.UnchangedCondition(key)}, []protocol.Mutation{{Put: key, Value: protocol.Encode(progress)}}
		},
		Done: func(ok bool, _ uint64) {
			job.writeQueued[priority] = false
			if !built { // another one said it
				return
			}
			job.writeInFlight, job.pendingMachines = false, nil
			if !ok {
				job.progressDirty = true
				return // the tick tries again
			}
			job.recordedMachines = *next
			for _, attempt := range ended {
				attempt.Acknowledge = true
			}
			job.unrecordedEnds = job.unrecordedEnds[len(ended):]
			s.releaseHeld(job)
			if job.hasHeldAttempts {
				s.queueProgressWrite(job, kvstore.PriorityNormal)
			}
		},
	})
}

// listSizeLimit is what a list of done tasks, or of machines, may take of a value,
// in bytes.
func (s *Shard) listSizeLimit() int {
	return int(s.controller.Settings().Deployment.State.ValueKB * 1024 * 0.35)
}

// machinesToRecord lists the machines that a job is, may be or may soon be on: while
// some of it is queued all that could take it, so that not every start needs a
// write of its own.
func (s *Shard) machinesToRecord(job *QueuedJob, limit int) *machineSet {
	if job.mayBeAnywhere() {
		return &machineSet{every: true}
	}
	r := &machineSet{ids: map[string]bool{}}
	for _, pl := range job.placements {
		r.ids[pl.machine.ID] = true
	}
	for _, machine := range job.unwantedAttempts {
		r.ids[machine.ID] = true
	}
	more := job.idleTasks > 0 && !job.isGang()
	now := s.controller.Now()
	for _, machine := range s.machinesByID() {
		if !machine.Reconciled && job.recordedMachines.contains(machine.ID) || more && s.acceptsTasks(machine, now) && s.canRunOn(machine, &job.Record.Job) {
			r.ids[machine.ID] = true
		}
	}
	size := 0
	for id := range r.ids {
		size += len(id) + 3
	}
	if size > limit {
		return &machineSet{every: true}
	}
	return r
}

// releaseHeld lets runs start that the ledger covers now.
func (s *Shard) releaseHeld(job *QueuedJob) {
	if !job.hasHeldAttempts {
		return
	}
	job.hasHeldAttempts = false
	for _, pl := range job.sortedPlacements() {
		switch {
		case !pl.attempt.AwaitingRecord:
		case job.recordCovers(pl.machine.ID):
			pl.attempt.AwaitingRecord = false
			s.sendOrdersIfDue(pl.machine)
		default:
			job.hasHeldAttempts = true
		}
	}
}
