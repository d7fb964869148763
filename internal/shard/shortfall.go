package shard

import (
	"time"

	"curlewspool/internal/protocol"
)

// This file counts the tasks for which the shard lacks capacity.

// tasksNeededInShard returns how many of a job's tasks need capacity in this shard, whatever capacity
// other shards have. For a gang these are all tasks. For another job it is one task if the job's
// team has a limit, because such a job cannot leave the shard, and none otherwise. In seven of 600
// random scenarios a shard lost the last machine that could run jobs of a team with a limit, and no
// machine could be added. Without this rule, the jobs waited indefinitely although machines of other
// shards were idle.
func (s *Shard) tasksNeededInShard(spec *protocol.Job) int {
	if spec.Shape == protocol.ShapeGang {
		return spec.Tasks
	}
	if team := s.controller.Settings().Team(spec.Team); team != nil && team.Limited() {
		return 1
	}
	return 0
}

// missingTasks counts the tasks needed in this shard (see tasksNeededInShard) that would not fit on
// its usable machines even if these were empty. If tasks are missing, the leader has machines
// transferred to the shard.
func (s *Shard) missingTasks(job *QueuedJob, now time.Duration) int {
	spec := &job.Record.Job
	return s.shortfall(spec, func(machine *Machine) int {
		isUsable := !machine.isRetiring() && !machine.IsUnreachable() &&
			now-machine.LastHeartbeat <= maxMissedHeartbeats*s.reportInterval() && machine.transferUntil <= now
		if !isUsable || s.isUnfitForGang(machine, job, now) {
			return 0
		}
		return s.controller.MachineType(machine.Type).TasksThatFit(spec, spec.Tasks)
	})
}

// overdueTasks counts the tasks needed in this shard (see tasksNeededInShard) that have waited too
// long (see isStartOverdue) and for which no capacity is free. The tasks may fit on the shard's
// machines, but the machines may be in use for minutes. Tasks that wait because of their team's
// limit are not counted. For a stuck array (see isStuckArray) the result is 1. (In scenario visitors
// 525561969326 of the random search, a gang of three waited 416 s in a shard with five large
// machines, while later gangs started immediately in other shards.)
func (s *Shard) overdueTasks(job *QueuedJob, now time.Duration) int {
	if s.isStuckArray(job) {
		return 1
	}
	spec := &job.Record.Job
	if s.tasksNeededInShard(spec) == 0 || !s.isStartOverdue(job) {
		return 0
	}
	if !s.remainingTeamQuota(spec.Team).allowsTask(spec) {
		return 0
	}
	return s.shortfall(spec, func(machine *Machine) int {
		free := s.freeCapacityOf(machine, now)
		if free == nil || s.isUnfitForGang(machine, job, now) {
			return 0
		}
		return free.countFitting(spec, spec.Tasks)
	})
}

// isStartOverdue reports whether a job has not started for so long that its late-start boost has
// reached its maximum.
func (s *Shard) isStartOverdue(job *QueuedJob) bool {
	age := s.controller.WallSeconds() - job.Record.AcceptedAt
	return s.lateStartBoost(job, age) >= s.controller.Settings().Score.LateStartWeight
}

// isStuckArray reports whether tasks of an array have waited here for a long time while another of
// its tasks is placed here, so that the waiting tasks cannot move to a shard with free capacity.
// The array has waited for a long time if its age exceeds a quarter of the time within which jobs
// should start. For a stuck array the leader transfers an idle machine from a shard without waiting
// jobs. (In random scenario 10526, 16 tasks waited 114 s in a shard with one machine, while idle
// machines of other shards were removed.)
func (s *Shard) isStuckArray(job *QueuedJob) bool {
	spec := &job.Record.Job
	if spec.Shape != protocol.ShapeArray || spec.SpreadZones || s.tasksNeededInShard(spec) > 0 {
		return false
	}
	if job.placedTasks == 0 || job.idleTasks == 0 || job.suspect || job.isHosted() {
		return false
	}
	age := s.controller.WallSeconds() - job.Record.AcceptedAt
	return age > s.controller.Settings().Score.StartWithin/4
}

// shortfall counts the tasks needed in this shard (see tasksNeededInShard) that exceed the capacity
// of its machines. It takes into account how the job may be placed in zones (see MaxPlaceable).
// capacity returns the number of tasks that fit on a machine.
func (s *Shard) shortfall(spec *protocol.Job, capacity func(machine *Machine) int) int {
	needed := s.tasksNeededInShard(spec)
	if needed == 0 {
		return 0
	}
	byZone := map[string]int{}
	for _, machine := range s.machinesByID() {
		if s.canRunOn(machine, spec) {
			byZone[machine.Zone] += capacity(machine)
		}
	}
	return max(0, needed-MaxPlaceable(spec, byZone))
}

// MaxPlaceable returns how many tasks of a job can be placed together, given the number of tasks that
// fit in each zone. A single-zone job uses the zone in which the most tasks fit. A job that spreads
// over zones places at most MaxPerZone tasks in each zone. Without this limit, a gang that spreads
// over zones moved back and forth indefinitely between shards with one zone each, because each shard
// seemed to have enough capacity.
func MaxPlaceable(spec *protocol.Job, byZone map[string]int) int {
	sum, most := 0, 0
	for _, count := range byZone {
		most = max(most, count)
		if spec.SpreadZones {
			count = min(count, MaxPerZone(spec))
		}
		sum += count
	}
	if spec.SingleZone {
		return most
	}
	return sum
}

// MaxPerZone returns the maximum number of tasks in one zone for a job that spreads over zones.
func MaxPerZone(spec *protocol.Job) int { return (spec.Tasks + 1) / 2 }
