package shard

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
)

// Schedule starts what can be started: the head and everything that does not
// delay it.
func (s *Shard) Schedule() {
	now := s.controller.Now()
	s.lastPassAt, s.needsPass = now, false
	if !s.controller.CanLaunch() {
		return
	}
	queue := s.rankedQueue(now)
	capacities := s.freeCapacities(now)
	s.headJob = nil
	defer func() {
		for _, machine := range s.Machines {
			machine.reservation = nil
		}
		for _, free := range capacities {
			if free.isReserved {
				free.machine.reservation = free
			}
		}
	}()
	for _, job := range queue {
		spec := &job.Record.Job
		isPlaced := s.startTasks(job, capacities, now)
		if isPlaced || s.headJob != nil || job.suspect {
			continue
		}
		if job.isBorrowed() {
			job.waitReason = "borrowed: starts in room that nothing of this cluster waits for"
			continue
		}
		// The head: reserve what it needs at the earliest time.
		s.headJob = job
		job.waitReason = "is the head and waits for room"
		if cores, gpus := s.remainingTeamQuota(spec.Team); cores < spec.Cores || gpus < spec.GPUs {
			job.waitReason, s.headJob = "its team's limit is reached", nil
			continue
		}
		if !s.reserveForHead(job, capacities, now) {
			s.headJob = nil // no machine here can ever take it
			job.waitReason = "no machine of this part can take it"
		}
	}
	s.preemptForArrays(queue, capacities, now)
}

// scheduleOnMachine starts on one machine what may start there, in order and without
// delaying the head of the last pass. A gang is left to the next pass.
func (s *Shard) scheduleOnMachine(machine *Machine) {
	now := s.controller.Now()
	free := s.freeCapacityOf(machine, now)
	if free == nil || free.cores <= epsilon || !s.controller.CanLaunch() {
		return
	}
	remaining := *free
	if machine.reservation != nil {
		remaining.isReserved, remaining.reservedFrom = true, machine.reservation.reservedFrom
		remaining.spareCores, remaining.spareGPUs, remaining.spareMemory = machine.reservation.spareCores, machine.reservation.spareGPUs, machine.reservation.spareMemory
	}
	capacities := []*freeCapacity{&remaining}
	for _, job := range s.rankedQueue(now) {
		if remaining.cores <= epsilon {
			return
		}
		if job.Record.Job.Tasks > 1 && (job.isGang() || job.Record.Job.SingleZone) {
			if s.headJob == nil {
				return // it may be the head: the next pass tells
			}
			continue
		}
		isReserved := remaining.isReserved
		remaining.isReserved = isReserved && job != s.headJob
		s.startTasks(job, capacities, now)
		remaining.isReserved = isReserved
	}
}

// startTasks starts as much of w as fits; true if nothing of it is left waiting.
func (s *Shard) startTasks(job *QueuedJob, capacities []*freeCapacity, now time.Duration) bool {
	spec := &job.Record.Job
	wanted := job.idleTasks
	quotaCores, quotaGPUs := s.remainingTeamQuota(spec.Team)
	if spec.Cores > 0 {
		wanted = int(min(float64(wanted), math.Floor(quotaCores/spec.Cores+epsilon)))
	}
	if spec.GPUs > 0 {
		wanted = int(min(float64(wanted), math.Floor(quotaGPUs/spec.GPUs+epsilon)))
	}
	if job.suspect && !job.isGang() {
		wanted = min(wanted, 1)
	}
	if wanted <= 0 || job.isGang() && wanted < spec.Tasks {
		job.waitReason = "its team's limit is reached"
		return false
	}
	fits := make([]*freeCapacity, 0, len(capacities))
	total := 0
	for _, free := range capacities {
		if free.fits(spec) && !s.unfitForGang(free.machine, job, now) && now >= job.avoidUntil[free.machine.ID] && s.canRunOn(free.machine, spec) && s.canBackfill(free, spec, now) && !s.headroomBlocks(free, job, now) {
			fits = append(fits, free)
			total++
		}
	}
	if total == 0 {
		job.waitReason = "no room"
		return false
	}
	for _, free := range fits {
		free.placementCost = s.placementCost(free, spec)
	}
	sort.SliceStable(fits, func(a, b int) bool { return fits[a].placementCost < fits[b].placementCost })
	plan := s.planPlacement(job, fits, wanted, now)
	if len(plan) == 0 || job.isGang() && len(plan) < spec.Tasks {
		job.waitReason = "no room for the whole gang"
		return false
	}
	if job.isGang() || job.gangAttempt == 0 {
		s.attemptCounter++
		job.gangAttempt = s.FencingToken<<20 + s.attemptCounter
	}
	if s.lateStartBoost(job, s.controller.WallSeconds()-job.Record.AcceptedAt) > 0 {
		job.protectedUntil = now + env.Seconds(s.controller.Settings().Score.Begin/8) + s.imageFetchTime(plan[0], spec)
	}
	job.lastStartedAt = now
	for k, i := range job.nextIdleTasks(s.ID, len(plan)) {
		free := plan[k]
		task := agent.TaskID{Job: spec.ID, Index: i}
		s.attemptCounter++
		try := job.gangAttempt
		if !job.isGang() {
			try = s.FencingToken<<20 + s.attemptCounter
		}
		needsRecord := !job.recordCovers(free.machine.ID)
		attempt := free.machine.Place(task, try, needsRecord, now)
		attempt.Permit = job.permit
		job.placements[task] = &placement{free.machine, attempt}
		job.setTaskState(i, taskPlaced)
		job.hasHeldAttempts = job.hasHeldAttempts || needsRecord
	}
	if job.hasHeldAttempts && !job.uncertain {
		s.queueProgressWrite(job, kvstore.PriorityNormal)
	}
	for _, free := range plan {
		s.sendOrdersIfDue(free.machine)
	}
	slog.Debug("part: starts", "part", s.ID, "job", spec.ID, "tasks", len(plan), "left", job.idleTasks)
	job.waitReason = "no room for more"
	return job.idleTasks == 0
}

// planPlacement chooses a room for each of up to n tasks, observing together and
// apart. Rooms given are taken from.
func (s *Shard) planPlacement(job *QueuedJob, fits []*freeCapacity, wanted int, now time.Duration) []*freeCapacity {
	spec := &job.Record.Job
	inZone := map[string]int{}
	zone := ""
	if spec.SingleZone || spec.SpreadZones {
		for _, pl := range job.placements {
			inZone[pl.machine.Zone]++
			zone = pl.machine.Zone
		}
	}
	try := func(only string) (plan []*freeCapacity, undo func()) {
		count := map[string]int{}
		for z, c := range inZone {
			count[z] = c
		}
		for _, free := range fits {
			if only != "" && free.machine.Zone != only {
				continue
			}
			one := free.machine.suspect // see fault.go
			for k := 0; len(plan) < wanted && !(one && k > 0) && free.fits(spec) && s.canBackfill(free, spec, now) && !s.headroomBlocks(free, job, now); k++ {
				if spec.SpreadZones && count[free.machine.Zone] >= MaxPerZone(spec) {
					break
				}
				count[free.machine.Zone]++
				free.subtract(spec)
				free.spareCores -= spec.Cores
				free.spareGPUs -= spec.GPUs
				free.spareMemory -= spec.MemoryGB
				plan = append(plan, free)
			}
		}
		return plan, func() {
			for _, free := range plan {
				free.cores += spec.Cores
				free.gpus += spec.GPUs
				free.memory += spec.MemoryGB
				free.spareCores += spec.Cores
				free.spareGPUs += spec.GPUs
				free.spareMemory += spec.MemoryGB
			}
		}
	}
	if !spec.SingleZone {
		plan, undo := try("")
		if job.isGang() && len(plan) < wanted {
			undo()
			return nil
		}
		return plan
	}
	zones := []string{zone}
	if zone == "" {
		zones = zones[:0]
		for _, free := range fits {
			if !contains(zones, free.machine.Zone) {
				zones = append(zones, free.machine.Zone)
			}
		}
	}
	best, size := "", 0
	for _, z := range zones {
		plan, undo := try(z)
		undo()
		if len(plan) > size {
			best, size = z, len(plan)
		}
	}
	if size == 0 || job.isGang() && size < wanted {
		return nil
	}
	plan, _ := try(best)
	return plan
}

// canBackfill tells whether a start on r does not delay the head.
func (s *Shard) canBackfill(free *freeCapacity, spec *protocol.Job, now time.Duration) bool {
	if !free.isReserved {
		return true
	}
	if now+s.imageFetchTime(free, spec)+s.expectedRuntime(spec) <= free.reservedFrom {
		return true
	}
	return free.spareCores+epsilon >= spec.Cores && free.spareGPUs+epsilon >= spec.GPUs && free.spareMemory+epsilon >= spec.MemoryGB
}

func (s *Shard) imageFetchTime(free *freeCapacity, spec *protocol.Job) time.Duration {
	if free.machine.cachedImages[spec.Image] || free.machineType.FetchGBPerSecond <= 0 {
		return 0
	}
	return env.Seconds(spec.ImageGB / free.machineType.FetchGBPerSecond)
}
