package controller

import (
	"fmt"
	"log/slog"
	"time"

	"curlewspool/internal/autoscaler"
	"curlewspool/internal/election"
	"curlewspool/internal/env"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file puts the leader's questions to the cloud together, and what parts hear of it.

// SpotSuffices tells what the leader says of ordinary machines that were rented:
// spot jobs do without them.
func (c *Controller) SpotSuffices() bool {
	if c.isLeader() {
		return c.autoscaler.HasOnDemandSurplus()
	}
	s := c.leaderStatus()
	return s != nil && s.SpotSuffices
}

// leaderStatus is the latest status of another controller that leads; nil: not heard.
func (c *Controller) leaderStatus() *peermsg.Status {
	leader := c.registry.OwnerOf(election.LeaderKey)
	if p := c.peers[leader]; p != nil && c.isPeerAlive(leader) {
		return p.status
	}
	return nil
}

// accountCost counts what this controller's machines, and as a leader those that boot, have
// cost since it was asked last. What nobody owns meanwhile is nobody's.
func (c *Controller) accountCost(now time.Duration) {
	elapsed := min(now-c.spentUpdatedAt, 4*c.statusInterval())
	c.spentUpdatedAt = now
	c.eachShard(func(p *shard.Shard) {
		if c.ownedShard(p.ID) != nil {
			p.AddCost(elapsed, c.spent)
		}
	})
	if c.isLeader() {
		c.autoscaler.AddBootCosts(elapsed, c.spent)
	}
	if now-c.spentLoggedAt >= time.Minute {
		c.spentLoggedAt = now
		slog.Info("node: spent", "by", c.spent.String())
	}
}

// BootingCores is what each part may expect of the machines that boot, as the leader says.
func (c *Controller) BootingCores() (cores, in float64) {
	if c.isLeader() {
		cores, in = c.autoscaler.BootingCapacity()
	} else if s := c.leaderStatus(); s != nil {
		cores, in = s.BootingCores, s.BootRemainingS
	}
	return cores / float64(len(c.controllerNames)), in
}

// HasDemandFor tells whether some queued work, of whatever part, could run on the machine; spot:
// also such as a spot machine would do.
func (c *Controller) HasDemandFor(machine *shard.Machine, spot bool) bool {
	for _, status := range c.liveStatuses() {
		for _, gap := range status.UnmetDemands {
			if record := c.jobs[gap.Job]; record != nil && (spot || !record.Job.AllowSpot) && shard.CanRunOn(&record.Job, c.machineTypes[machine.Type], machine.Zone, machine.Spot) {
				return true
			}
		}
	}
	return false
}

// noteLargeJob remembers the shapes for which machines are kept whole. Every
// controller sees all jobs, so all parts keep theirs.
func (c *Controller) noteLargeJob(job *protocol.Job) {
	if job.Shape != protocol.ShapeGang && job.Tasks > 1 || job.Priority < 0 {
		return
	}
	if len(c.largeShapes) >= 64 {
		oldest := ""
		for _, k := range sortedKeys(c.largeShapes) {
			if oldest == "" || c.largeShapes[k].LastSeen < c.largeShapes[oldest].LastSeen {
				oldest = k
			}
		}
		delete(c.largeShapes, oldest)
	}
	key := fmt.Sprintf("%s/%s/%v/%v", job.Class, job.Zone, job.MachineTypes, job.Cores)
	large := shard.LargeJob{Job: *job, LastSeen: c.env.Now()}
	large.Job.Tasks = max(job.Tasks, c.largeShapes[key].Job.Tasks) // of the largest one
	c.largeShapes[key] = large
}

// LargeJobs lists those shapes.
func (c *Controller) LargeJobs() map[string]shard.LargeJob { return c.largeShapes }

// HasSpareFor tells whether of the same type and kind as many whole machines as the job takes
// have lower names (empty, or with what the job may stop without loss), in the
// zone with most of them if it may only be in one.
func (c *Controller) HasSpareFor(machine *shard.Machine, job *protocol.Job) bool {
	machineType := c.machineTypes[machine.Type]
	if machineType == nil {
		return false
	}
	needed, count, before := machineType.MachinesNeeded(job), map[string]int{}, 0
	for _, status := range c.liveStatuses() {
		for _, p := range status.Shards {
			for _, room := range p.FreeCapacity {
				if !room.Reclaimable || room.Type != machine.Type || room.Spot != machine.Spot {
					continue
				}
				zone := ""
				if job.SingleZone {
					zone = room.Zone
				}
				count[zone]++
				if room.Machine < machine.ID && (zone == "" || zone == machine.Zone) {
					before++
				}
			}
		}
	}
	best := ""
	for _, z := range sortedKeys(count) {
		if best == "" || count[z] > count[best] {
			best = z
		}
	}
	if job.SingleZone && best != machine.Zone {
		return count[best] >= needed
	}
	return before >= needed
}

// freeTasksByZone counts, by zone, the tasks of a gang bound to zones that would start now in
// its part, of which s told.
func (c *Controller) freeTasksByZone(status *peermsg.Status, gap *peermsg.UnmetDemand, job *protocol.Job) map[string]int {
	if job.Shape != protocol.ShapeGang || !job.SingleZone && !job.SpreadZones {
		return nil
	}
	free := map[string]int{}
	for _, p := range status.Shards {
		if p.Shard == gap.Shard {
			for _, room := range p.FreeCapacity {
				free[room.Zone] += shard.CountFitting(c, job, room, false)
			}
		}
	}
	return free
}

func (c *Controller) scaleOut() {
	if len(c.machineTypes) == 0 {
		return
	}
	var gaps []autoscaler.UnplacedWork
	for _, s := range c.liveStatuses() {
		for _, g := range s.UnmetDemands {
			if rec := c.jobs[g.Job]; rec != nil {
				rec = c.WithInherited(rec)
				gaps = append(gaps, autoscaler.UnplacedWork{Job: &rec.Job, Tasks: int(g.Tasks), WaitedSeconds: c.WallSeconds() - rec.AcceptedAt, StartsInSeconds: g.ExpectedStartS, DeadlineSeconds: c.Deadlines(&rec.Job),
					FreeSlotsByZone: c.freeTasksByZone(s, g, &rec.Job)})
			}
		}
	}
	var known []autoscaler.KnownMachine
	for _, id := range sortedKeys(c.machines) {
		known = append(known, autoscaler.KnownMachine{ID: id, Record: c.machines[id]})
	}
	retiring := map[string]bool{}
	for _, s := range c.liveStatuses() {
		for _, p := range s.Shards {
			for _, id := range p.RetiringMachines {
				retiring[id] = true
			}
		}
	}
	var busy autoscaler.RunningLoad
	for _, s := range c.liveStatuses() {
		for _, p := range s.Shards {
			busy.UnreachableCores += p.UnreachableCores
		}
	}
	for id, rec := range c.jobs {
		if rec.Loan != nil {
			continue // nothing is rented, or kept, for it
		}
		_, running, _ := c.JobProgress(id)
		cores := float64(running) * max(rec.Job.Cores, rec.Job.GPUs)
		if rec.Job.AllowSpot {
			busy.SpotCoreSeconds += cores * rec.Job.Estimate / 2
		} else {
			busy.OnDemandCores += cores
		}
	}
	c.autoscaler.Reconcile(&autoscaler.ClusterState{
		MachineTypes:  c.machineTypes,
		Machines:      known,
		Retiring:      retiring,
		Unplaced:      gaps,
		Running:       busy,
		ExpectedCores: func(rank int) float64 { return c.arrivals.CoresAboveRank(rank, env.Seconds(c.WallSeconds())) },
	}, autoscaler.Callbacks{Listed: c.recordInitialMachines, Deleted: c.removeMachines})
	c.scheduleRosterWrite()
}
