package shard

import (
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// headroomBlocks reports whether a job may not start a task on a machine because the machine is
// kept as headroom for large jobs, or because it is an on-demand machine that is to become empty.
// Spot machines are not kept. Any other machine is kept for a recently seen large job if the large
// job could start there now, if necessary by preemption without loss of work. A small task may
// start there only if it leaves enough capacity for the large job, or if the large job can preempt
// the small task in time and without loss of work.
//
// A starved job (see isStarved) is never blocked. Otherwise the starved job would wait indefinitely
// if all machines were of the large job's size and the autoscaler considered them sufficient.
func (s *Shard) headroomBlocks(free *freeCapacity, job *QueuedJob, now time.Duration) bool {
	const bootTimeouts = 1
	if s.isStarved(job, free.machineType, bootTimeouts, now) {
		return false
	}
	return headroomBlocks(s.controller, free, &job.Record.Job)
}

// isStarved reports whether a job has waited in this shard for longer than a number of boot
// timeouts of the machine type, and none of its tasks has started in that time. A machine that was
// added for the job would have booted by then, or its boot would have timed out.
func (s *Shard) isStarved(job *QueuedJob, machineType *protocol.MachineType, bootTimeouts float64, now time.Duration) bool {
	waitLimit := env.Seconds(bootTimeouts * machineType.BootSeconds * s.controller.Settings().ScaleIn.BootTimeoutFactor)
	return now-max(job.queuedAt, job.lastStartedAt) > waitLimit
}

// headroomBlocks implements Shard.headroomBlocks for a job that is not starved.
func headroomBlocks(controller Controller, free *freeCapacity, spec *protocol.Job) bool {
	if free.machine.Spot {
		return false
	}
	if spec.AllowSpot && !free.machine.record.IsPermanent && controller.SpotSuffices() {
		return true // spot machines suffice, so this on-demand machine is to become empty and be removed
	}
	for _, largeJob := range controller.LargeJobs() {
		large := &largeJob.Job
		if !keepsHeadroom(controller, free, spec, &largeJob) {
			continue
		}
		if spec.Priority < large.Priority && spec.CheckpointInterval > 0 && yieldsInTime(controller.Settings(), free, spec, large) {
			continue
		}
		remaining := free.without(1, spec)
		if !remaining.fits(large) && free.fitsAfterReclaim(large) {
			return true
		}
	}
	return false
}

// keepsHeadroom reports whether a machine is kept for a large job, so that the given job may not
// use it. The machine is kept if all of these conditions are met:
//   - The large job may run on the machine and was seen recently.
//   - A task of the large job needs more than half of the machine's cores, and more than twice as
//     many cores as a task of the given job.
//   - The large job's priority is not lower than that of the given job.
func keepsHeadroom(controller Controller, free *freeCapacity, spec *protocol.Job, largeJob *LargeJob) bool {
	large := &largeJob.Job
	keepTime := largeJobRecencyFactor * idleKeepTime(controller, free.machine.record.IsPermanent, free.machineType)
	switch {
	case controller.Now()-largeJob.LastSeen > keepTime:
		return false
	case 2*large.Cores <= free.machineType.Cores || 2*spec.Cores >= large.Cores:
		return false
	case large.Priority < spec.Priority:
		return false
	}
	return CanRunOn(large, free.machineType, free.machine.Zone, free.machine.Spot)
}

// yieldsInTime reports whether a task that saves checkpoints can be preempted fast enough for a
// large job. The large job must still be able to fetch its image and to start within its
// service-level objective. Without this check, gangs that should start within 6 s waited 8 s,
// because tasks took 3 s to save their checkpoint.
func yieldsInTime(config *settings.Settings, free *freeCapacity, spec, large *protocol.Job) bool {
	wait := spec.CheckpointDuration + config.Deployment.Workers.Report
	if free.machineType.FetchGBPerSecond > 0 {
		wait += large.ImageGB / free.machineType.FetchGBPerSecond
	}
	for _, objective := range config.Deployment.Objectives {
		if objective.Kind == settings.ObjectiveWait && objective.Class == large.Class && wait > objective.Within {
			return false
		}
	}
	return true
}
