package controller

import (
	"log/slog"
	"time"

	"curlewspool/internal/shard"
)

// This file accounts for the cost of machines.

// costLogInterval is the interval at which the costs since the start are logged.
const costLogInterval = time.Minute

// machineCost is the cost of this controller's machines since it started.
type machineCost struct {
	byCause   shard.CostByCause
	updatedAt time.Duration
	loggedAt  time.Duration
}

// elapsed returns the time since the last call, or limit if that is shorter. A long pause of the
// process is therefore not counted in full.
func (m *machineCost) elapsed(now, limit time.Duration) time.Duration {
	elapsed := min(now-m.updatedAt, limit)
	m.updatedAt = now
	return elapsed
}

// logIfDue logs the cost if costLogInterval has passed since it was last logged.
func (m *machineCost) logIfDue(now time.Duration) {
	if now-m.loggedAt < costLogInterval {
		return
	}
	m.loggedAt = now
	slog.Info("controller: machine cost", "by_cause", m.byCause.String())
}

// accountCost adds the cost since its last call of the machines in the shards owned here. The
// leader also adds the cost of booting machines. No controller counts the machines of a shard
// without an owner.
func (c *Controller) accountCost(now time.Duration) {
	elapsed := c.cost.elapsed(now, 4*c.statusInterval())
	c.eachShard(func(s *shard.Shard) {
		if c.ownedShard(s.ID) != nil {
			s.AddCost(elapsed, c.cost.byCause)
		}
	})
	if c.IsLeader() {
		c.autoscaler.AddBootCosts(elapsed, c.cost.byCause)
	}
	c.cost.logIfDue(now)
}
