package controller

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/autoscaler"
	"curlewspool/internal/election"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file takes and gives up parts, as their keys say.

// reclaimOwnKeys takes back, under new tokens, what this controller held before its
// restart: its dead predecessor cannot act any more, so nothing is waited for.
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

func (c *Controller) onKeyAcquired(key string, token uint64, until float64) {
	if key == election.LeaderKey {
		if c.autoscaler == nil {
			c.autoscaler = autoscaler.New(c.env, c.settings, token)
			c.resetShardQueues()
			if c.federation != nil {
				c.federation.StartLeadership(token)
			}
		}
		return
	}
	shardID, err := strconv.Atoi(strings.TrimPrefix(key, "a/o/"))
	if err != nil || shardID < 0 || shardID >= len(c.controllerNames) {
		return
	}
	if p := c.shards[shardID]; p != nil {
		p.RaiseToken(token)
		return
	}
	// The cache may be older than the claim: the last writes of the owner
	// before, such as which job may be on which machine, must be in it before
	// anything is started. No write of his can follow the claim.
	c.openAfterSync(shardID, key, token, c.env.Now()+c.previousOwnerTimeLeft(until))
}

// previousOwnerTimeLeft is for how long yet an owner before may answer workers: until a time
// of day, by two clocks that may both be off, but no longer than a grant. Who
// gave its key up has stopped; one whose grant ended at the state service had
// renewed it, at the latest, when the key was taken from it.
func (c *Controller) previousOwnerTimeLeft(until float64) time.Duration {
	left := env.Seconds(until - c.WallSeconds() + 2*c.settings.Deployment.SkewMs/1000)
	return max(min(left, c.storeLeaseTTL()), 2*c.leaseRenewInterval())
}

// releaseShard gives a part up, unless an owner before may still answer its machines:
// who takes a free part would not know of that.
func (c *Controller) releaseShard(shardID int) bool {
	if owned := c.shards[shardID]; owned != nil && c.env.Now() < owned.EarlierOwnerBound() {
		return false
	}
	c.registry.Release(election.ShardKey(shardID))
	return true
}

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

func (c *Controller) openShard(shardID int, key string, token uint64, bound time.Duration) {
	opened := shard.New(shardID, token, c, func() protocol.Condition { return c.registry.OwnershipCondition(key) }, bound)
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

func (c *Controller) onKeyLost(key string) {
	if key == election.LeaderKey {
		c.autoscaler = nil
		return
	}
	if shardID, err := strconv.Atoi(strings.TrimPrefix(key, "a/o/")); err == nil {
		if p := c.shards[shardID]; p != nil {
			p.Close()
			delete(c.shards, shardID)
		}
	}
}

// ownedShard gives a part that this controller owns and may act for now.
func (c *Controller) ownedShard(shardID int) *shard.Shard {
	if owned := c.shards[shardID]; owned != nil && c.registry.Holds(election.ShardKey(shardID)) && c.store.Lease.IsValid() {
		return owned
	}
	return nil
}

func (c *Controller) isLeader() bool {
	return c.autoscaler != nil && c.registry.Holds(election.LeaderKey) && c.store.Lease.IsValid()
}

// isReady: able to act for the service.
func (c *Controller) isReady() bool {
	return c.store.IsLoaded() && c.store.Lease.IsValid() && !c.store.IsUnavailable() && len(c.machineTypes) > 0
}

func (c *Controller) maintainOwnership() {
	if !c.store.IsLoaded() || !c.store.Lease.IsValid() {
		return
	}
	c.reclaimOwnKeys()
	now := c.env.Now()
	if now < c.nextClaimAt {
		return
	}
	// Who has just started lets the one that led before come back first.
	c.nextClaimAt = now + c.statusInterval()/2 + time.Duration(c.env.Rand().Int64N(int64(c.statusInterval())))
	switch leader := c.registry.OwnerOf(election.LeaderKey); {
	case leader == "":
		c.registry.Claim(election.LeaderKey, false)
	case leader != c.settings.Name && c.isAbsent(leader):
		slog.Info("node: the leader is absent", "leader", leader)
		c.registry.Claim(election.LeaderKey, true)
	}
}
