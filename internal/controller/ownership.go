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

// This file takes and gives up shards and the leadership, as their keys in the store say.

// shardOfKey is the shard of a key of ownership; false: it is none of this cluster's.
func (c *Controller) shardOfKey(key string) (shardID int, ok bool) {
	shardID, ok = election.ParseShardKey(key)
	return shardID, ok && shardID >= 0 && shardID < len(c.controllerNames)
}

// IsLeader reports whether this controller is the leader and may act as such now: it holds the
// leader's key and its lease is valid.
func (c *Controller) IsLeader() bool {
	return c.autoscaler != nil && c.registry.Holds(election.LeaderKey) && c.store.Lease.IsValid()
}

// ownedShard is a shard that this controller owns and may act for now; nil: it may not.
func (c *Controller) ownedShard(shardID int) *shard.Shard {
	owned := c.shards[shardID]
	if owned == nil || !c.registry.Holds(election.ShardKey(shardID)) || !c.store.Lease.IsValid() {
		return nil
	}
	return owned
}

// isReady reports whether this controller is able to act for the cluster.
func (c *Controller) isReady() bool {
	return c.store.IsLoaded() && c.store.Lease.IsValid() && !c.store.IsUnavailable() && len(c.machineTypes) > 0
}

// maintainOwnership takes back what this controller held before a restart, and claims the
// leadership when it is free or its holder is absent.
func (c *Controller) maintainOwnership() {
	if !c.store.IsLoaded() || !c.store.Lease.IsValid() {
		return
	}
	c.reclaimOwnKeys()
	now := c.env.Now()
	if now < c.nextClaimAt {
		return
	}
	// The random part lets the previous leader, if it has just restarted, come back first.
	c.nextClaimAt = now + c.statusInterval()/2 + time.Duration(c.env.Rand().Int64N(int64(c.statusInterval())))
	switch leader := c.registry.OwnerOf(election.LeaderKey); {
	case leader == "":
		c.registry.Claim(election.LeaderKey, false)
	case leader != c.settings.Name && c.isAbsent(leader):
		slog.Info("controller: leader absent", "leader", leader)
		c.registry.Claim(election.LeaderKey, true)
	}
}

// reclaimOwnKeys takes back, under new fencing tokens, what this controller held before its
// restart: its previous process cannot act any more, so there is nothing to wait for.
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

// onKeyAcquired is called when this controller has claimed a key. until is the time of day, in
// seconds, up to which a previous owner may act.
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
	// The cache may be older than the claim: the last writes of the previous owner, such as
	// which job may be on which machine, must be in it before anything is started. No
	// write of that owner can follow the claim.
	c.openAfterSync(shardID, key, token, c.env.Now()+c.previousOwnerTimeLeft(until))
}

// startLeadership sets up the leader's duties, unless they are.
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

// previousOwnerTimeLeft is for how long a previous owner may still answer machines: until a
// time of day, by two clocks that may both be off, but no longer than a lease. An owner
// that gave its key up has stopped; one whose lease expired at the store had renewed it, at
// the latest, when the key was taken from it.
func (c *Controller) previousOwnerTimeLeft(until float64) time.Duration {
	left := env.Seconds(until - c.WallSeconds() + 2*c.settings.Deployment.SkewMs/1000)
	return max(min(left, c.storeLeaseTTL()), 2*c.leaseRenewInterval())
}

// openAfterSync opens a shard once the cache is known to be as new as the claim. Until bound,
// a previous owner may answer the shard's machines.
func (c *Controller) openAfterSync(shardID int, key string, token uint64, bound time.Duration) {
	c.store.Sync(func(synced bool) {
		if !c.registry.Holds(key) || c.registry.FencingToken(key) < token || c.shards[shardID] != nil {
			return
		}
		if !synced {
			c.env.After(c.statusInterval(), func() { c.openAfterSync(shardID, key, token, bound) })
			return
		}
		c.openShard(shardID, key, c.registry.FencingToken(key), bound)
	})
}

// openShard starts a shard with all machines, jobs and progress that the cache has. Until bound
// the shard assumes that a previous owner answers its machines.
func (c *Controller) openShard(shardID int, key string, token uint64, bound time.Duration) {
	guard := func() protocol.Condition { return c.registry.OwnershipCondition(key) }
	opened := shard.New(shardID, token, c, guard, bound)
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

// onKeyLost is called when this controller no longer holds a key.
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

// releaseShard gives a shard up; false if a previous owner may still answer its machines,
// of which the next owner would not know.
func (c *Controller) releaseShard(shardID int) bool {
	if owned := c.shards[shardID]; owned != nil && c.env.Now() < owned.EarlierOwnerBound() {
		return false
	}
	c.registry.Release(election.ShardKey(shardID))
	return true
}
