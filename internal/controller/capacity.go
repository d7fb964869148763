package controller

import (
	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/shard"
)

// This file answers what shards ask of the capacity of the whole cluster.

// leaderStatus is the latest status of another controller that leads; nil if there is none or it is not alive.
func (c *Controller) leaderStatus() *peermsg.Status {
	leader := c.registry.OwnerOf(election.LeaderKey)
	if member := c.members.peers[leader]; member != nil && c.members.isAlive(leader) {
		return member.status
	}
	return nil
}

// SpotSuffices reports whether, as the leader says, spot jobs are in time without on-demand
// machines that were rented.
func (c *Controller) SpotSuffices() bool {
	if c.IsLeader() {
		return c.autoscaler.SpotSuffices()
	}
	status := c.leaderStatus()
	return status != nil && status.SpotSuffices
}

// BootingCores is the equal share that each shard may expect of the machines that boot, as
// the leader says, and in how many seconds.
func (c *Controller) BootingCores() (cores, inSeconds float64) {
	if c.IsLeader() {
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
	for demand := range unmetDemands(c.members.liveStatuses()) {
		record := c.jobs[demand.Job]
		if record == nil || record.Job.AllowSpot && !includeSpot {
			continue
		}
		if shard.CanRunOn(&record.Job, machineType, machine.Zone, machine.Spot) {
			return true
		}
	}
	return false
}
