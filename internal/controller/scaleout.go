package controller

import (
	"curlewspool/internal/autoscaler"
	"curlewspool/internal/env"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file collects the demand and capacity of the cluster for the autoscaler.

// scaleOut makes the leader's autoscaler rent machines for unmet demand and delete retiring
// machines.
func (c *Controller) scaleOut() {
	if len(c.machineTypes) == 0 {
		return
	}
	statuses := c.members.liveStatuses()
	arrivingCores := func(priority int) float64 {
		return c.arrivals.CoresAbovePriority(priority, env.Seconds(c.WallSeconds()))
	}
	state := &autoscaler.ClusterState{
		MachineTypes:  c.machineTypes,
		Machines:      c.knownMachines(),
		Retiring:      retiringMachines(statuses),
		Unplaced:      c.unplacedWork(statuses),
		Running:       c.runningLoad(statuses),
		ExpectedCores: arrivingCores,
	}
	c.autoscaler.Reconcile(state, autoscaler.Callbacks{Listed: c.recordInitialMachines, Deleted: c.removeMachines})
	c.scheduleRosterWrite()
}

// unplacedWork returns the queued work for which shards report no capacity.
func (c *Controller) unplacedWork(statuses []*peermsg.Status) []autoscaler.UnplacedWork {
	var work []autoscaler.UnplacedWork
	for _, status := range statuses {
		for _, demand := range status.UnmetDemands {
			record := c.jobs[demand.Job]
			if record == nil {
				continue
			}
			record = c.WithInherited(record)
			work = append(work, autoscaler.UnplacedWork{
				Job:                  &record.Job,
				Tasks:                int(demand.Tasks),
				WaitedSeconds:        c.WallSeconds() - record.AcceptedAt,
				StartsInSeconds:      demand.ExpectedStartS,
				DeadlineSeconds:      c.Deadlines(&record.Job),
				StartableTasksByZone: c.startableTasksByZone(status, demand, &record.Job),
			})
		}
	}
	return work
}

// startableTasksByZone counts, by zone, the tasks of a gang that fit into the free capacity of its
// shard, according to the owner's status. It returns nil unless the job is a gang that must be in
// one zone or be spread over zones.
func (c *Controller) startableTasksByZone(status *peermsg.Status, demand *peermsg.UnmetDemand, job *protocol.Job) map[string]int {
	if job.Shape != protocol.ShapeGang || !job.SingleZone && !job.SpreadZones {
		return nil
	}
	free := map[string]int{}
	for _, reported := range status.Shards {
		if reported.Shard != demand.Shard {
			continue
		}
		for _, capacity := range reported.FreeCapacity {
			free[capacity.Zone] += shard.CountFitting(c, job, capacity, false)
		}
	}
	return free
}

// knownMachines returns all machines with a record, in the order of their IDs.
func (c *Controller) knownMachines() []autoscaler.KnownMachine {
	var known []autoscaler.KnownMachine
	for _, id := range sortedKeys(c.machines) {
		known = append(known, autoscaler.KnownMachine{ID: id, Record: c.machines[id]})
	}
	return known
}

// retiringMachines returns the machines that shards have marked for deletion.
func retiringMachines(statuses []*peermsg.Status) map[string]bool {
	retiring := map[string]bool{}
	for reported := range shardStatuses(statuses) {
		for _, id := range reported.RetiringMachines {
			retiring[id] = true
		}
	}
	return retiring
}

// runningLoad returns the load of this cluster's own running jobs. Hosted jobs do not count, as no
// machine is rented or kept for them.
func (c *Controller) runningLoad(statuses []*peermsg.Status) autoscaler.RunningLoad {
	var load autoscaler.RunningLoad
	for reported := range shardStatuses(statuses) {
		load.UnreachableCores += reported.UnreachableCores
	}
	for id, record := range c.jobs {
		if record.RemoteLease != nil {
			continue
		}
		job := &record.Job
		cores := float64(c.JobProgress(id).Running) * max(job.Cores, job.GPUs)
		if job.AllowSpot {
			load.SpotCoreSeconds += cores * job.Estimate / 2
		} else {
			load.OnDemandCores += cores
		}
	}
	return load
}
