package controller

import (
	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/shard"
)

// This file gives the shards information about the capacity and demand of the whole cluster.

// leaderStatus returns the latest status of the leader, or nil if there is no live leader other
// than this controller.
func (c *Controller) leaderStatus() *peermsg.Status {
	leader := c.registry.OwnerOf(election.LeaderKey)
	if member := c.members.peers[leader]; member != nil && c.members.isAlive(leader) {
		return member.status
	}
	return nil
}

// SpotSuffices reports whether, according to the leader, spot jobs meet their deadlines without
// rented on-demand machines.
func (c *Controller) SpotSuffices() bool {
	if c.IsLeader() {
		return c.autoscaler.SpotSuffices()
	}
	status := c.leaderStatus()
	return status != nil && status.SpotSuffices
}

// BootingCores returns the cores of the booting machines that the leader knows, divided by the
// number of shards, and the number of seconds until these machines are up.
func (c *Controller) BootingCores() (cores, inSeconds float64) {
	if c.IsLeader() {
		cores, inSeconds = c.autoscaler.BootingCapacity()
	} else if status := c.leaderStatus(); status != nil {
		cores, inSeconds = status.BootingCores, status.BootRemainingS
	}
	return cores / float64(len(c.controllerNames)), inSeconds
}

// HasDemandFor reports whether a machine could run tasks of an unmet demand in any shard. Demands
// of jobs that may run on spot machines count only if includeSpot is set.
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
