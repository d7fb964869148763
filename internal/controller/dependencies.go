package controller

import (
	"log/slog"
	"time"

	"curlewspool/internal/dependency"
	"curlewspool/internal/dispatch"
	"curlewspool/internal/election"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file releases jobs whose dependencies are done and cancels jobs of which a dependency
// was cancelled.
//
// A job that waits for dependencies has no shards, so no controller can start any of its tasks, not
// even a controller of the previous version. A single transaction releases the job by assigning its
// shards. This transaction is sent only after the outcomes of all dependencies have been read.
// Outcomes are durable and never change, so any controller may send the transaction, and may send
// it again.

const (
	// releaseRetryIntervals is the number of status intervals after which the transaction that
	// releases or cancels a job is sent again if it has had no result.
	releaseRetryIntervals = 12
	// maxOutcomeReads is the maximum number of concurrent reads of outcomes.
	maxOutcomeReads = 8
)

// dependencyState holds what a controller knows of jobs that wait for dependencies.
type dependencyState struct {
	graph              *dependency.Graph
	inheritanceChanged []string                 // jobs that have to recompute what they inherit, with all their dependencies
	readingOutcomes    map[string]bool          // jobs whose outcome is being read
	transactionSentAt  map[string]time.Duration // by job ID: when the job's transaction in flight was sent
	releasedCount      int                      // number of jobs released since the controller started
	cancelledCount     int                      // number of jobs cancelled with a dependency since the controller started
}

// reset starts a new graph when the cache is reloaded. isLive reports whether the cache has a
// job's record.
func (d *dependencyState) reset(isLive func(id string) bool) {
	d.graph = dependency.NewGraph(isLive)
	d.inheritanceChanged = nil
	d.readingOutcomes = map[string]bool{}
	d.transactionSentAt = map[string]time.Duration{}
}

// beginTransaction reports whether a transaction of a job may be sent now, and if so, records that
// it is sent. It may not be sent while another transaction of the job, sent less than retryAfter
// ago, is in flight.
func (d *dependencyState) beginTransaction(id string, now, retryAfter time.Duration) bool {
	if sentAt, ok := d.transactionSentAt[id]; ok && now-sentAt < retryAfter {
		return false
	}
	d.transactionSentAt[id] = now
	return true
}

func (d *dependencyState) endTransaction(id string) { delete(d.transactionSentAt, id) }

// canReadOutcome reports whether a read of a job's outcome may begin now. It may not begin while a
// read of the same outcome is in flight, or while maxOutcomeReads reads are. In that case the
// outcome is read later: when a read in flight completes, or at the next tick.
func (d *dependencyState) canReadOutcome(id string) bool {
	return !d.readingOutcomes[id] && len(d.readingOutcomes) < maxOutcomeReads
}

func (c *Controller) resetDependencies() {
	c.dependencies.reset(func(id string) bool {
		_, ok := c.store.Get(shard.JobKey(id))
		return ok
	})
}

// Dependencies returns the graph of jobs that wait for others.
func (c *Controller) Dependencies() *dependency.Graph { return c.dependencies.graph }

// SupportsDependencies reports whether every live controller supports jobs with dependencies.
// Controllers that are down do not matter: they may read a waiting job's record later, but cannot
// start a job that has no shards.
func (c *Controller) SupportsDependencies() bool {
	for name, member := range c.members.peers {
		if member.status != nil && c.members.isAlive(name) && !member.supportsDependencies() {
			return false
		}
	}
	return true
}

// supportsDependencies reports whether the peer's version, according to its latest status,
// supports dependencies.
func (p *peer) supportsDependencies() bool {
	return p.status.GetVersion() >= peermsg.VersionDependencies
}

// isDependencyReleaser reports whether this controller is the one that releases and cancels waiting
// jobs. Normally this is the leader, which also chooses the shards. While there is no leader that
// can release jobs, the releaser is the first controller in configuration order that can.
func (c *Controller) isDependencyReleaser() bool {
	if !c.isReady() {
		return false
	}
	if c.IsLeader() {
		return true
	}
	if c.canReleaseDependencies(c.registry.OwnerOf(election.LeaderKey)) {
		return false
	}
	for _, name := range c.controllerNames {
		if name == c.settings.Name {
			return true
		}
		if c.canReleaseDependencies(name) {
			return false
		}
	}
	return false
}

// canReleaseDependencies reports whether another controller can release waiting jobs: it is alive,
// ready and of a version that supports dependencies.
func (c *Controller) canReleaseDependencies(name string) bool {
	member := c.members.peers[name]
	if member == nil || member.status == nil || !c.members.isAlive(name) {
		return false
	}
	return member.status.Ready && member.supportsDependencies()
}

// processDependencies reads the missing outcomes of dependencies, cancels the jobs of which a
// dependency was cancelled, and releases the jobs whose dependencies are done. It does nothing
// unless isDependencyReleaser returns true.
func (c *Controller) processDependencies() {
	graph := c.dependencies.graph
	if graph.WaitingCount() == 0 || !c.isDependencyReleaser() {
		return
	}
	for _, id := range graph.UnreadOutcomes() {
		c.readOutcome(id)
	}
	for _, id := range graph.Cancelled() {
		c.cancelWithDependency(id)
	}
	for _, id := range graph.Ready() {
		c.releaseJob(id)
	}
}

// readOutcome reads the outcome of a job that a waiting job depends on.
func (c *Controller) readOutcome(id string) {
	if !c.dependencies.canReadOutcome(id) {
		return
	}
	c.dependencies.readingOutcomes[id] = true
	c.userAPI.FetchOutcome(id, func(ok bool) {
		if ok {
			delete(c.dependencies.readingOutcomes, id)
			c.processDependencies()
			return
		}
		// A refusal arrives within milliseconds, so an immediate retry would send hundreds of
		// requests a second. The random part keeps controllers from retrying at the same time.
		pause := c.statusInterval() + time.Duration(c.env.Rand().Int64N(int64(c.statusInterval())))
		c.env.After(pause, func() { delete(c.dependencies.readingOutcomes, id) })
	})
}

// beginDependencyTransaction reports whether to send a transaction of a job now, and if so, records
// that it is sent.
func (c *Controller) beginDependencyTransaction(id string) bool {
	return c.dependencies.beginTransaction(id, c.env.Now(), releaseRetryIntervals*c.statusInterval())
}

// cancelWithDependency cancels a job of which a dependency was cancelled.
func (c *Controller) cancelWithDependency(id string) {
	if !c.beginDependencyTransaction(id) {
		return
	}
	c.userAPI.CancelWithDependency(id, func(ok bool) {
		c.dependencies.endTransaction(id)
		if ok {
			c.dependencies.cancelledCount++
			slog.Info("controller: job cancelled with a dependency", "job", id)
		}
	})
}

// releaseJob releases a waiting job to the shards that PlanShards chooses for it.
func (c *Controller) releaseJob(id string) {
	waiting := c.jobs[id]
	if waiting == nil || !c.beginDependencyTransaction(id) {
		return
	}
	released := waiting.Release(c.WallSeconds())
	c.PlanShards(&c.WithInherited(released).Job, func(placement dispatch.Placement) {
		released.Rank = placement.Rank
		released.ChunkSize = placement.ChunkSize
		released.ChunkShards = placement.Shards
		c.writeReleasedJob(id, waiting, released)
	})
}

// writeReleasedJob replaces the stored record of a waiting job by that of the released job, unless
// the stored record has changed.
func (c *Controller) writeReleasedJob(id string, waiting, released *shard.JobRecord) {
	key := shard.JobKey(id)
	c.store.Write(kvstore.PriorityHigh, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if c.jobs[id] != waiting {
				return nil, nil
			}
			released.Nonce = nonce
			conditions := []protocol.Condition{c.store.UnchangedCondition(key)}
			mutations := []protocol.Mutation{{Put: key, Value: protocol.Encode(released)}}
			return conditions, mutations
		},
		Done: func(applied bool, _ uint64) {
			c.dependencies.endTransaction(id)
			if !applied {
				return
			}
			c.dependencies.releasedCount++
			slog.Info("controller: job released", "job", id, "after_s", released.AcceptedAt-released.SubmittedAt, "shards", released.ChunkShards)
			c.AnnounceChange(id)
		},
	})
}

// urgencyOf returns a job's priority, estimate and due time, from which the urgency that its
// dependencies inherit is computed.
func urgencyOf(record *shard.JobRecord) dependency.Urgency {
	urgency := dependency.Urgency{PriorityLevel: record.Job.Priority, Estimate: record.Job.Estimate}
	if record.Job.Deadline > 0 {
		urgency.DueAt = record.AcceptedAt + record.Job.Deadline
	}
	return urgency
}

// WithInherited returns a job's record with the priority and the deadline that the job inherits
// from the jobs that wait for it. The inherited priority is the highest priority of these jobs, and
// is used if it is higher than the job's own. The inherited deadline is the time by which the job
// must be done so that these jobs can meet their deadlines, and is used if it is earlier than the
// job's own. If there is nothing to inherit, the record itself is returned. Inheritance is needed
// because users set priority and deadline on the last job of a pipeline only. Inherited values are
// not stored.
func (c *Controller) WithInherited(record *shard.JobRecord) *shard.JobRecord {
	inherited, ok := c.dependencies.graph.InheritedUrgency(record.Job.ID)
	if !ok {
		return record
	}
	effective := *record
	job := &effective.Job
	job.Priority = max(job.Priority, inherited.PriorityLevel)
	if inherited.DueAt > 0 {
		deadline := max(inherited.DueAt-record.AcceptedAt, shard.DeadlineOverdue)
		if job.Deadline == 0 || deadline < job.Deadline {
			job.Deadline = deadline
		}
	}
	return &effective
}

// markInheritanceChanged records that the jobs on which a waiting job depends have to recompute what
// they inherit.
func (d *dependencyState) markInheritanceChanged(id string) {
	d.inheritanceChanged = append(d.inheritanceChanged, d.graph.Dependencies(id)...)
}

// refreshInherited makes the shards recompute what jobs inherit from the jobs that wait for them,
// where that may have changed. It runs once after a batch of changed records: if it ran after each
// record, the records of a chain of jobs would cost the square of the chain's length.
func (c *Controller) refreshInherited() {
	changed := c.dependencies.inheritanceChanged
	if len(changed) == 0 {
		return
	}
	c.dependencies.inheritanceChanged = nil
	for _, id := range c.dependencies.graph.WithUpstream(changed) {
		c.eachShard(func(s *shard.Shard) { s.RefreshInherited(id) })
	}
}
