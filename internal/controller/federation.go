package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/election"
	"curlewspool/internal/env"
	"curlewspool/internal/federation"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/shard"
)

// What the desk of the partners needs of a controller.

// EnableFederation sets up the desk if the operators' settings name partners; to be
// called before Start.
func (c *Controller) EnableFederation(line federation.PartnerClient) {
	if c.settings.Federation != nil {
		c.federation = federation.New(c, line, c.settings.Federation)
	}
}

// HandlePartnerRequest handles a request of a partner, which its certificate names.
func (c *Controller) HandlePartnerRequest(from, path string, body []byte, reply federation.Reply) {
	if c.federation == nil || c.settings.Federation.Partner(from) == nil {
		reply(403, &protocol.ErrorResponse{Error: "no partner"}, 0)
		return
	}
	if !c.store.IsLoaded() || c.store.IsUnavailable() || len(c.machineTypes) == 0 {
		reply(503, &protocol.ErrorResponse{Error: "not ready"}, 1)
		return
	}
	// All that partners ask is for the leader.
	read := func(in any) bool {
		switch {
		case len(body) > protocol.MaxBodyBytes || !protocol.IsMap(body) || protocol.Decode(body, in) != nil:
			reply(400, &protocol.ErrorResponse{Error: "not understood"}, 0)
		case !c.isLeader():
			reply(421, &protocol.ErrorResponse{Error: "not the leader"}, 0)
		default:
			return true
		}
		return false
	}
	switch path {
	case federation.PathOffers:
		if in := (&federation.OffersRequest{}); read(in) {
			c.federation.AnswerOffers(from, in, reply)
		}
	case federation.PathLeases:
		if in := (&federation.LeaseRequest{}); read(in) {
			c.federation.AcceptLease(from, in, reply)
		}
	case federation.PathStates:
		if in := (&federation.StatesRequest{}); read(in) {
			c.federation.AnswerStates(from, in, reply)
		}
	case federation.PathRenewals:
		if in := (&federation.RenewalsRequest{}); read(in) {
			c.federation.AnswerRenewals(from, in, reply)
		}
	default:
		reply(404, &protocol.ErrorResponse{Error: "no such path"}, 0)
	}
}

// Rand is the controller's source of randomness.
func (c *Controller) Rand() *rand.Rand { return c.env.Rand() }

// IsLeader tells whether this controller is the leader.
func (c *Controller) IsLeader() bool { return c.isLeader() }

// LeaderCondition is the condition under which a transaction holds only while this
// controller leads.
func (c *Controller) LeaderCondition() protocol.Condition {
	return c.registry.OwnershipCondition(election.LeaderKey)
}

// StoredProgress is what the ledger says of a job's tasks, here and at partners.
func (c *Controller) StoredProgress(id string) (done [][2]int, running int) {
	record := c.jobs[id]
	if record == nil {
		return nil, 0
	}
	lists := [][][2]int{record.DoneRanges}
	for _, p := range c.progress[id] {
		running += p.Running
		lists = append(lists, p.DoneRanges)
	}
	if c.federation != nil {
		running += c.federation.RemoteRunning(id)
	}
	return shard.MergeRanges(0, lists...), running
}

// TotalCores of all machines.
func (c *Controller) TotalCores() (cores float64) {
	for _, m := range c.machines {
		if t := c.machineTypes[m.Type]; t != nil {
			cores += t.Cores
		}
	}
	return cores
}

// WaitingChunks lists chunks that found no room, with when they would start: after
// what is queued in their part with the same rank or a higher one, and not
// before the head, if they are it.
func (c *Controller) WaitingChunks() (out []*federation.WaitingChunk) {
	cores := make([]float64, len(c.controllerNames))
	for _, m := range c.machines {
		if t := c.machineTypes[m.Type]; t != nil && m.Shard >= 0 && m.Shard < len(cores) {
			cores[m.Shard] += t.Cores
		}
	}
	for _, s := range c.liveStatuses() {
		for _, g := range s.UnmetDemands {
			rec := c.jobs[g.Job]
			k := int(g.Shard)
			if rec == nil || rec.Loan != nil || k < 0 || k >= len(c.controllerNames) || g.WaitedS < c.settings.Deployment.Workers.Report {
				continue
			}
			j := &rec.Job
			// What has waited for long was reckoned wrong, or is held up by what
			// the reckoning leaves out: it may wait as long again.
			starts := env.Seconds(max(g.ExpectedStartS, j.Estimate/2, g.WaitedS))
			ahead := c.shardSlots[k].Work[min(rec.Rank, c.settings.Rank.Max)] - dispatch.WorkOf(j, int(g.Tasks))
			if cores[k] > 0 {
				starts = max(starts, env.Seconds(max(0, ahead)/cores[k]))
			} else {
				starts = time.Hour
			}
			for chunkIndex, at := range rec.ChunkShards {
				from, to := rec.TaskRange(chunkIndex)
				if at == k && to-from <= int(g.Tasks) {
					out = append(out, &federation.WaitingChunk{Record: rec, Chunk: chunkIndex, Tasks: to - from, StartsIn: starts, DeadlineSeconds: c.Deadlines(j)})
				}
			}
		}
	}
	return out
}

// StartableCounter gives a count, for each part, of the tasks that would start there, in free
// room that nothing of this cluster waits for. What is borrowed is in one part,
// and gathers no machines of others.
func (c *Controller) StartableCounter() func(j *protocol.Job) []int {
	neededTypes := map[string]bool{} // types that own work waits for
	for _, s := range c.liveStatuses() {
		for _, g := range s.UnmetDemands {
			if record := c.jobs[g.Job]; record != nil {
				for name, t := range c.machineTypes {
					neededTypes[name] = neededTypes[name] || t.TasksThatFit(&record.Job, 1) > 0
				}
			}
		}
	}
	return func(j *protocol.Job) []int { return c.freeTasksByShard(j, neededTypes) }
}

func (c *Controller) freeTasksByShard(job *protocol.Job, neededTypes map[string]bool) []int {
	room := make([]int, len(c.controllerNames))
	for _, status := range c.liveStatuses() {
		for _, p := range status.Shards {
			zone := map[string]int{}
			for _, free := range p.FreeCapacity {
				if !neededTypes[free.Type] {
					zone[free.Zone] += shard.CountFitting(c, job, free, true)
				}
			}
			all := shard.MaxPlaceable(job, zone)
			if k := int(p.Shard); k >= 0 && k < len(room) {
				room[k] = max(room[k], all)
			}
		}
	}
	return room
}

// PlaceJob chooses the part of a job that comes in from a partner, or comes back:
// one with room now, else as any other.
func (c *Controller) PlaceJob(job *protocol.Job, rank int) int {
	best, most := -1, 0
	for _, s := range c.liveStatuses() {
		for _, p := range s.Shards {
			k := 0
			for _, f := range p.FreeCapacity {
				k += shard.CountFitting(c, job, f, true)
			}
			if k = min(k, job.Tasks); k > most {
				best, most = int(p.Shard), k
			}
		}
	}
	if best < 0 || best >= len(c.controllerNames) {
		best = dispatch.ChooseShard(c.shardSlots, c.eligibleShards(job), min(rank, c.settings.Rank.Max))
	}
	c.shardSlots[best].Add(min(rank, c.settings.Rank.Max), dispatch.WorkOf(job, job.Tasks))
	return best
}

// OrderLend hands the wish that a chunk be lent to the chunk's owner.
func (c *Controller) OrderLend(order *shard.LendOrder) {
	shardID := c.shardOfChunk(order)
	if shardID < 0 {
		return
	}
	switch owner := c.registry.OwnerOf(election.ShardKey(shardID)); owner {
	case "":
	case c.settings.Name:
		c.executeLendOrder(order)
	default:
		away := &order.Lent
		c.env.Send(owner, &peermsg.Envelope{Body: &peermsg.Envelope_ChunkOffload{ChunkOffload: &peermsg.ChunkOffload{Job: order.Job, Chunk: int32(order.Chunk), ToCluster: away.Partner, LeaderToken: away.LeaderToken,
			OfferId: away.OfferID, Reason: away.Reason, TermMs: away.TermMillis, LeaseMs: away.LeaseMillis}}})
	}
}

// shardOfChunk is where the chunk is; negative: nowhere here.
func (c *Controller) shardOfChunk(order *shard.LendOrder) int {
	if record := c.jobs[order.Job]; record != nil && order.Chunk >= 0 && order.Chunk < len(record.ChunkShards) {
		return record.ChunkShards[order.Chunk]
	}
	return shard.LentShard
}

func decodeLendOrder(message *peermsg.ChunkOffload) *shard.LendOrder {
	return &shard.LendOrder{Job: message.Job, Chunk: int(message.Chunk), Lent: shard.LentChunk{Partner: message.ToCluster, LeaderToken: message.LeaderToken, OfferID: message.OfferId, Reason: message.Reason, TermMillis: message.TermMs, LeaseMillis: message.LeaseMs}}
}

func (c *Controller) executeLendOrder(order *shard.LendOrder) {
	if p := c.ownedShard(c.shardOfChunk(order)); p != nil {
		p.LendChunk(order)
	} else {
		slog.Debug("node: a chunk to be lent is not ours", "job", order.Job, "chunk", order.Chunk)
	}
}

// EachBorrowedJob lists the borrowed jobs of the parts that are owned here.
func (c *Controller) EachBorrowedJob(f func(p *shard.Shard, rec *shard.JobRecord, permit *remotelease.Permit)) {
	c.eachShard(func(p *shard.Shard) {
		if c.ownedShard(p.ID) != nil {
			p.EachBorrowed(func(rec *shard.JobRecord, permit *remotelease.Permit) { f(p, rec, permit) })
		}
	})
}

// RemoteTasks says which of a job's tasks are at partners, and why.
func (c *Controller) RemoteTasks(id string) (out []protocol.RemoteTasks) {
	record := c.jobs[id]
	if record == nil {
		return nil
	}
	for _, a := range record.LentChunks {
		from, to := record.TaskRange(a.Chunk)
		out = append(out, protocol.RemoteTasks{Cluster: a.Partner, FirstTask: from, Tasks: to - from, Reason: a.Reason})
	}
	return out
}
