package controller

import (
	"log/slog"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file is the leader's choice of a part for each job.

func (c *Controller) resetShardQueues() {
	c.shardSlots = make([]dispatch.RankSlots, len(c.controllerNames))
	for k := range c.shardSlots {
		c.shardSlots[k] = dispatch.NewRankSlots(c.settings.Rank.Max)
	}
}

func (c *Controller) learnShardQueues(status *peermsg.Status) {
	for _, p := range status.Shards {
		if k := int(p.Shard); k >= 0 && k < len(c.shardSlots) && len(p.QueuedWork) == c.settings.Rank.Max+1 && len(p.QueuedJobs) == len(p.QueuedWork) {
			queue := dispatch.NewRankSlots(c.settings.Rank.Max)
			copy(queue.Work, p.QueuedWork)
			for i, c := range p.QueuedJobs {
				queue.Jobs[i] = int(c)
			}
			c.shardSlots[k] = queue
		}
	}
}

// hasTeamLimit: its team has a limit, so that all of it stays in one part.
func (c *Controller) hasTeamLimit(job *protocol.Job) bool {
	team := c.settings.Team(job.Team)
	return team != nil && team.Limited()
}

// placeJob ranks a job and gives each of its chunks a part.
func (c *Controller) placeJob(job *protocol.Job) (rank, chunk int, shards []int) {
	rank = c.ranker.Rank(job)
	shardCount := len(c.controllerNames)
	limited := c.hasTeamLimit(job)
	chunks := 1
	if job.Shape == protocol.ShapeArray && !job.SingleZone && !job.SpreadZones && !limited {
		limits := &c.settings.Dispatch
		chunks = max(1, min(int(float64(shardCount)*limits.ChunksPerPart), job.Tasks/limits.ChunkMin))
	}
	chunk = (job.Tasks + chunks - 1) / chunks
	chunks = (job.Tasks + chunk - 1) / chunk
	shards = make([]int, chunks)
	if limited {
		// A limit is kept by the one owner that sees all the team's tasks.
		hash := 0
		for _, chunkIndex := range []byte(job.Team) {
			hash = (hash*31 + int(chunkIndex)) % (1 << 20)
		}
		for chunkIndex := range shards {
			shards[chunkIndex] = hash % shardCount
		}
		return rank, chunk, shards
	}
	eligible := c.eligibleShards(job)
	for chunkIndex := range shards {
		shardID := dispatch.ChooseShard(c.shardSlots, eligible, rank)
		shards[chunkIndex] = shardID
		c.shardSlots[shardID].Add(rank, dispatch.WorkOf(job, min(chunk, job.Tasks-chunkIndex*chunk)))
	}
	return rank, chunk, shards
}

// eligibleShards are the parts whose machines, were they empty, could hold the job;
// a gang as a whole. If there is none, those that hold most of it, or all.
func (c *Controller) eligibleShards(job *protocol.Job) []bool {
	needed, capacity := 1, make([]map[string]int, len(c.controllerNames))
	if job.Shape == protocol.ShapeGang {
		needed = job.Tasks
	}
	for k := range capacity {
		capacity[k] = map[string]int{}
	}
	for _, m := range c.machines {
		if t := c.machineTypes[m.Type]; m.Shard >= 0 && m.Shard < len(c.controllerNames) && shard.CanRunOn(job, t, m.Zone, m.Spot) {
			capacity[m.Shard][m.Zone] += t.TasksThatFit(job, needed)
		}
	}
	held := make([]int, len(c.controllerNames))
	best := 0
	for k := range capacity {
		held[k] = min(shard.MaxPlaceable(job, capacity[k]), needed)
		best = max(best, held[k])
	}
	out := make([]bool, len(held))
	for k, h := range held {
		out[k] = h == best
	}
	return out
}

// PlanShards asks the leader where a submission goes.
func (c *Controller) PlanShards(job *protocol.Job, done func(rank, chunk int, shards []int)) {
	if c.isLeader() {
		done(c.placeJob(job))
		return
	}
	leader := c.registry.OwnerOf(election.LeaderKey)
	// Without a leader, or with a slow one, this controller chooses by what all
	// owners told it last, so that users need not wait for an election. One
	// submission at the most waits for a leader that is gone: the next ones do not
	// ask it until it is heard again.
	placeLocally := func() { done(c.placeJob(job)) }
	p := c.peers[leader]
	if p == nil || !c.isPeerAlive(leader) || p.unresponsive {
		placeLocally()
		return
	}
	c.lastPlacementRequestID++
	id := c.lastPlacementRequestID
	c.placementRequests[id] = func(answer *peermsg.PlacementResponse) {
		shards := make([]int, len(answer.Shards))
		for i, p := range answer.Shards {
			shards[i] = int(p)
		}
		done(int(answer.Rank), int(answer.ChunkSize), shards)
	}
	c.env.Send(leader, &peermsg.Envelope{Body: &peermsg.Envelope_PlacementRequest{PlacementRequest: &peermsg.PlacementRequest{Id: id, Job: protocol.Encode(job)}}})
	// Answers come within some milliseconds. (At a third of a heartbeat, 220 ms,
	// the wait alone was longer than users of 200 ms allow for all.)
	c.env.After(c.statusInterval()/12, func() {
		if c.placementRequests[id] != nil {
			delete(c.placementRequests, id)
			p.unresponsive = true
			placeLocally()
		}
	})
}

// AnnounceChange hurries the others' caches.
func (c *Controller) AnnounceChange(id string) { c.broadcastNews(&peermsg.JobNotice{Job: id}) }

// AnnounceCancelled tells them that a job's cancellation is stored, which they need no cache for.
func (c *Controller) AnnounceCancelled(id, cause string) {
	c.broadcastNews(&peermsg.JobNotice{Job: id, Cancelled: true, CancelledBy: cause})
}

func (c *Controller) broadcastNews(news *peermsg.JobNotice) {
	for _, name := range sortedKeys(c.peers) {
		c.env.Send(name, &peermsg.Envelope{Body: &peermsg.Envelope_JobNotice{JobNotice: news}})
	}
}

// applyPeerCancellation takes another controller's word that a job's cancellation is stored. The
// cache may not say so for long: the state service may refuse this controller alone,
// and then be down for all. An end is final, so the word is as good as the record:
// the job's tasks are halted now, none starts, and users are told. The record goes
// when the cache is told of it. (Without a word the bound of a cancellation holds all
// the same, by the end of leases; see docs/design.md.)
func (c *Controller) applyPeerCancellation(id, cause string) {
	record := c.jobs[id]
	if record == nil || c.knownCancelled[id] {
		return
	}
	c.knownCancelled[id] = true
	slog.Info("node: called off by another controller's word", "job", id)
	c.userAPI.RecordFinished(id, shard.FinalRecord{Status: protocol.JobCancelled, Tasks: record.Job.Tasks, CancelledWith: cause})
	c.eachShard(func(p *shard.Shard) { p.UpdateJob(id, nil, 0) })
}
