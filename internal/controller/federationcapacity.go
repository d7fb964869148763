package controller

import (
	"time"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/env"
	"curlewspool/internal/federation"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file determines, for the federation broker, which chunks lack capacity and how much capacity
// is free.

// emptyShardStartDelay is the expected start delay of chunks in a shard without machines.
const emptyShardStartDelay = time.Hour

// TotalCores returns the number of cores of all machines whose type is in the catalog.
func (c *Controller) TotalCores() float64 {
	total := 0.0
	for _, machine := range c.machines {
		if machineType := c.machineTypes[machine.Type]; machineType != nil {
			total += machineType.Cores
		}
	}
	return total
}

// coresByShard returns, for each shard, the number of cores of its machines whose type is in the
// catalog.
func (c *Controller) coresByShard() []float64 {
	cores := make([]float64, len(c.controllerNames))
	for _, machine := range c.machines {
		machineType := c.machineTypes[machine.Type]
		if machineType != nil && machine.Shard >= 0 && machine.Shard < len(cores) {
			cores[machine.Shard] += machineType.Cores
		}
	}
	return cores
}

// WaitingChunks lists the chunks that lack capacity, with their expected start delays.
func (c *Controller) WaitingChunks() []*federation.WaitingChunk {
	cores := c.coresByShard()
	var waiting []*federation.WaitingChunk
	for demand := range unmetDemands(c.members.liveStatuses()) {
		waiting = append(waiting, c.waitingChunksOf(demand, cores)...)
	}
	return waiting
}

// waitingChunksOf lists the chunks that an unmet demand's job has in the demand's shard. A chunk
// with more tasks than the demand is left out, because some of its tasks no longer wait. The list
// is empty if the job is hosted, or if the demand has waited for less than a report interval of the
// agents.
func (c *Controller) waitingChunksOf(demand *peermsg.UnmetDemand, coresByShard []float64) []*federation.WaitingChunk {
	record := c.jobs[demand.Job]
	shardID := int(demand.Shard)
	if record == nil || record.RemoteLease != nil || shardID < 0 || shardID >= len(c.controllerNames) {
		return nil
	}
	if demand.WaitedS < c.settings.Deployment.Workers.Report {
		return nil
	}
	startsIn := c.expectedStartDelay(demand, record, coresByShard[shardID])
	var waiting []*federation.WaitingChunk
	for chunk, chunkShard := range record.ChunkShards {
		from, to := record.TaskRange(chunk)
		if chunkShard != shardID || to-from > int(demand.Tasks) {
			continue
		}
		waiting = append(waiting, &federation.WaitingChunk{
			Record:          record,
			Chunk:           chunk,
			Tasks:           to - from,
			StartsIn:        startsIn,
			DeadlineSeconds: c.Deadlines(&record.Job),
		})
	}
	return waiting
}

// expectedStartDelay returns the expected time until an unmet demand starts in its shard. It is the
// longest of four times: the time that the shard's cores need for the work queued ahead with the
// same rank or a higher one; half of the job's estimated run time; the delay that the shard
// reports, if the job is at the head of its queue; and the time that the demand has waited already.
// The last one is included because a long wait shows that the other estimates are wrong or miss
// what delays the job. For a shard without cores, the result is emptyShardStartDelay.
func (c *Controller) expectedStartDelay(demand *peermsg.UnmetDemand, record *shard.JobRecord, shardCores float64) time.Duration {
	if shardCores <= 0 {
		return emptyShardStartDelay
	}
	job := &record.Job
	queued := c.placement.queues[demand.Shard].Work[min(record.Rank, c.settings.Rank.Max)]
	ahead := queued - dispatch.WorkOf(job, int(demand.Tasks))
	startsIn := env.Seconds(max(demand.ExpectedStartS, job.Estimate/2, demand.WaitedS))
	return max(startsIn, env.Seconds(max(0, ahead)/shardCores))
}

// StartableCounter returns a function that counts, for each shard, the tasks of a hosted job that
// could start there now. The function considers only machines of types that no unmet demand of this
// cluster could use. The tasks are counted by shard because all tasks of a hosted job are in one
// shard, and no machines are transferred for it.
func (c *Controller) StartableCounter() func(job *protocol.Job) []int {
	neededTypes := c.machineTypesInDemand()
	return func(job *protocol.Job) []int { return c.startableByShard(job, neededTypes) }
}

// machineTypesInDemand returns the machine types that unmet demands of this cluster could use.
func (c *Controller) machineTypesInDemand() map[string]bool {
	inDemand := map[string]bool{}
	for demand := range unmetDemands(c.members.liveStatuses()) {
		record := c.jobs[demand.Job]
		if record == nil {
			continue
		}
		for name, machineType := range c.machineTypes {
			inDemand[name] = inDemand[name] || machineType.TasksThatFit(&record.Job, 1) > 0
		}
	}
	return inDemand
}

// startableByShard counts, for each shard, the tasks of a job that could start there now on
// machines whose type is not in neededTypes.
func (c *Controller) startableByShard(job *protocol.Job, neededTypes map[string]bool) []int {
	startable := make([]int, len(c.controllerNames))
	for reported := range shardStatuses(c.members.liveStatuses()) {
		shardID := int(reported.Shard)
		if shardID < 0 || shardID >= len(startable) {
			continue
		}
		tasksByZone := map[string]int{}
		for _, free := range reported.FreeCapacity {
			if !neededTypes[free.Type] {
				tasksByZone[free.Zone] += shard.CountFitting(c, job, free, true)
			}
		}
		startable[shardID] = max(startable[shardID], shard.MaxPlaceable(job, tasksByZone))
	}
	return startable
}

// PlaceFederatedJob chooses the shard of a hosted job, or of a chunk that returns from a partner.
// It is the shard where most of the tasks could start now. If none could start anywhere, the shard
// is chosen as for any other job.
func (c *Controller) PlaceFederatedJob(job *protocol.Job, rank int) int {
	rank = min(rank, c.settings.Rank.Max)
	shardID := c.shardWithMostFreeCapacity(job)
	if shardID < 0 || shardID >= len(c.controllerNames) {
		return c.placement.chooseShard(job, job.Tasks, rank, c.eligibleShards(job))
	}
	c.placement.addQueuedTasks(shardID, job, job.Tasks, rank)
	return shardID
}

// shardWithMostFreeCapacity returns the shard where most tasks of a job could start now, or -1
// if none could start anywhere.
func (c *Controller) shardWithMostFreeCapacity(job *protocol.Job) int {
	best, most := -1, 0
	for reported := range shardStatuses(c.members.liveStatuses()) {
		tasks := 0
		for _, free := range reported.FreeCapacity {
			tasks += shard.CountFitting(c, job, free, true)
		}
		if tasks = min(tasks, job.Tasks); tasks > most {
			best, most = int(reported.Shard), tasks
		}
	}
	return best
}
