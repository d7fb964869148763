package controller

import (
	"curlewspool/internal/dispatch"
	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// This file holds the leader's choice of shards for each job, and the requests with which other
// controllers ask the leader for that choice.

// placementTimeoutDivisor determines how long a submission waits for the leader: the status
// interval divided by placementTimeoutDivisor. The leader normally answers within milliseconds. A
// divisor of 3 was too small: submissions waited for up to 220 ms, and users allow 200 ms for a
// whole submission.
const placementTimeoutDivisor = 12

// teamHashModulus is the modulus of the hash that selects the shard of a team with a limit. All
// controllers and versions must use the same value.
const teamHashModulus = 1 << 20

// jobPlacement holds what a controller needs to choose the shards of jobs, and its pending
// placement requests to the leader.
type jobPlacement struct {
	ranker        *dispatch.Ranker
	queues        []dispatch.QueueLoad                        // by shard: the queue as last reported, plus the tasks placed since then
	requests      map[uint64]func(*peermsg.PlacementResponse) // callbacks of pending requests, by ID
	lastRequestID uint64
}

func newJobPlacement(cfg *settings.Settings) jobPlacement {
	placement := jobPlacement{
		ranker:   &dispatch.Ranker{MaxRank: cfg.Rank.Max, Window: cfg.Rank.Window},
		requests: map[uint64]func(*peermsg.PlacementResponse){},
	}
	placement.resetQueues(len(cfg.ControllerNames()))
	return placement
}

// resetQueues discards the reported queues of all shards.
func (p *jobPlacement) resetQueues(shardCount int) {
	p.queues = make([]dispatch.QueueLoad, shardCount)
	for shardID := range p.queues {
		p.queues[shardID] = dispatch.NewQueueLoad(p.ranker.MaxRank)
	}
}

// updateQueues replaces the known queues of the shards that a status describes. It ignores
// malformed queues, such as those of a version with a different number of ranks.
func (p *jobPlacement) updateQueues(status *peermsg.Status) {
	for _, reported := range status.Shards {
		shardID := int(reported.Shard)
		if shardID < 0 || shardID >= len(p.queues) {
			continue
		}
		if len(reported.QueuedWork) != p.ranker.MaxRank+1 || len(reported.QueuedJobs) != len(reported.QueuedWork) {
			continue
		}
		queue := dispatch.NewQueueLoad(p.ranker.MaxRank)
		copy(queue.Work, reported.QueuedWork)
		for rank, jobs := range reported.QueuedJobs {
			queue.Jobs[rank] = int(jobs)
		}
		p.queues[shardID] = queue
	}
}

// chooseShard chooses one of the eligible shards for some tasks of a job and adds the tasks to the
// known queue of that shard.
func (p *jobPlacement) chooseShard(job *protocol.Job, tasks, rank int, eligible []bool) int {
	shardID := dispatch.ChooseShard(p.queues, eligible, rank)
	p.addQueuedTasks(shardID, job, tasks, rank)
	return shardID
}

// addQueuedTasks adds tasks of a job to the known queue of a shard. They count until the shard's
// owner reports its queue again.
func (p *jobPlacement) addQueuedTasks(shardID int, job *protocol.Job, tasks, rank int) {
	p.queues[shardID].Add(rank, dispatch.WorkOf(job, tasks))
}

// newRequest registers the callback of a request to the leader and returns the request's ID.
func (p *jobPlacement) newRequest(done func(*peermsg.PlacementResponse)) uint64 {
	p.lastRequestID++
	p.requests[p.lastRequestID] = done
	return p.lastRequestID
}

// takeRequest removes a request and returns its callback, or nil if it is no longer pending.
func (p *jobPlacement) takeRequest(id uint64) func(*peermsg.PlacementResponse) {
	done := p.requests[id]
	delete(p.requests, id)
	return done
}

// hasTeamLimit reports whether a job's team has a limit. All tasks of such a job are placed in
// one shard.
func (c *Controller) hasTeamLimit(job *protocol.Job) bool {
	team := c.settings.Team(job.Team)
	return team != nil && team.Limited()
}

// placeJob ranks a job, divides it into chunks and chooses the shard of each chunk.
func (c *Controller) placeJob(job *protocol.Job) dispatch.Placement {
	rank := c.placement.ranker.Rank(job)
	chunkSize := c.chunkSizeOf(job)
	shards := make([]int, divideUp(job.Tasks, chunkSize))
	if c.hasTeamLimit(job) {
		shardID := teamShard(job.Team, len(c.controllerNames))
		for chunk := range shards {
			shards[chunk] = shardID
		}
	} else {
		eligible := c.eligibleShards(job)
		for chunk := range shards {
			tasks := min(chunkSize, job.Tasks-chunk*chunkSize)
			shards[chunk] = c.placement.chooseShard(job, tasks, rank, eligible)
		}
	}
	return dispatch.Placement{Rank: rank, ChunkSize: chunkSize, Shards: shards}
}

// chunkSizeOf returns the number of tasks in each chunk of a job, except that the last chunk may be
// smaller. All tasks are in one chunk unless the job is an array whose tasks may be in different
// shards.
func (c *Controller) chunkSizeOf(job *protocol.Job) int {
	if job.Shape != protocol.ShapeArray || job.SingleZone || job.SpreadZones || c.hasTeamLimit(job) {
		return job.Tasks
	}
	limits := &c.settings.Dispatch
	maxChunks := int(float64(len(c.controllerNames)) * limits.ChunksPerShard)
	return divideUp(job.Tasks, max(1, min(maxChunks, job.Tasks/limits.MinChunkTasks)))
}

// divideUp returns the quotient of two positive numbers, rounded up.
func divideUp(dividend, divisor int) int { return (dividend + divisor - 1) / divisor }

// teamShard returns the shard of all jobs of a team with a limit. The limit can be enforced only
// by an owner that knows all tasks of the team.
func teamShard(team string, shardCount int) int {
	hash := 0
	for _, character := range []byte(team) {
		hash = (hash*31 + int(character)) % teamHashModulus
	}
	return hash % shardCount
}

// eligibleShards returns, for each shard, whether a job may be placed there. A shard is eligible if
// its machines, when empty, could run all tasks of a gang, or at least one task of any other job.
// If there is no such shard, those that could run the most tasks are eligible. If no shard could
// run any task, all shards are eligible.
func (c *Controller) eligibleShards(job *protocol.Job) []bool {
	needed := 1 // tasks that the shard must be able to run
	if job.Shape == protocol.ShapeGang {
		needed = job.Tasks
	}
	capacity := c.capacityByShard(job, needed)
	placeable := make([]int, len(capacity))
	most := 0
	for shardID := range capacity {
		placeable[shardID] = min(shard.MaxPlaceable(job, capacity[shardID]), needed)
		most = max(most, placeable[shardID])
	}
	eligible := make([]bool, len(capacity))
	for shardID := range placeable {
		eligible[shardID] = placeable[shardID] == most
	}
	return eligible
}

// capacityByShard counts, by shard and zone, the tasks of a job that the machines could run if
// they were empty, at most maxPerMachine on each.
func (c *Controller) capacityByShard(job *protocol.Job, maxPerMachine int) []map[string]int {
	capacity := make([]map[string]int, len(c.controllerNames))
	for shardID := range capacity {
		capacity[shardID] = map[string]int{}
	}
	for _, machine := range c.machines {
		if machine.Shard < 0 || machine.Shard >= len(capacity) {
			continue
		}
		machineType := c.machineTypes[machine.Type]
		if shard.CanRunOn(job, machineType, machine.Zone, machine.Spot) {
			capacity[machine.Shard][machine.Zone] += machineType.TasksThatFit(job, maxPerMachine)
		}
	}
	return capacity
}

// PlanShards has the leader place a job and calls done with the result.
//
// If there is no leader or it does not answer in time, this controller chooses the shards from
// what all owners reported last, so that users need not wait for an election. After a timeout
// no further request is sent to the leader until a message from it arrives.
func (c *Controller) PlanShards(job *protocol.Job, done func(placement dispatch.Placement)) {
	placeLocally := func() { done(c.placeJob(job)) }
	if c.IsLeader() {
		placeLocally()
		return
	}
	leader := c.registry.OwnerOf(election.LeaderKey)
	member := c.members.peers[leader]
	if member == nil || !c.members.isAlive(leader) || member.unresponsive {
		placeLocally()
		return
	}
	id := c.placement.newRequest(func(answer *peermsg.PlacementResponse) {
		shards := make([]int, len(answer.Shards))
		for chunk, shardID := range answer.Shards {
			shards[chunk] = int(shardID)
		}
		done(dispatch.Placement{Rank: int(answer.Rank), ChunkSize: int(answer.ChunkSize), Shards: shards})
	})
	request := &peermsg.PlacementRequest{Id: id, Job: protocol.Encode(job)}
	c.env.Send(leader, &peermsg.Envelope{Body: &peermsg.Envelope_PlacementRequest{PlacementRequest: request}})
	c.env.After(c.statusInterval()/placementTimeoutDivisor, func() {
		if c.placement.takeRequest(id) == nil {
			return // answered
		}
		member.unresponsive = true
		placeLocally()
	})
}
