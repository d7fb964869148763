package controller

import (
	"fmt"
	"time"

	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file tracks recent large jobs, and whether enough machines are kept free for them.

// maxLargeJobShapes is the maximum number of entries in largeJobShapes.
const maxLargeJobShapes = 64

// largeJobShapes holds the recently seen shapes of large jobs, which are gangs and jobs of one
// task. The key is the shape: a job's class, zone, machine types and cores. The value is the latest
// job of that shape, with the number of tasks raised to the highest that was seen.
type largeJobShapes map[string]shard.LargeJob

// record adds or updates the shape of a job.
func (l largeJobShapes) record(job *protocol.Job, now time.Duration) {
	if len(l) >= maxLargeJobShapes {
		l.evictOldest()
	}
	key := fmt.Sprintf("%s/%s/%v/%v", job.Class, job.Zone, job.MachineTypes, job.Cores)
	large := shard.LargeJob{Job: *job, LastSeen: now}
	large.Job.Tasks = max(job.Tasks, l[key].Job.Tasks)
	l[key] = large
}

// evictOldest drops the least recently seen shape. Of several shapes that were last seen at the
// same time, it drops the first by key.
func (l largeJobShapes) evictOldest() {
	oldest := ""
	for _, key := range sortedKeys(l) {
		if oldest == "" || l[key].LastSeen < l[oldest].LastSeen {
			oldest = key
		}
	}
	delete(l, oldest)
}

// recordLargeJob records the shape of a job that is a gang or has one task, unless its priority is
// negative. Every controller sees all jobs, so all shards keep machines for the same shapes.
func (c *Controller) recordLargeJob(job *protocol.Job) {
	isLarge := job.Shape == protocol.ShapeGang || job.Tasks <= 1
	if isLarge && job.Priority >= 0 {
		c.largeJobShapes.record(job, c.env.Now())
	}
}

// LargeJobs returns the recently seen gangs and jobs of one task, by shape (see largeJobShapes).
func (c *Controller) LargeJobs() map[string]shard.LargeJob { return c.largeJobShapes }

// HasSpareFor reports whether the given machine need not be kept for a large job, because enough
// spare machines are available. A spare machine is a reclaimable machine of the same type; if the
// given machine is a spot machine, so are its spares, and otherwise none of them is. A machine is
// reclaimable if it is empty, or runs only tasks that the job may preempt without loss. Only spare
// machines with a lower ID than the given one count. If the job must run in one zone, only the
// spare machines of the zone that has most of them count. If the given machine is in a different
// zone, they count whatever their IDs.
func (c *Controller) HasSpareFor(machine *shard.Machine, job *protocol.Job) bool {
	machineType := c.machineTypes[machine.Type]
	if machineType == nil {
		return false
	}
	spares := c.countSpares(machine, job.SingleZone)
	needed := machineType.MachinesNeeded(job)
	if !job.SingleZone {
		return spares.withLowerID >= needed
	}
	if best := spares.largestZone(); best != machine.Zone {
		return spares.byZone[best] >= needed
	}
	return spares.withLowerID >= needed
}

// spareMachines counts the reclaimable machines that could be kept instead of a given one (see
// HasSpareFor).
type spareMachines struct {
	byZone      map[string]int // number of machines by zone, or all under the key "" if zones are not distinguished
	withLowerID int            // number of machines with a lower ID than the given one, and in its zone if zones are distinguished
}

// countSpares counts the machines that the shards report as reclaimable and that have the given
// machine's type. Spot machines count only if the given machine is one, and other machines only if
// it is not. With isByZone, the machines are counted by zone.
func (c *Controller) countSpares(machine *shard.Machine, isByZone bool) spareMachines {
	spares := spareMachines{byZone: map[string]int{}}
	for reported := range shardStatuses(c.members.liveStatuses()) {
		for _, free := range reported.FreeCapacity {
			if free.Reclaimable && free.Type == machine.Type && free.Spot == machine.Spot {
				spares.add(free, machine, isByZone)
			}
		}
	}
	return spares
}

func (s *spareMachines) add(free *peermsg.FreeCapacity, machine *shard.Machine, isByZone bool) {
	zone := ""
	if isByZone {
		zone = free.Zone
	}
	s.byZone[zone]++
	if free.Machine < machine.ID && (zone == "" || zone == machine.Zone) {
		s.withLowerID++
	}
}

// largestZone returns the zone with most machines. Of several zones with equally many machines, it
// returns the first by name.
func (s *spareMachines) largestZone() string {
	best := ""
	for _, zone := range sortedKeys(s.byZone) {
		if best == "" || s.byZone[zone] > s.byZone[best] {
			best = zone
		}
	}
	return best
}
