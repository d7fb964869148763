package controller

import (
	"time"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/shard"
)

// statusRound sends this controller's status to the others, once in each status interval,
// and does the leader's periodic work.
func (c *Controller) statusRound() {
	now := c.env.Now()
	c.publishLiveness(now)
	// This precedes newStatus: if this controller releases a shard because agents do not reach
	// it, the status must say so. Otherwise the shard could be assigned to it again.
	c.releaseUnreachableShards()
	status := c.newStatus(now)
	c.accountCost(now)
	c.placement.updateQueues(status)
	c.members.ownStatus = status
	if c.IsLeader() {
		c.assignShards()
		c.scaleOut()
		c.transferMachines()
	}
	if c.IsLeader() { // checked again: the calls above may have found that leadership is lost
		status.SpotSuffices = c.autoscaler.SpotSuffices()
		status.BootingCores, status.BootRemainingS = c.autoscaler.BootingCapacity()
	}
	c.moveChunks()
	if c.federation != nil {
		c.federation.Tick()
	}
	// The status is sent last, because moveChunks subtracts from it the capacity that moved chunks
	// take.
	c.broadcastStatus(status)
	c.env.After(c.statusInterval(), c.statusRound)
}

// newStatus describes this controller and the shards that it owns.
func (c *Controller) newStatus(now time.Duration) *peermsg.Status {
	status := &peermsg.Status{
		Version:             peermsg.Version,
		Ready:               c.isReady(),
		ReachabilityReports: c.countMisdirectedReports(now),
		Unreachable:         c.reachability.isUnreachable,
	}
	if answeredAt := c.store.Health().LastAnsweredAt; answeredAt > 0 {
		status.StoreAgeMs = max(1, uint32((now - answeredAt).Milliseconds()))
	}
	c.eachShard(func(owned *shard.Shard) {
		if c.ownedShard(owned.ID) == nil {
			return
		}
		shardStatus, unmetDemands := owned.Status(c.settings.Rank.Max)
		status.Shards = append(status.Shards, shardStatus)
		status.UnmetDemands = append(status.UnmetDemands, unmetDemands...)
	})
	return status
}

func (c *Controller) broadcastStatus(status *peermsg.Status) {
	for _, name := range c.members.names() {
		c.env.Send(name, &peermsg.Envelope{Body: &peermsg.Envelope_Status{Status: status}})
	}
}
