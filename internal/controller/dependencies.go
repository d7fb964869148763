package controller

import (
	"log/slog"
	"time"

	"curlewspool/internal/dependency"
	"curlewspool/internal/election"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file releases jobs that have waited for others, and withdraws those of which one
// that they need was cancelled. A job that waits has no part: nobody can start any of it,
// a controller of the version before included. What releases it is one transaction that
// gives it its parts, sent only when the ends of all that it needs have been read, which
// are durable and never change. So it does not matter who sends it, or how often.

// dependencyState is what a controller follows of that.
type dependencyState struct {
	graph            *dependency.Graph
	readingOutcomes  map[string]bool          // ends that are being read
	transactionSince map[string]time.Duration // since when a transaction of the job is under way
	releasedCount    int
	cascadedCount    int
}

// releaseRetryHeartbeats is after how many heartbeats a release without a result is sent again.
const releaseRetryHeartbeats = 12

// maxOutcomeReads bounds the ends that are read at once.
const maxOutcomeReads = 8

func (c *Controller) resetDependencies() {
	c.dependencies.graph = dependency.NewGraph(func(id string) bool {
		_, ok := c.store.Get(shard.JobKey(id))
		return ok
	})
	c.dependencies.readingOutcomes, c.dependencies.transactionSince = map[string]bool{}, map[string]time.Duration{}
}

// Dependencies says which jobs wait for which.
func (c *Controller) Dependencies() *dependency.Graph { return c.dependencies.graph }

// SupportsDependencies tells whether every controller that is heard understands jobs that
// need others. One that is not heard is not waited for: it finds a record without parts.
func (c *Controller) SupportsDependencies() bool {
	for name, p := range c.peers {
		if p.status != nil && c.isPeerAlive(name) && p.status.GetVersion() < peermsg.VersionDependencies {
			return false
		}
	}
	return true
}

// isDependencyReleaser tells whether it is for this controller to release: the leader does, as it
// chooses the parts; while none is heard that knows how to, the first by name of those
// that do.
func (c *Controller) isDependencyReleaser() bool {
	if !c.isReady() {
		return false
	}
	if c.isLeader() {
		return true
	}
	canRelease := func(name string) bool {
		p := c.peers[name]
		return p != nil && p.status != nil && c.isPeerAlive(name) && p.status.Ready && p.status.GetVersion() >= peermsg.VersionDependencies
	}
	if canRelease(c.registry.OwnerOf(election.LeaderKey)) {
		return false
	}
	for _, name := range c.controllerNames {
		if name == c.settings.Name {
			return true
		}
		if canRelease(name) {
			return false
		}
	}
	return false
}

// processDependencies does what is to be done: reads ends, releases, withdraws.
func (c *Controller) processDependencies() {
	graph := c.dependencies.graph
	if graph.WaitingCount() == 0 || !c.isDependencyReleaser() {
		return
	}
	for _, id := range graph.Unread() {
		c.readOutcome(id)
	}
	for _, id := range graph.Cancelled() {
		if c.beginDependencyTransaction(id) {
			c.userAPI.CancelWithDependency(id, func(ok bool) {
				delete(c.dependencies.transactionSince, id)
				if ok {
					c.dependencies.cascadedCount++
					slog.Info("node: withdrawn with a job that it needs", "job", id)
				}
			})
		}
	}
	for _, id := range graph.Ready() {
		if record := c.jobs[id]; record != nil && c.beginDependencyTransaction(id) {
			c.releaseJob(id, record)
		}
	}
}

func (c *Controller) readOutcome(id string) {
	if c.dependencies.readingOutcomes[id] || len(c.dependencies.readingOutcomes) >= maxOutcomeReads {
		return // when one of those under way is there, or at the next tick
	}
	c.dependencies.readingOutcomes[id] = true
	c.userAPI.FetchOutcome(id, func(ok bool) {
		if ok {
			delete(c.dependencies.readingOutcomes, id)
			c.processDependencies()
			return
		}
		// A refusal is there in milliseconds: asking again at once would ask hundreds of
		// times a second. Members do not come back in step.
		pause := c.statusInterval() + time.Duration(c.env.Rand().Int64N(int64(c.statusInterval())))
		c.env.After(pause, func() { delete(c.dependencies.readingOutcomes, id) })
	})
}

// beginDependencyTransaction notes that a transaction of the job is under way; false if one is already.
func (c *Controller) beginDependencyTransaction(id string) bool {
	now := c.env.Now()
	if at, ok := c.dependencies.transactionSince[id]; ok && now-at < releaseRetryHeartbeats*c.statusInterval() {
		return false
	}
	c.dependencies.transactionSince[id] = now
	return true
}

// termsOf are what a job passes on to those that it needs.
func termsOf(record *shard.JobRecord) dependency.Terms {
	inheritable := dependency.Terms{Rank: record.Job.Priority, Estimate: record.Job.Estimate}
	if record.Job.Deadline > 0 {
		inheritable.DueAt = record.AcceptedAt + record.Job.Deadline
	}
	return inheritable
}

// WithInherited gives a job's record with what it takes over from jobs that wait for it: the
// highest of their priorities, and the time by which it must be done for their deadlines.
// Users set both on the last job of a pipeline only. Nothing of it is stored.
func (c *Controller) WithInherited(record *shard.JobRecord) *shard.JobRecord {
	inherited, ok := c.dependencies.graph.InheritedTerms(record.Job.ID)
	if !ok {
		return record
	}
	out := *record
	out.Job.Priority = max(out.Job.Priority, inherited.Rank)
	if inherited.DueAt > 0 {
		due := max(inherited.DueAt-record.AcceptedAt, shard.DeadlineOverdue)
		if out.Job.Deadline == 0 || due < out.Job.Deadline {
			out.Job.Deadline = due
		}
	}
	return &out
}

// refreshInherited has the parts take over anew what jobs have from those that wait for them.
func (c *Controller) refreshInherited(ids []string) {
	for _, id := range ids {
		c.eachShard(func(p *shard.Shard) { p.RefreshInherited(id) })
	}
}

// releaseJob gives a job that has waited its parts.
func (c *Controller) releaseJob(id string, waiting *shard.JobRecord) {
	released := waiting.Release(c.WallSeconds())
	c.PlanShards(&c.WithInherited(released).Job, func(rank, chunk int, shards []int) {
		released.Rank, released.ChunkSize, released.ChunkShards = rank, chunk, shards
		c.store.Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
			Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
				if c.jobs[id] != waiting {
					return nil, nil
				}
				released.Nonce = nonce
				return []protocol.Condition{c.store.UnchangedCondition(shard.JobKey(id))}, []protocol.Mutation{{Put: shard.JobKey(id), Value: protocol.Encode(released)}}
			},
			Done: func(applied bool, _ uint64) {
				delete(c.dependencies.transactionSince, id)
				if applied {
					c.dependencies.releasedCount++
					slog.Info("node: released", "job", id, "after_s", released.AcceptedAt-released.SubmittedAt, "parts", shards)
					c.AnnounceChange(id)
				}
			},
		})
	})
}
