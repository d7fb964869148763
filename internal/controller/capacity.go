package controller

import (
	"log/slog"
	"time"

	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/shard"
)

// This file tells shards what the leader reports of the cluster's capacity, and counts what
// machines cost.

// costLogInterval is how often the costs since the start are logged.
const costLogInterval = time.Minute

// leaderStatus is the latest status of another controller that leads; nil: none is heard.
func (c *Controller) leaderStatus() *peermsg.Status {
	leader := c.registry.OwnerOf(election.LeaderKey)
	if member := c.peers[leader]; member != nil && c.isPeerAlive(leader) {
		return member.status
	}
	return nil
}

// SpotSuffices reports whether, as the leader says, spot jobs are in time without on-demand
// machines that were rented.
func (c *Controller) SpotSuffices() bool {
	if c.isLeader() {
		return c.autoscaler.HasOnDemandSurplus()
	}
	status := c.leaderStatus()
	return status != nil && status.SpotSuffices
}

// BootingCores is the equal share that each shard may expect of the machines that boot, as
// the leader says, and in how many seconds.
func (c *Controller) BootingCores() (cores, inSeconds float64) {
	if c.isLeader() {
		cores, inSeconds = c.autoscaler.BootingCapacity()
	} else if status := c.leaderStatus(); status != nil {
		cores, inSeconds = status.BootingCores, status.BootRemainingS
	}
	return cores / float64(len(c.controllerNames)), inSeconds
}

// HasDemandFor reports whether some queued work of any shard could run on a machine;
// includeSpot: also work that a spot machine would do for.
func (c *Controller) HasDemandFor(machine *shard.Machine, includeSpot bool) bool {
	machineType := c.machineTypes[machine.Type]
	for _, status := range c.liveStatuses() {
		for _, demand := range status.UnmetDemands {
			record := c.jobs[demand.Job]
			if record == nil || record.Job.AllowSpot && !includeSpot {
				continue
			}
			if shard.CanRunOn(&record.Job, machineType, machine.Zone, machine.Spot) {
				return true
			}
		}
	}
	return false
}

// accountCost counts what this controller's machines, and for the leader those that boot,
// have cost since the last call. Machines that nobody owns meanwhile are not counted.
func (c *Controller) accountCost(now time.Duration) {
	elapsed := min(now-c.spentUpdatedAt, 4*c.statusInterval())
	c.spentUpdatedAt = now
	c.eachShard(func(s *shard.Shard) {
		if c.ownedShard(s.ID) != nil {
			s.AddCost(elapsed, c.spent)
		}
	})
	if c.isLeader() {
		c.autoscaler.AddBootCosts(elapsed, c.spent)
	}
	if now-c.spentLoggedAt >= costLogInterval {
		c.spentLoggedAt = now
		slog.Info("controller: machine cost", "by_cause", c.spent.String())
	}
}
