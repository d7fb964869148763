package shard

import (
	"log/slog"
	"slices"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
)

// What a part does for jobs that run in another cluster than their own: it
// lends chunks of its own, and minds what it runs for partners
// (docs/federation.md).

// BorrowedRank is below every rank that users may give: all own work may stop
// borrowed work, and comes before it in the queue.
const BorrowedRank = -1

func (q *QueuedJob) isBorrowed() bool { return q.Record.Loan != nil }

// LendOrder is a leader's wish that a chunk be lent.
type LendOrder struct {
	Job   string
	Chunk int
	Lent  LentChunk // To, By, Offer, Why, TermMs and LeaseMs are set
}

// LendChunk writes that a chunk is at a partner. From then on nothing of it
// starts here. Only the chunk's owner knows that none of it is, or may be, on a
// machine, so only he writes it, and only then may the partner be asked to act.
func (s *Shard) LendChunk(order *LendOrder) {
	now := s.controller.Now()
	job := s.Jobs[order.Job]
	if job == nil || job.isBorrowed() || job.moving || order.Chunk < 0 || order.Chunk >= len(job.Record.ChunkShards) || !s.controller.CanLaunch() || !s.isChunkUntouched(job, order.Chunk) ||
		!slices.Contains(s.rankedQueue(now), job) { // in the queue: nothing of it may be on a silent machine
		return
	}
	id, store := order.Job, s.controller.Store()
	var lent LentChunk
	job.moving = true
	store.Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if s.Jobs[id] != job || !s.isChunkUntouched(job, order.Chunk) {
				return nil, nil
			}
			record := *job.storedRecord
			record.Nonce = nonce
			record.ChunkShards = append([]int(nil), record.ChunkShards...)
			record.ChunkShards[order.Chunk] = LentShard
			record.LastLoanNumber++
			lent = order.Lent
			lent.Chunk, lent.LoanNumber, lent.LentAt = order.Chunk, record.LastLoanNumber, s.controller.WallSeconds()
			from, to := record.TaskRange(order.Chunk)
			lent.FirstTask = from
			record.LentChunks = append(append([]LentChunk(nil), record.LentChunks...), lent)
			record.DoneRanges = MergeRanges(0, record.DoneRanges, job.doneInRange(from, to))
			encoded := protocol.Encode(&record)
			if len(encoded) > s.controller.Settings().MostRecord() {
				return nil, nil
			}
			return []protocol.Condition{s.guard(), {Key: JobKey(id), Revision: job.Revision}}, []protocol.Mutation{{Put: JobKey(id), Value: encoded}}
		},
		Done: func(ok bool, _ uint64) {
			job.moving = false
			s.needsPass = true
			if !ok {
				return
			}
			slog.Info("part: chunk lent", "job", id, "chunk", order.Chunk, "part", s.ID, "to", lent.Partner, "loan", lent.LoanNumber, "why", lent.Reason)
			s.forgetIfGone(job)
		},
	})
}

// forgetIfGone forgets a job that has no chunk here any more.
func (s *Shard) forgetIfGone(job *QueuedJob) {
	if job.localTasks == 0 && len(job.placements) == 0 && len(job.unrecordedEnds) == 0 && len(job.unwantedAttempts) == 0 && !job.writeInFlight && s.Jobs[job.Record.Job.ID] == job {
		s.forgetJob(job)
	}
}

// isChunkUntouched: the chunk is here, with something to do, and none of it is, or is
// about to be, on a machine.
func (s *Shard) isChunkUntouched(job *QueuedJob, chunk int) bool {
	if job.Record.ChunkShards[chunk] != s.ID || job.isGang() && (job.placedTasks > 0 || job.gangBroken || job.gangStopping) {
		return false
	}
	n, on := job.chunkState(chunk)
	return !on && n > 0
}

// doneInRange lists the done tasks from one up to another, the latter not included.
func (q *QueuedJob) doneInRange(from, to int) (out [][2]int) {
	for i := from; i < to; i++ {
		if q.taskStates[i] == taskDone {
			out = append(out, [2]int{i, i})
		}
	}
	return out
}

// MergeRanges sorts ranges (ends included) and joins those that meet; the
// longest most of them if most is not 0: a task that is left out is only run
// again. The lists stay as they are.
func MergeRanges(most int, lists ...[][2]int) (out [][2]int) {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b [2]int) int { return a[0] - b[0] })
	for _, x := range all {
		if x[1] < x[0] {
			continue
		}
		if n := len(out); n > 0 && x[0] <= out[n-1][1]+1 {
			out[n-1][1] = max(out[n-1][1], x[1])
		} else {
			out = append(out, x)
		}
	}
	if most > 0 && len(out) > most {
		slices.SortStableFunc(out, func(a, b [2]int) int { return b[1] - b[0] - (a[1] - a[0]) })
		out = out[:most]
	}
	return out
}

// isPermitted tells whether a borrowed job may start here; why not is noted.
func (s *Shard) isPermitted(job *QueuedJob, now time.Duration) bool {
	switch l := job.Record.Loan; {
	case l.Ending || job.endedAtHome:
		job.waitReason = "borrowed: is given back"
	case job.permit.Remaining(now) < s.reportInterval():
		// A start goes out with the next report's answer, not before.
		job.waitReason = "borrowed: waits for its home's word"
	default:
		return true
	}
	return false
}

// EachBorrowed lists the borrowed jobs here, with their permits.
func (s *Shard) EachBorrowed(visit func(rec *JobRecord, permit *remotelease.Permit)) {
	for _, job := range s.jobsByID() {
		if job.isBorrowed() && job.localTasks > 0 {
			visit(job.Record, job.permit)
		}
	}
}

// checkLoan stops what may not go on, and gives back what is to be given back.
func (s *Shard) checkLoan(job *QueuedJob, now time.Duration) {
	l := job.Record.Loan
	term := time.Duration(l.TermMillis) * time.Millisecond
	if job.placedTasks > 0 {
		job.lastPlacedAt = now
	}
	left := job.permit.Remaining(now)
	switch {
	case left == 0 && s.recentlyAcquired(now):
	case left == 0:
		s.stopBorrowed(job, 0)
	case l.Ending || job.endedAtHome:
		s.stopBorrowed(job, job.Record.Job.CheckpointDuration)
	case job.Record.Job.CheckpointInterval > 0 && left < min(env.Seconds(job.Record.Job.CheckpointDuration)+2*s.reportInterval(), term/2):
		// Home is silent: what can be saved is saved before it must be gone.
		for _, pl := range job.sortedPlacements() {
			if !pl.attempt.StopRequested && pl.attempt.StartedAt > 0 {
				s.stopAttempt(job, pl, "its home is silent")
			}
		}
	}
	// A job that has moved on to another part may linger here while a write is
	// under way; what is left of it elsewhere is not known here.
	if job.localTasks == 0 {
		return
	}
	// No room for it, or not a word from home, for long: it may go elsewhere.
	late := now-job.lastPlacedAt > term && left > 0 || now-job.lastPlacedAt > 10*term
	if l.Ending || job.endedAtHome || l.Recall || late {
		s.returnLoan(job)
	}
}

// recentlyAcquired: the part was taken over a moment ago, and the homes of what is borrowed
// have hardly been asked yet. An answer to a report would have to stop their
// work, though they may be about to say that it goes on; none is given for that
// long, which costs a machine a tenth of its lease at most.
func (s *Shard) recentlyAcquired(now time.Duration) bool {
	return now < s.acquiredAt+env.Seconds(s.controller.Settings().Deployment.Workers.Lease)/10
}

// ShouldDelayAnswer tells whether the machine's report is better answered a little later.
func (s *Shard) ShouldDelayAnswer(machine *Machine, now time.Duration) bool {
	return s.borrowedCount > 0 && s.recentlyAcquired(now) && machine.HasExpiredPermit(now)
}

// stopBorrowed stops all of a borrowed job, with the time to save if there is any.
func (s *Shard) stopBorrowed(job *QueuedJob, save float64) {
	for _, pl := range job.sortedPlacements() {
		switch {
		case pl.attempt.StopRequested && (save > 0 || pl.attempt.GraceSeconds == 0):
		case save > 0 && job.Record.Job.CheckpointInterval > 0:
			s.stopAttempt(job, pl, "borrowed: is given back")
		case pl.machine.RequestStop(pl.attempt, 0):
			s.requeueTask(job, pl.attempt)
		default:
			s.sendOrdersIfDue(pl.machine)
		}
	}
}

// isCleared: nothing of the job is, or may be, on any machine of the part.
func (s *Shard) isCleared(job *QueuedJob) bool {
	if job.placedTasks > 0 || len(job.placements) > 0 || job.writeInFlight || job.moving {
		return false
	}
	if s.hasStaleAttempt(job) {
		return false
	}
	for _, machine := range s.machinesByID() {
		if !machine.Reconciled && job.recordedMachines.contains(machine.ID) {
			return false
		}
		for attempt := range machine.AllAttempts() {
			if attempt.Job == job.Record.Job.ID && !attempt.HasEnded() && attempt.MayExist() {
				return false
			}
		}
	}
	return true
}

// returnLoan writes the durable word that nothing of the loan is left here, if
// that is so, with the tasks that are done. Only the owner of its part knows.
func (s *Shard) returnLoan(job *QueuedJob) {
	if job.finishing || job.remainingTasks == 0 || !s.isCleared(job) {
		return
	}
	job.finishing = true
	id := job.Record.Job.ID
	s.controller.Store().Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if s.Jobs[id] != job || job.localTasks == 0 || !s.isCleared(job) {
				return nil, nil
			}
			final := &FinalRecord{Nonce: nonce, Status: protocol.JobCancelled, Tasks: job.Record.Job.Tasks, EndedAt: s.controller.WallSeconds(), DoneRanges: job.doneRanges(s.ID, s.listSizeLimit())}
			return []protocol.Condition{s.guard(), {Key: JobKey(id), Revision: job.Revision}, {Key: FinalKey(id)}},
				[]protocol.Mutation{{Put: FinalKey(id), Value: protocol.Encode(final)}, {Delete: JobKey(id)}}
		},
		Done: func(ok bool, _ uint64) {
			job.finishing = false
			if ok {
				slog.Info("part: loan given back", "part", s.ID, "job", id, "done", job.localDone, "of", job.localTasks)
			}
		},
	})
}

// CountFitting counts the tasks of a job that would start in a free room now; beside:
// in what is not kept for large jobs.
func CountFitting(controller Controller, spec *protocol.Job, room *peermsg.FreeCapacity, beside bool) int {
	machineType := controller.MachineType(room.Type)
	if !CanRunOn(spec, machineType, room.Zone, room.Spot) || beside && headroomBlocks(controller, &freeCapacity{machine: &Machine{Machine: &agent.Machine{Zone: room.Zone, Spot: room.Spot}, record: MachineRecord{Owned: room.Permanent}}, machineType: machineType,
		resources: resources{cores: room.Cores, gpus: room.Gpus, memory: room.MemoryGb}}, spec) {
		return 0
	}
	return (&protocol.MachineType{Cores: room.Cores, GPUs: room.Gpus, MemoryGB: room.MemoryGb}).TasksThatFit(spec, spec.Tasks)
}

// PermitRenewed notes that the home of a borrowed job lets it go on: it may start
// at once.
func (s *Shard) PermitRenewed(id string) {
	if job := s.Jobs[id]; job != nil && job.idleTasks > 0 {
		s.needsPass, s.lastPassAt = true, 0
	}
}

// EndLoan stops a borrowed job: its home says that it is over there.
func (s *Shard) EndLoan(id string) {
	if job := s.Jobs[id]; job != nil && job.isBorrowed() && !job.endedAtHome {
		job.endedAtHome = true
		slog.Info("part: a loan is over at its home", "part", s.ID, "job", id)
	}
}
