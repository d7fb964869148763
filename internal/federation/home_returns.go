package federation

import (
	"log/slog"
	"slices"
	"time"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/shard"
)

// In this file, home's leader records the progress of offloaded chunks and returns chunks to shards of
// this cluster.

// mergedDoneRanges returns the ranges of done tasks of a job, including those that the host has
// reported for the lease.
func (b *Broker) mergedDoneRanges(record *shard.JobRecord, lease *homeLease) [][2]int {
	return shard.MergeRanges(b.maxDoneRanges(), record.DoneRanges, shiftRanges(lease.done, lease.key.FirstTask, lease.tasks))
}

// maxDoneRanges returns how many ranges of done tasks a job's record may have. This many ranges take
// at most half of the store's maximum value size.
func (b *Broker) maxDoneRanges() int {
	const bytesPerRange = 12
	return int(b.controller.Settings().Deployment.State.ValueKB * 1024 / 2 / bytesPerRange)
}

// returnChunk writes a job record that assigns the chunk to a shard of this cluster again. While the
// write is in flight, requests to renew the remote lease are not granted. Otherwise the lease could
// still be valid at the host after the chunk has returned.
func (b *Broker) returnChunk(lease *homeLease, reason string) {
	job := lease.key.Job
	isConfirmed := lease.finishedAtHost // if false, the lease must still be expired when the write is built
	lease.isReturning = true
	b.updateJobRecord(kvstore.PriorityNormal, job, func(record *shard.JobRecord) bool {
		index := slices.IndexFunc(record.OffloadedChunks, func(offloaded shard.OffloadedChunk) bool {
			return offloaded.LeaseNumber == lease.key.Number
		})
		if index < 0 || b.homeLeases[lease.key] != lease {
			return false
		}
		if !isConfirmed && !b.renewals.IsExpired(lease.key, lease.rules(), b.controller.Now()) {
			return false
		}
		chunk := record.Job
		chunk.Tasks = lease.tasks
		record.OffloadedChunks = slices.Concat(record.OffloadedChunks[:index], record.OffloadedChunks[index+1:])
		record.ChunkShards = slices.Clone(record.ChunkShards)
		record.ChunkShards[lease.offloaded.Chunk] = b.controller.PlaceFederatedJob(&chunk, record.Rank)
		record.DoneRanges = b.mergedDoneRanges(record, lease)
		return true
	}, func(ok bool) {
		if ok {
			b.recordReturn(lease, reason)
		} else {
			lease.isReturning = false
		}
	})
}

// recordReturn counts, logs and announces the return of a chunk, and delays its next offload.
func (b *Broker) recordReturn(lease *homeLease, reason string) {
	job, done := lease.key.Job, shard.CountTasks(lease.done)
	slog.Info("federation: remote lease returned", "job", job, "lease", lease.key.Number,
		"partner", lease.offloaded.Partner, "done", done, "tasks", lease.tasks, "reason", reason)
	b.Counters.Back++
	b.recordEvent(lease.key.JobID(b.settings.Cluster), StepReturned, reason)
	if done < lease.tasks {
		// The partner has not finished the chunk, so it probably lacks the capacity. The chunk is
		// therefore not offloaded again at once.
		b.retryAfter[jobChunk{job, lease.offloaded.Chunk}] = b.controller.Now() + b.jitter(4*b.reportInterval())
	}
	b.controller.AnnounceChange(job)
}

// saveProgress records in this cluster's store which tasks the host has finished. These tasks need not
// run again if the host is lost.
func (b *Broker) saveProgress(lease *homeLease, now time.Duration) {
	lease.isSavingProgress, lease.lastSavedAt = true, now
	saved := 0
	b.updateJobRecord(kvstore.PriorityLow, lease.key.Job, func(record *shard.JobRecord) bool {
		if b.homeLeases[lease.key] != lease || lease.isReturning {
			return false
		}
		saved = shard.CountTasks(lease.done)
		record.DoneRanges = b.mergedDoneRanges(record, lease)
		return true
	}, func(ok bool) {
		lease.isSavingProgress = false
		if ok {
			lease.storedDoneTasks = saved
		}
	})
}
