package shard

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// This file stops work of lower ranks for arrays that would be late otherwise. What
// an array's first task waits for says nothing of its last one: seen on days on which
// a guest filled all machines with tasks of seven minutes, where some core was always
// free within a second, arrays of 400 tasks got them one by one, and a third of the
// members' jobs was late behind work that anybody may stop.

// maxPreemptedShare bounds what is stopped at a time, as a share of a part's cores: the
// next pass, half a second later, sees what the first stops gave.
const maxPreemptedShare = 1.0 / 8

// occupiedSlot is what a run holds and when it gives it back.
type occupiedSlot struct {
	placement
	spec   *protocol.Job
	endsAt time.Duration
}

// preemptForArrays looks at the arrays that wait, in their order, and at all that ends
// before each must have started; what is lacking is taken from work of lower ranks.
func (s *Shard) preemptForArrays(queue []*QueuedJob, capacities []*freeCapacity, now time.Duration) {
	lowest := s.lowestPreemptibleRank()
	var slots []occupiedSlot
	demand := 0.0           // core-seconds of all before, and of this one
	preemptibleCores := 0.0 // cores that may yet be stopped in this pass
	bootingCores, bootSeconds := 0.0, 0.0
	for _, job := range queue {
		spec := &job.Record.Job
		if job.idleTasks == 0 || job.isGang() || job.isService() || job.isBorrowed() || job.finishing || job.suspect {
			continue
		}
		estimate := s.expectedRuntime(spec).Seconds()
		demand += float64(job.idleTasks) * spec.Cores * estimate
		latestStart, ok := s.latestStart(job, now)
		if spec.Priority <= lowest || !ok {
			continue
		}
		if slots == nil {
			slots = s.occupiedSlots(capacities, now)
			bootingCores, bootSeconds = s.controller.BootingCores()
			for _, free := range capacities {
				preemptibleCores += free.machineType.Cores * maxPreemptedShare
			}
		}
		if len(slots) == 0 || preemptibleCores <= 0 {
			return // nothing (more) may be stopped
		}
		open := s.openMachines(job, capacities, now)
		bootingSupply := bootingCores * max(0, (latestStart-now).Seconds()-bootSeconds+estimate/2)
		if shortage := demand - bootingSupply - s.expectedSupply(job, capacities, open, slots, now, latestStart); shortage > 0 {
			preemptibleCores -= s.preemptForArray(job, open, slots, shortage, preemptibleCores, now, latestStart)
		}
	}
}

// openMachines tells on which machines an array may have what others leave: not on those
// that are kept for a large job or reserved for the head. (What was stopped there
// made room only for more of the same: on a day of late boots 16,800 stops in three
// minutes, for nothing.)
func (s *Shard) openMachines(job *QueuedJob, capacities []*freeCapacity, now time.Duration) map[*Machine]bool {
	open := make(map[*Machine]bool, len(capacities))
	for _, free := range capacities {
		afterReclaim := free.afterReclaim()
		open[free.machine] = !free.hasNonSpotJob && now >= job.avoidUntil[free.machine.ID] && s.canRunOn(free.machine, &job.Record.Job) && s.canBackfill(free, &job.Record.Job, now) && !s.headroomBlocks(&afterReclaim, job, now)
	}
	return open
}

// lowestPreemptibleRank is the lowest rank of what may be stopped here.
func (s *Shard) lowestPreemptibleRank() int {
	lowest := math.MaxInt
	for _, job := range s.jobsByID() {
		if job.placedTasks > 0 && !job.isGang() && !job.isService() && !job.isBorrowed() {
			lowest = min(lowest, job.Record.Job.Priority)
		}
	}
	return lowest
}

// latestStart is when the last task of an array must have started for the first
// deadline that can still be met; a quarter of the estimate is for what estimates
// miss.
func (s *Shard) latestStart(job *QueuedJob, now time.Duration) (time.Duration, bool) {
	spec := &job.Record.Job
	age := s.controller.WallSeconds() - job.Record.AcceptedAt
	estimate := s.expectedRuntime(spec).Seconds()
	for _, deadline := range s.controller.Deadlines(spec) {
		if slack := deadline - age - 1.25*estimate; slack > 0 {
			return now + env.Seconds(slack), true
		}
	}
	return 0, false
}

// occupiedSlots lists what runs on machines that arrays may use, and until when.
func (s *Shard) occupiedSlots(capacities []*freeCapacity, now time.Duration) []occupiedSlot {
	var slots []occupiedSlot
	for _, free := range capacities {
		if free.hasNonSpotJob {
			continue
		}
		for attempt := range free.machine.AllAttempts() {
			if job := s.Jobs[attempt.Job]; job != nil && !attempt.HasEnded() {
				slots = append(slots, occupiedSlot{placement{free.machine, attempt}, &job.Record.Job, s.expectedEnd(attempt, &job.Record.Job, now)})
			}
		}
	}
	return slots
}

// expectedEnd is when a run is expected to give its room back. Overrunning its estimate
// (DESIGN's weak spot), it is expected to go on for a tenth of it.
func (s *Shard) expectedEnd(attempt *agent.Attempt, spec *protocol.Job, now time.Duration) time.Duration {
	estimate := s.expectedRuntime(spec)
	end := max(attempt.StartedAt, attempt.PlacedAt) + estimate
	if attempt.StopRequested {
		end = now + env.Seconds(spec.CheckpointDuration)
	}
	return max(end, now+estimate/10)
}

// expectedSupply is how many core-seconds there will be for the job up to a time on machines
// that are up, with one more start on each core at its end.
func (s *Shard) expectedSupply(job *QueuedJob, capacities []*freeCapacity, open map[*Machine]bool, slots []occupiedSlot, now, latestStart time.Duration) float64 {
	spec := &job.Record.Job
	last := s.expectedRuntime(spec).Seconds() / 2
	sum := 0.0
	for _, freeOnMachine := range capacities {
		if !open[freeOnMachine.machine] {
			continue
		}
		free := protocol.MachineType{Cores: freeOnMachine.cores, GPUs: freeOnMachine.gpus, MemoryGB: freeOnMachine.memory}
		sum += float64(free.TasksThatFit(spec, job.idleTasks)) * spec.Cores * ((latestStart - now).Seconds() + last)
	}
	for _, slot := range slots {
		if slot.endsAt < latestStart && open[slot.machine] {
			sum += slot.spec.Cores * ((latestStart - slot.endsAt).Seconds() + last)
		}
	}
	return sum
}

// preemptForArray stops runs of lower ranks until so many core-seconds are won, those first
// that lose least for what they give. It gives the cores it stopped.
func (s *Shard) preemptForArray(job *QueuedJob, open map[*Machine]bool, slots []occupiedSlot, shortage, maxCores float64, now, latestStart time.Duration) float64 {
	spec := &job.Record.Job
	type victim struct {
		occupiedSlot
		won, lost float64
	}
	var victims []victim
	for _, slot := range slots {
		if slot.spec.Priority >= spec.Priority || slot.attempt.StopRequested || slot.attempt.Orphaned || slot.spec.Shape != protocol.ShapeArray || !open[slot.machine] || s.isPreemptionProtected(s.Jobs[slot.attempt.Job], now) {
			continue
		}
		save := 0.0
		if slot.attempt.StartedAt > 0 && slot.spec.CheckpointInterval > 0 {
			save = slot.spec.CheckpointDuration
		}
		won := ((min(slot.endsAt, latestStart) - now).Seconds() - save) * slot.spec.Cores
		if lost := preemptionCost(slot.attempt, slot.spec, now); won > 0 && lost < won {
			victims = append(victims, victim{slot, won, lost})
		}
	}
	// Of those that lose about the same, the youngest job's: if each job loses some,
	// none of them ends. (A guest's jobs done were one of six instead of three.)
	sort.SliceStable(victims, func(a, b int) bool {
		if x, y := math.Round(8*victims[a].lost/victims[a].won), math.Round(8*victims[b].lost/victims[b].won); x != y {
			return x < y
		}
		return s.Jobs[victims[a].attempt.Job].Record.AcceptedAt > s.Jobs[victims[b].attempt.Job].Record.AcceptedAt
	})
	stopped, count := 0.0, 0
	for _, victim := range victims {
		if shortage <= 0 || stopped >= maxCores {
			break
		}
		s.stopAttempt(s.Jobs[victim.attempt.Job], &victim.placement, "preempted by "+spec.ID)
		shortage -= victim.won
		stopped += victim.spec.Cores
		count++
	}
	if count > 0 {
		slog.Info("part: room is made for an array", "part", s.ID, "job", spec.ID, "stopped", count, "cores", stopped, "short", max(0, shortage), "by", (latestStart - now).Seconds())
	}
	return stopped
}
