package controller

import (
	"log/slog"
	"strconv"
	"strings"

	"curlewspool/internal/election"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// Prefixes of the cached keys other than rosters (rosterKeyPrefix) and ownership keys (election).
const (
	livenessKeyPrefix = "a/h/"
	jobKeyPrefix      = "a/j/"
	progressKeyPrefix = "a/p/"
)

// onKeyChange handles a change of a cached key. value is nil if the key was deleted. An empty key
// means that all changes up to some revision have been passed to this method.
func (c *Controller) onKeyChange(key string, value []byte) {
	switch {
	case key == "":
		c.onCacheAdvanced()
	case election.IsOwnershipKey(key):
		c.registry.ApplyChange(key, value)
	case strings.HasPrefix(key, livenessKeyPrefix):
		c.onLivenessChange(strings.TrimPrefix(key, livenessKeyPrefix), value)
	case strings.HasPrefix(key, jobKeyPrefix):
		c.onJobChange(key, value)
	case strings.HasPrefix(key, progressKeyPrefix):
		c.onProgressChange(key, value)
	case strings.HasPrefix(key, rosterKeyPrefix):
		c.applyRoster(key, value)
	}
}

func (c *Controller) onCacheAdvanced() {
	c.deleteRemovedMachines()
	c.refreshInherited()
	c.eachShard(func(owned *shard.Shard) { owned.CacheAdvanced() })
	c.processDependencies()
}

// onLivenessChange records that a member has renewed its liveness key. Values from the initial
// load of the cache may be old and are ignored.
func (c *Controller) onLivenessChange(name string, value []byte) {
	if member := c.members.peers[name]; member != nil && value != nil && c.store.IsLoaded() {
		member.livenessSeenAt = c.env.Now()
	}
}

func (c *Controller) onJobChange(key string, value []byte) {
	id := strings.TrimPrefix(key, jobKeyPrefix)
	if value == nil {
		c.onJobRecordDeleted(id)
		return
	}
	record := &shard.JobRecord{}
	if err := protocol.Decode(value, record); err != nil {
		slog.Error("controller: invalid job record", "job", id, "error", err)
		return
	}
	c.onJobRecordChanged(id, record)
}

// onJobRecordDeleted drops a finished job, whose record was deleted, from all components.
func (c *Controller) onJobRecordDeleted(id string) {
	graph := c.dependencies.graph
	if graph.HasDependents(id) && c.ownsShardOf(id) {
		c.AnnounceChange(id) // dependent jobs wait for its outcome
	}
	delete(c.jobs, id)
	delete(c.knownCancelled, id)
	c.dependencies.markInheritanceChanged(id)
	graph.Remove(id)
	if c.federation != nil {
		c.federation.JobChanged(id, nil)
	}
	if c.progress[id] != nil {
		c.progressCleanup.orphanedJobs[id] = true
	}
	c.eachShard(func(owned *shard.Shard) { owned.UpdateJob(id, nil, 0) })
}

// onJobRecordChanged passes a new or changed job record to all components that use it.
func (c *Controller) onJobRecordChanged(id string, record *shard.JobRecord) {
	previous := c.jobs[id]
	c.jobs[id] = record
	graph := c.dependencies.graph
	graph.Update(id, record.Job.Dependencies, record.AwaitsDependencies(), urgencyOf(record))
	c.dependencies.markInheritanceChanged(id)
	if record.AwaitsDependencies() {
		return // a job that awaits dependencies affects neither shards nor capacity
	}
	isNew := previous == nil || previous.AwaitsDependencies()
	if isNew && record.RemoteLease == nil {
		c.arrivals.Record(&record.Job, env.Seconds(record.AcceptedAt), env.Seconds(c.WallSeconds()))
	}
	c.recordLargeJob(&record.Job)
	if c.federation != nil {
		c.federation.JobChanged(id, record)
	}
	if c.knownCancelled[id] {
		return // the change is from a write that this controller sent before the job was cancelled
	}
	entry, _ := c.store.Get(shard.JobKey(id))
	c.eachShard(func(owned *shard.Shard) {
		owned.UpdateJob(id, record, entry.Revision)
		c.deliverProgress(owned, id)
	})
}

func (c *Controller) onProgressChange(key string, value []byte) {
	id, shardID, ok := parseProgressKey(key)
	if !ok {
		return
	}
	if value == nil {
		c.removeProgress(id, shardID)
		return
	}
	progress := &shard.Progress{}
	if err := protocol.Decode(value, progress); err != nil {
		slog.Error("controller: invalid progress record", "job", id, "shard", shardID, "error", err)
		return
	}
	if c.progress[id] == nil {
		c.progress[id] = map[int]*shard.Progress{}
	}
	c.progress[id][shardID] = progress
	if c.store.IsLoaded() && c.jobs[id] == nil {
		c.progressCleanup.orphanedJobs[id] = true
	}
	c.eachShard(func(owned *shard.Shard) { owned.UpdateProgress(id, shardID, progress) })
}

func (c *Controller) removeProgress(id string, shardID int) {
	delete(c.progress[id], shardID)
	if len(c.progress[id]) == 0 {
		delete(c.progress, id)
		delete(c.progressCleanup.orphanedJobs, id)
	}
}

// parseProgressKey splits the key of a job's progress in one shard, which shard.ProgressKey
// builds. The shard's ID follows the last slash.
func parseProgressKey(key string) (id string, shardID int, ok bool) {
	name := strings.TrimPrefix(key, progressKeyPrefix)
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, false
	}
	shardID, err := strconv.Atoi(name[slash+1:])
	return name[:slash], shardID, err == nil
}

// onStoreReset discards everything that was read from the store, because the cache is no longer
// valid. The owned shards are closed, because they would take a missing record of a job or machine
// for a deleted one.
func (c *Controller) onStoreReset() {
	c.registry.DropAllHeld()
	c.registry.ResetOwners()
	c.jobs = map[string]*shard.JobRecord{}
	c.progress = map[string]map[int]*shard.Progress{}
	c.machines = map[string]*shard.MachineRecord{}
	c.progressCleanup.orphanedJobs = map[string]bool{}
	c.rosterIndex = newRosterIndex()
	c.knownCancelled = map[string]bool{} // records that are read from now on are newer than these cancellations
	c.resetDependencies()
	if c.federation != nil {
		c.federation.Reset()
	}
}

// ownsShardOf reports whether this controller owns a shard with tasks of a job.
func (c *Controller) ownsShardOf(id string) bool {
	owns := false
	c.eachShard(func(owned *shard.Shard) { owns = owns || owned.Jobs[id] != nil })
	return owns
}

// deliverProgress passes the progress of a job, as stored by each shard, to one shard.
func (c *Controller) deliverProgress(owned *shard.Shard, id string) {
	for shardID := range c.controllerNames {
		if progress := c.progress[id][shardID]; progress != nil {
			owned.UpdateProgress(id, shardID, progress)
		}
	}
}
