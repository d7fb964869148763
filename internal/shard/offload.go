package shard

import (
	"log/slog"
	"slices"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
)

// This file offloads queued chunks of this cluster's jobs to partner clusters
// (docs/federation.md).

// OffloadCommand is the leader's command to offload a chunk.
type OffloadCommand struct {
	Job   string
	Chunk int
	// Offloaded holds the partner, the leader's token, the offer, the reason, the term and the
	// machine lease. The remaining fields are set when the record is written.
	Offloaded OffloadedChunk
}

// OffloadChunk records that a chunk is offloaded to a partner cluster. From then on no task of the
// chunk starts here. Only the shard's owner writes this record, because only the owner can know that
// no task of the chunk is, or could be, on a machine. The partner may be asked to run the chunk only
// after the write.
func (s *Shard) OffloadChunk(command *OffloadCommand) {
	job := s.Jobs[command.Job]
	if job == nil || !s.canOffload(job, command.Chunk) {
		return
	}
	var offloaded OffloadedChunk
	job.moveInFlight = true
	s.controller.Store().Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if s.Jobs[command.Job] != job || !s.isChunkQueued(job, command.Chunk) {
				return nil, nil
			}
			record := s.recordWithOffload(job, command, nonce)
			offloaded = record.OffloadedChunks[len(record.OffloadedChunks)-1]
			encoded := protocol.Encode(record)
			if len(encoded) > s.controller.Settings().MaxRecordBytes() {
				return nil, nil
			}
			return s.replaceRecord(job, encoded)
		},
		Done: func(ok bool, _ uint64) {
			job.moveInFlight = false
			s.needsPass = true
			if !ok {
				return
			}
			slog.Info("shard: chunk offloaded", "shard", s.ID, "job", command.Job, "chunk", command.Chunk,
				"partner", offloaded.Partner, "loan", offloaded.LeaseNumber, "reason", offloaded.Reason)
			s.forgetIfMovedAway(job)
		},
	})
}

// canOffload reports whether a chunk of a job can be offloaded now. The job must be in the queue, must
// not be hosted and must have no move in flight. The controller must be allowed to launch tasks, and
// no task of the chunk may be placed (see isChunkQueued).
func (s *Shard) canOffload(job *QueuedJob, chunk int) bool {
	if job.isHosted() || job.moveInFlight || !s.controller.CanLaunch() {
		return false
	}
	if chunk < 0 || chunk >= len(job.Record.ChunkShards) || !s.isChunkQueued(job, chunk) {
		return false
	}
	// Jobs that may have tasks on machines that have not reported to this owner yet are not in the
	// queue.
	return slices.Contains(s.queueByScore(s.controller.Now()), job)
}

// isChunkQueued reports whether a chunk is in this shard and has idle tasks but no placed ones. If
// the job is a gang, none of its tasks may be placed in this shard, and a failed or preempted attempt
// of the gang must have been removed completely.
func (s *Shard) isChunkQueued(job *QueuedJob, chunk int) bool {
	if job.Record.ChunkShards[chunk] != s.ID {
		return false
	}
	if job.isGang() && (job.placedTasks > 0 || job.gangFailed || job.gangStopping) {
		return false
	}
	return job.idleInChunk(chunk) > 0
}

// recordWithOffload returns a copy of a job's record in which a chunk is offloaded. The offloaded
// chunk is the last entry of OffloadedChunks.
func (s *Shard) recordWithOffload(job *QueuedJob, command *OffloadCommand, nonce string) *JobRecord {
	record := job.storedRecord.withChunkIn(command.Chunk, OffloadedShard, nonce)
	record.LastRemoteLeaseNumber++
	from, to := record.TaskRange(command.Chunk)
	offloaded := command.Offloaded
	offloaded.Chunk = command.Chunk
	offloaded.FirstTask = from
	offloaded.LeaseNumber = record.LastRemoteLeaseNumber
	offloaded.OffloadedAt = s.controller.WallSeconds()
	record.OffloadedChunks = append(append([]OffloadedChunk(nil), record.OffloadedChunks...), offloaded)
	record.DoneRanges = MergeRanges(0, record.DoneRanges, job.appendDoneRanges(nil, from, to))
	return record
}
