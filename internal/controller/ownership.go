package controller

import (
	"log/slog"
	"time"

	"curlewspool/internal/autoscaler"
	"curlewspool/internal/election"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file acquires and releases the ownership of shards and the leadership. The store has one key
// for each shard and one for the leadership. The value of a key names the owner.

// shardOfKey returns the shard of an ownership key. ok is false if the key is not that of a shard
// of this cluster.
func (c *Controller) shardOfKey(key string) (shardID int, ok bool) {
	shardID, ok = election.ParseShardKey(key)
	return shardID, ok && shardID >= 0 && shardID < len(c.controllerNames)
}

// IsLeader reports whether this controller is the leader and may act as such now: it holds the
// leader key and its store lease is valid.
func (c *Controller) IsLeader() bool {
	return c.autoscaler != nil && c.registry.Holds(election.LeaderKey) && c.store.Lease.IsValid()
}

// ownedShard returns a shard if this controller owns it and may act as its owner now. Otherwise it
// returns nil.
func (c *Controller) ownedShard(shardID int) *shard.Shard {
	owned := c.shards[shardID]
	if owned == nil || !c.registry.Holds(election.ShardKey(shardID)) || !c.store.Lease.IsValid() {
		return nil
	}
	return owned
}

// isReady reports whether this controller can do its work: the cache is loaded, the store lease
// is valid, the store is available and the machine catalog is known.
func (c *Controller) isReady() bool {
	return c.store.IsLoaded() && c.store.Lease.IsValid() && !c.store.IsUnavailable() && len(c.machineTypes) > 0
}

// maintainOwnership reclaims the keys that this controller held before a restart, and claims the
// leadership if there is no leader or the leader is absent.
func (c *Controller) maintainOwnership() {
	if !c.store.IsLoaded() || !c.store.Lease.IsValid() {
		return
	}
	c.reclaimOwnKeys()
	now := c.env.Now()
	if now < c.nextClaimAt {
		return
	}
	// The random delay lets a previous leader that has just restarted reclaim the key first.
	c.nextClaimAt = now + c.statusInterval()/2 + time.Duration(c.env.Rand().Int64N(int64(c.statusInterval())))
	switch leader := c.registry.OwnerOf(election.LeaderKey); {
	case leader == "":
		c.registry.Claim(election.LeaderKey, false)
	case leader != c.settings.Name && c.isAbsent(leader):
		slog.Info("controller: leader absent", "leader", leader)
		c.registry.Claim(election.LeaderKey, true)
	}
}

// reclaimOwnKeys reclaims, with new fencing tokens, the keys that this controller held before its
// restart. It need not wait for a lease to expire, as the previous process no longer runs.
func (c *Controller) reclaimOwnKeys() {
	if !c.store.IsLoaded() || !c.store.Lease.IsValid() {
		return
	}
	for shardID := range c.controllerNames {
		if key := election.ShardKey(shardID); c.registry.IsHeldByPreviousIncarnation(key) {
			c.registry.Claim(key, false)
		}
	}
	if c.registry.IsHeldByPreviousIncarnation(election.LeaderKey) {
		c.registry.Claim(election.LeaderKey, false)
	}
}

// onKeyAcquired is called after this controller has claimed a key. until is the wall-clock time,
// in seconds, until which a previous owner may act.
func (c *Controller) onKeyAcquired(key string, token uint64, until float64) {
	if key == election.LeaderKey {
		c.startLeadership(token)
		return
	}
	shardID, ok := c.shardOfKey(key)
	if !ok {
		return
	}
	if owned := c.shards[shardID]; owned != nil {
		owned.RaiseToken(token)
		return
	}
	// The cache may be older than the claim. Before anything is started, it must contain the
	// last writes of the previous owner, such as which job may run on which machine. That
	// owner can write nothing after the claim.
	c.openAfterSync(shardID, key, token, c.env.Now()+c.previousOwnerTimeLeft(until))
}

// startLeadership creates the components that only the leader runs, unless they exist.
func (c *Controller) startLeadership(token uint64) {
	if c.autoscaler != nil {
		return
	}
	c.autoscaler = autoscaler.New(c.env, c.settings, token)
	c.placement.resetQueues(len(c.controllerNames))
	if c.federation != nil {
		c.federation.StartLeadership(token)
	}
}

// previousOwnerTimeLeft returns for how long a previous owner may still answer machines. This is
// the time until the given wall-clock time, plus the skew of the two clocks that are compared. The
// result is at most the TTL of a store lease, because no previous owner can be active for longer:
// one that released its key has stopped already, and one whose key was taken cannot have renewed
// its lease afterwards. The result is at least two renewal intervals of the lease.
func (c *Controller) previousOwnerTimeLeft(until float64) time.Duration {
	left := env.Seconds(until - c.WallSeconds() + 2*c.settings.Deployment.SkewMs/1000)
	return max(min(left, c.storeLeaseTTL()), 2*c.leaseRenewInterval())
}

// openAfterSync opens a shard once the cache is known to include the claim. Until
// previousOwnerUntil, a previous owner may still answer the shard's machines.
func (c *Controller) openAfterSync(shardID int, key string, token uint64, previousOwnerUntil time.Duration) {
	c.store.Sync(func(synced bool) {
		if !c.registry.Holds(key) || c.registry.FencingToken(key) < token || c.shards[shardID] != nil {
			return
		}
		if !synced {
			c.env.After(c.statusInterval(), func() { c.openAfterSync(shardID, key, token, previousOwnerUntil) })
			return
		}
		c.openShard(shardID, key, c.registry.FencingToken(key), previousOwnerUntil)
	})
}

// openShard starts a shard with all machines, jobs and progress in the cache. Until
// previousOwnerUntil, the shard assumes that a previous owner may still answer its machines.
func (c *Controller) openShard(shardID int, key string, token uint64, previousOwnerUntil time.Duration) {
	guard := func() protocol.Condition { return c.registry.OwnershipCondition(key) }
	opened := shard.New(shardID, token, c, guard, previousOwnerUntil)
	c.shards[shardID] = opened
	for _, id := range sortedKeys(c.machines) {
		opened.UpdateMachine(id, c.machines[id])
	}
	for _, id := range sortedKeys(c.jobs) {
		entry, _ := c.store.Get(shard.JobKey(id))
		opened.UpdateJob(id, c.jobs[id], entry.Revision)
		c.deliverProgress(opened, id)
	}
	opened.Tick()
}

// onKeyLost is called when this controller ceases to hold a key.
func (c *Controller) onKeyLost(key string) {
	if key == election.LeaderKey {
		c.autoscaler = nil
		return
	}
	shardID, ok := c.shardOfKey(key)
	if !ok {
		return
	}
	if closing := c.shards[shardID]; closing != nil {
		closing.Close()
		delete(c.shards, shardID)
	}
}

// releaseShard releases a shard. It does nothing and returns false while a previous owner may
// still answer the shard's machines, because the next owner would not know of that previous owner.
func (c *Controller) releaseShard(shardID int) bool {
	if owned := c.shards[shardID]; owned != nil && c.env.Now() < owned.PreviousOwnerActiveUntil() {
		return false
	}
	c.registry.Release(election.ShardKey(shardID))
	return true
}
