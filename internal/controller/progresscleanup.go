package controller

import (
	"curlewspool/internal/election"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// maxProgressDeletions is the maximum number of deletions of orphaned progress in flight.
const maxProgressDeletions = 8

// progressCleanup tracks the jobs that have stored progress but no record any more. Each owner
// deletes the progress of its own shards.
type progressCleanup struct {
	orphanedJobs map[string]bool
	deleting     map[string]bool // keys whose deletion is in flight
}

func newProgressCleanup() progressCleanup {
	return progressCleanup{orphanedJobs: map[string]bool{}, deleting: map[string]bool{}}
}

// deleteOrphanedProgress deletes the progress that a shard has stored for jobs that have no record
// any more.
func (c *Controller) deleteOrphanedProgress(owned *shard.Shard) {
	cleanup := &c.progressCleanup
	if len(cleanup.orphanedJobs) == 0 {
		return
	}
	for _, id := range sortedKeys(cleanup.orphanedJobs) {
		if c.jobs[id] != nil || c.progress[id] == nil {
			delete(cleanup.orphanedJobs, id)
			continue
		}
		if c.progress[id][owned.ID] == nil || len(cleanup.deleting) >= maxProgressDeletions {
			continue
		}
		if key := shard.ProgressKey(id, owned.ID); !cleanup.deleting[key] {
			c.deleteProgress(key, owned.ID)
		}
	}
}

// deleteProgress deletes one progress key if this controller still owns the shard.
func (c *Controller) deleteProgress(key string, shardID int) {
	c.progressCleanup.deleting[key] = true
	ownership := c.registry.OwnershipCondition(election.ShardKey(shardID))
	c.store.Write(kvstore.PriorityLow, &kvstore.WriteRequest{
		Build: func(string) ([]protocol.Condition, []protocol.Mutation) {
			if _, ok := c.store.Get(key); !ok {
				return nil, nil
			}
			conditions := []protocol.Condition{ownership, c.store.UnchangedCondition(key)}
			return conditions, []protocol.Mutation{{Delete: key}}
		},
		Done: func(bool, uint64) { delete(c.progressCleanup.deleting, key) },
	})
}
