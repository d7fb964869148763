package shard

import (
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// This file says which machines are kept for large jobs, and what a machine costs a
// task.

// headroomBlocks: a machine on which one of the large shapes seen lately could start now
// is not cut up for small tasks, but for what the large one would leave free,
// and for work that it may stop without loss.
//
// Not from work of which nothing has started for so long that a machine rented
// for it would have come or been given up: where all machines have the large
// shape's size, and those that are there seem enough to whoever rents, it would
// wait for ever.
func (s *Shard) headroomBlocks(free *freeCapacity, job *QueuedJob, now time.Duration) bool {
	return !s.isStarved(job, free.machineType, 1, now) && headroomBlocks(s.controller, free, &job.Record.Job)
}

// isStarved: nothing of the work has started here for some times the wait for a
// machine of the type.
func (s *Shard) isStarved(job *QueuedJob, machineType *protocol.MachineType, bootTimes float64, now time.Duration) bool {
	return now-max(job.queuedAt, job.lastStartedAt) > env.Seconds(bootTimes*machineType.BootSeconds*s.controller.Settings().Rent.LateBoots)
}

func headroomBlocks(host Controller, free *freeCapacity, spec *protocol.Job) bool {
	if free.machine.Spot {
		return false
	}
	if spec.AllowSpot && !free.machine.record.Owned && host.SpotSuffices() {
		return true // it is to become empty, and to be returned
	}
	for _, shape := range host.LargeJobs() {
		large := &shape.Job
		if host.Now()-shape.LastSeen > largeJobKeepFactor*idleKeepTime(host, free.machine.record.Owned, free.machineType) || 2*large.Cores <= free.machineType.Cores || 2*spec.Cores >= large.Cores || large.Priority < spec.Priority || !CanRunOn(large, free.machineType, free.machine.Zone, free.machine.Spot) {
			continue
		}
		if spec.Priority < large.Priority && spec.CheckpointInterval > 0 && yieldsInTime(host, free, spec, large) {
			continue
		}
		after := *free
		after.subtract(spec)
		if !after.fits(large) && free.fitsAfterReclaim(large) {
			return true
		}
	}
	return false
}

// yieldsInTime: work that saves is off a machine in time for a large job that comes
// then to have its image and to start as it is expected to. (Guests' tasks that take
// 3 s to save had gangs wait 8 s that are expected to start within 6.)
func yieldsInTime(host Controller, free *freeCapacity, spec, large *protocol.Job) bool {
	settings := host.Settings()
	wait := spec.CheckpointDuration + settings.Deployment.Workers.Report
	if free.machineType.FetchGBPerSecond > 0 {
		wait += large.ImageGB / free.machineType.FetchGBPerSecond
	}
	for _, objective := range settings.Deployment.Objectives {
		if objective.Kind == "wait" && objective.Class == large.Class && wait > objective.Within {
			return false
		}
	}
	return true
}

// fitsAfterReclaim tells whether l could start now, or could once what it may stop
// without loss is stopped.
func (f *freeCapacity) fitsAfterReclaim(large *protocol.Job) bool {
	free := f.afterReclaim()
	return free.fits(large)
}

// afterReclaim is the room once what may be stopped without loss is.
func (f *freeCapacity) afterReclaim() freeCapacity {
	free := *f
	free.cores, free.gpus, free.memory = f.cores+f.reclaimableCores, f.gpus+f.reclaimableGPUs, f.memory+f.reclaimableMemory
	free.reclaimableCores, free.reclaimableGPUs, free.reclaimableMemory = 0, 0, 0
	return free
}

// spotLossShare is the share of a run that is reckoned as lost with spot machines
// for work that saves nothing: enough to choose an ordinary machine that is
// there anyway, not one that could be returned.
const spotLossShare = 0.1

// placementCost orders the machines for a task, in seconds: the fetch it would wait
// for, and small leanings to spot machines, to small ones and to ones that
// are in use already.
func (s *Shard) placementCost(free *freeCapacity, spec *protocol.Job) float64 {
	cost := s.imageFetchTime(free, spec).Seconds()
	report := s.controller.Settings().Deployment.Workers.Report
	switch {
	case !spec.AllowSpot:
	case !free.machine.Spot && !free.machine.record.Owned:
		cost += 5 * report // a rented one in use for it cannot be returned
	case free.machine.Spot && spec.CheckpointInterval <= 0:
		cost += spotLossShare * spec.Estimate // all its work is lost if the machine is taken
	}
	if free.cores >= free.machineType.Cores {
		cost += report
	}
	cost += report * free.cores / (free.machineType.Cores + 1)
	return cost + 0.01*free.machineType.Cores
}
