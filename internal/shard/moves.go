package shard

import (
	"log/slog"
	"slices"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
)

// This file transfers machines and queued chunks of jobs to other shards.

// remoteStarvationTimeouts is the number of boot timeouts for which a job waits before it may use
// capacity that other shards keep for large jobs. The job may use such capacity of its own shard
// after half as many boot timeouts (see Shard.headroomBlocks). If both numbers were the same, jobs
// would move back and forth before any shard had time to start them.
const remoteStarvationTimeouts = 2

// minHostedStayIntervals is the minimum time, in report intervals, for which a hosted job waits in a
// shard before it moves to another one. In each new shard, its tasks can start only after the home
// cluster has renewed the remote lease.
const minHostedStayIntervals = 2

// TransferMachine transfers a machine to another shard once no task is, or could be, on it.
// Until then no new task starts on the machine, and the leader repeats the request.
func (s *Shard) TransferMachine(id string, to int) {
	machine := s.Machines[id]
	if machine == nil || to == s.ID || machine.isRetiring() {
		return
	}
	machine.transferUntil = s.controller.Now() + s.reportInterval()
	if !machine.Reconciled || machine.transferInFlight || !machine.isProvablyEmpty() {
		return
	}
	machine.transferInFlight = true
	isAllowed := func() bool { return s.Machines[id] == machine && machine.isProvablyEmpty() }
	s.controller.ReassignMachine(id, to, s.guard, isAllowed, func(ok bool) {
		machine.transferInFlight = false
		if ok {
			slog.Info("shard: machine transferred", "machine", id, "from", s.ID, "to", to)
		}
	})
}

// isProvablyEmpty reports whether a reconciled machine has no attempts and cannot get any from
// commands that were sent earlier and that it may still execute.
func (m *Machine) isProvablyEmpty() bool { return len(m.Attempts) == 0 && !m.CommandsUncertain() }

// MoveQueuedChunk moves a queued chunk to a shard that has unreserved free capacity for it now.
// others holds the latest statuses of the shards. The capacity that the chunk needs is subtracted
// from the status of the chunk's new shard. Each call moves at most one chunk.
func (s *Shard) MoveQueuedChunk(others []*peermsg.ShardStatus) {
	now := s.controller.Now()
	if !s.controller.CanLaunch() {
		return
	}
	for _, job := range s.queueByScore(now) {
		s.beginJobOperation(OperationMoveChunk, job.Record.Job.ID)
		if s.canMoveChunks(job, now) && s.moveChunkOf(job, others, now) {
			return
		}
	}
}

// canMoveChunks reports whether chunks of a queued job may move to other shards. All jobs of a team
// with a limit stay in one shard, and suspect jobs do not move. Any other job may move once it has
// waited here for passInterval, because a pass can then have tried to place its tasks. A hosted job
// must wait for minHostedStayIntervals.
func (s *Shard) canMoveChunks(job *QueuedJob, now time.Duration) bool {
	if team := s.controller.Settings().Team(job.Record.Job.Team); team != nil && team.Limited() {
		return false
	}
	waited := now - job.queuedAt
	if job.suspect || waited < s.passInterval() {
		return false
	}
	return !job.isHosted() || waited >= minHostedStayIntervals*s.reportInterval()
}

// moveChunkOf moves the first chunk of a job for which another shard has enough capacity. It returns
// false if there is no such chunk.
func (s *Shard) moveChunkOf(job *QueuedJob, others []*peermsg.ShardStatus, now time.Duration) bool {
	for chunk, shardID := range job.Record.ChunkShards {
		if shardID != s.ID {
			continue
		}
		tasks := job.idleInChunk(chunk)
		if tasks == 0 {
			continue
		}
		for _, other := range others {
			if int(other.Shard) != s.ID && s.claimRemoteCapacity(job, tasks, other, now) {
				s.moveChunk(job, chunk, int(other.Shard))
				return true
			}
		}
	}
	return false
}

// claimRemoteCapacity reports whether enough tasks of a chunk fit into another shard's free
// capacity. If so, it subtracts the capacity that they need from this controller's copy of the
// other shard's status, so that later moves see only the remaining capacity.
func (s *Shard) claimRemoteCapacity(job *QueuedJob, tasks int, other *peermsg.ShardStatus, now time.Duration) bool {
	spec := &job.Record.Job
	if s.remoteFit(job, tasks, other, now) < s.minTasksToMove(job, tasks) {
		return false
	}
	for _, free := range other.FreeCapacity {
		count := min(CountFitting(s.controller, spec, free, false), tasks)
		free.Cores -= float64(count) * spec.Cores
		free.Gpus -= float64(count) * spec.GPUs
		free.MemoryGb -= float64(count) * spec.MemoryGB
		if free.ReportBytes != nil {
			*free.ReportBytes -= int32(count * protocol.TaskReportSize(spec.ID))
		}
		tasks -= count
	}
	return true
}

// remoteFit returns how many tasks could start in another shard's free capacity.
func (s *Shard) remoteFit(job *QueuedJob, tasks int, other *peermsg.ShardStatus, now time.Duration) int {
	spec := &job.Record.Job
	byZone := map[string]int{}
	for _, free := range other.FreeCapacity {
		machineType := s.controller.MachineType(free.Type)
		respectHeadroom := machineType == nil || !s.isStarved(job, machineType, remoteStarvationTimeouts, now)
		byZone[free.Zone] += min(tasks, CountFitting(s.controller, spec, free, respectHeadroom))
	}
	return MaxPlaceable(spec, byZone)
}

// minTasksToMove returns how many tasks of a chunk must fit into another shard before the chunk
// moves there. For a gang these are all tasks. For any other job it is one task if no machine of
// this shard can run the job, and at least half of the tasks otherwise.
func (s *Shard) minTasksToMove(job *QueuedJob, tasks int) int {
	switch {
	case job.isGang():
		return tasks
	case s.lacksSuitableMachine(&job.Record.Job):
		return 1
	default:
		return (tasks + 1) / 2
	}
}

// lacksSuitableMachine reports whether no machine of the shard can ever run a task of the job. Such
// a job, unless it is a gang, moves to any shard that can start one of its tasks. If it moved only
// to a shard with capacity for half of its tasks, it could wait indefinitely although other shards
// have idle machines. This can happen when all machines of its shard were retired as unreachable
// and the cloud has no replacements.
func (s *Shard) lacksSuitableMachine(spec *protocol.Job) bool {
	return !slices.ContainsFunc(s.machinesByID(), func(machine *Machine) bool {
		return !machine.isRetiring() && s.canRunOn(machine, spec)
	})
}

// CountFitting returns how many tasks of a job could start now on a machine of another shard that
// has the given free capacity. With respectHeadroom, a machine that is kept for large jobs counts
// as full.
func CountFitting(controller Controller, spec *protocol.Job, free *peermsg.FreeCapacity, respectHeadroom bool) int {
	machineType := controller.MachineType(free.Type)
	if !CanRunOn(spec, machineType, free.Zone, free.Spot) {
		return 0
	}
	capacity := remoteCapacity(free, machineType)
	if respectHeadroom && headroomBlocks(controller, capacity, spec) {
		return 0
	}
	return capacity.countFitting(spec, spec.Tasks)
}

// remoteCapacity converts the reported free capacity of a machine of another shard.
func remoteCapacity(free *peermsg.FreeCapacity, machineType *protocol.MachineType) *freeCapacity {
	machine := &Machine{
		Machine: &agent.Machine{Zone: free.Zone, Spot: free.Spot},
		record:  MachineRecord{IsPermanent: free.Permanent},
	}
	reportBytes := protocol.ReportCapacity
	if free.ReportBytes != nil { // it is nil in the status of an older version
		reportBytes = int(free.GetReportBytes())
	}
	return &freeCapacity{
		machine:     machine,
		machineType: machineType,
		resources:   resources{cores: free.Cores, gpus: free.Gpus, memory: free.MemoryGb, reportBytes: reportBytes},
	}
}

// moveChunk moves a chunk to another shard: it replaces the job's record by one in which the chunk
// belongs to that shard.
func (s *Shard) moveChunk(job *QueuedJob, chunk, to int) {
	id := job.Record.Job.ID
	job.moveInFlight = true
	s.controller.Store().Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if s.Jobs[id] != job || chunk >= len(job.Record.ChunkShards) || job.Record.ChunkShards[chunk] != s.ID {
				return nil, nil
			}
			if job.hasPlacedInChunk(chunk) {
				return nil, nil
			}
			record := job.storedRecord.withChunkIn(chunk, to, nonce)
			return s.replaceRecord(job, protocol.Encode(record))
		},
		Done: func(ok bool, _ uint64) {
			job.moveInFlight = false
			s.needsPass = true
			if ok {
				slog.Info("shard: chunk moved", "job", id, "chunk", chunk, "from", s.ID, "to", to)
				s.forgetIfMovedAway(job)
			}
		},
	})
}
