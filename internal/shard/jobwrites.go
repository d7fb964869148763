package shard

import (
	"log/slog"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
)

// This file builds the writes that replace a job's record by a new version or by its final record.

// finishIfDone writes the job's final record once all of its tasks, in all shards, are done.
func (s *Shard) finishIfDone(job *QueuedJob) {
	if job.remainingTasks > 0 || job.finishing || job.isService() {
		return
	}
	job.finishing = true
	id := job.Record.Job.ID
	s.controller.Store().Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if s.Jobs[id] != job {
				return nil, nil
			}
			return s.replaceByFinal(job, &FinalRecord{
				Nonce:      nonce,
				Status:     protocol.JobDone,
				Tasks:      job.Record.Job.Tasks,
				FinishedAt: s.controller.WallSeconds(),
			})
		},
		Done: func(ok bool, _ uint64) {
			job.finishing = false // after a failed write the next tick retries
			if ok {
				slog.Info("shard: job done", "shard", s.ID, "job", id)
			}
		},
	})
}

// replaceByFinal builds the write that replaces a job's record by its final record.
func (s *Shard) replaceByFinal(job *QueuedJob, final *FinalRecord) ([]protocol.Condition, []protocol.Mutation) {
	id := job.Record.Job.ID
	conditions := []protocol.Condition{
		s.guard(),
		{Key: JobKey(id), Revision: job.Revision},
		{Key: FinalKey(id)},
	}
	mutations := []protocol.Mutation{
		{Put: FinalKey(id), Value: protocol.Encode(final)},
		{Delete: JobKey(id)},
	}
	return conditions, mutations
}

// replaceRecord builds the write that replaces a job's record by an encoded new version.
func (s *Shard) replaceRecord(job *QueuedJob, encoded []byte) ([]protocol.Condition, []protocol.Mutation) {
	key := JobKey(job.Record.Job.ID)
	conditions := []protocol.Condition{s.guard(), {Key: key, Revision: job.Revision}}
	mutations := []protocol.Mutation{{Put: key, Value: encoded}}
	return conditions, mutations
}
