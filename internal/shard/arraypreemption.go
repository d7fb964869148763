package shard

import (
	"iter"
	"math"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// This file preempts lower-priority attempts for arrays that would otherwise miss their
// deadline. The reservation for the head of the queue is not enough: it only lets an array's first
// task start early, while the last one may start much later. In runs in which one user filled all
// machines with seven-minute tasks, one core became free every second, and arrays of 400 tasks got
// their cores one at a time. A third of the higher-priority jobs were late because of work that
// they were allowed to preempt.

const (
	// maxPreemptedShare is the maximum share of the shard's cores that is preempted in one pass.
	// If that is not enough, the next pass, about half a second later, preempts more.
	maxPreemptedShare = 1.0 / 8
	// estimateMargin multiplies the expected runtime of a task when its latest start is computed.
	// A task that overruns its expected runtime by up to this factor still meets the deadline.
	estimateMargin = 1.25
	// overrunDivisor determines the minimum time for which an attempt is expected to continue, even
	// if the attempt has already overrun its expected runtime. The minimum is the expected runtime
	// divided by overrunDivisor.
	overrunDivisor = 10
	// costBuckets is the number of equal steps from 0 to 1. The ratio of a victim's cost to its
	// gain is rounded to the nearest step. Victims with the same rounded ratio count as equally
	// expensive.
	costBuckets = 8
)

// occupiedSlot is an attempt that holds resources of a machine, with the specification of its job
// and its expected end.
type occupiedSlot struct {
	placement
	spec   *protocol.Job
	endsAt time.Duration
}

// machineSlots holds the occupied slots of one machine. Whether an array may use them depends on the
// machine only, and is looked up once for all of them.
type machineSlots struct {
	machine *Machine
	slots   []occupiedSlot
}

// arrayPreemption is the state of the search for attempts to preempt for late arrays. Each
// scheduling pass has its own.
type arrayPreemption struct {
	shard        *Shard
	now          time.Duration
	capacities   []*freeCapacity
	slots        []machineSlots // of the machines that have any
	bootingCores float64        // shard's share of the cores of booting machines
	bootSeconds  float64        // seconds until the booting machines are expected to be up
	coresLeft    float64        // cores that may still be preempted in this pass
}

// lateArray is an array that may miss its deadline.
type lateArray struct {
	job         *QueuedJob
	runtime     time.Duration     // expected runtime of each task
	latestStart time.Duration     // time by which the last task must start to meet the deadline
	eligible    map[*Machine]bool // machines whose capacity the array may use, see eligibleMachines
}

// preemptForArrays goes through the waiting arrays in queue order. For each it estimates the
// capacity that is free or becomes free before the array's latest start. If that capacity is too
// small for the array and the arrays ahead of it, it preempts lower-priority attempts.
func (s *Shard) preemptForArrays(queue []*QueuedJob, capacities []*freeCapacity, now time.Duration) {
	lowest := s.lowestPreemptiblePriority()
	var search *arrayPreemption
	demand := 0.0 // core-seconds that the array and the arrays ahead of it need
	for _, job := range queue {
		if !job.isWaitingArray() {
			continue
		}
		spec := &job.Record.Job
		runtime := s.expectedRuntime(spec)
		demand += float64(job.idleTasks) * spec.Cores * runtime.Seconds()
		latestStart, ok := s.latestStart(job, now)
		if spec.Priority <= lowest || !ok {
			continue
		}
		if search == nil {
			search = s.newArrayPreemption(capacities, now)
		}
		if search.isExhausted() {
			return
		}
		search.coverShortage(&lateArray{
			job:         job,
			runtime:     runtime,
			latestStart: latestStart,
			eligible:    s.eligibleMachines(job, capacities, now),
		}, demand)
	}
}

// isWaitingArray reports whether the job is an array with idle tasks for which tasks of other
// jobs may be preempted.
func (q *QueuedJob) isWaitingArray() bool {
	if q.idleTasks == 0 || q.finishing || q.suspect {
		return false
	}
	return !q.isGang() && !q.isService() && !q.isHosted()
}

// lowestPreemptiblePriority returns the lowest priority of the placed jobs that may be
// preempted for arrays.
func (s *Shard) lowestPreemptiblePriority() int {
	lowest := math.MaxInt
	for _, job := range s.jobsByID() {
		if job.placedTasks > 0 && !job.isGang() && !job.isService() && !job.isHosted() {
			lowest = min(lowest, job.Record.Job.Priority)
		}
	}
	return lowest
}

// latestStart returns the time by which the last task of an array must start to meet the
// earliest deadline that can still be met, or false if there is no such deadline.
func (s *Shard) latestStart(job *QueuedJob, now time.Duration) (time.Duration, bool) {
	spec := &job.Record.Job
	age := s.ageOf(job)
	runtime := s.expectedRuntime(spec).Seconds()
	for _, deadline := range s.controller.Deadlines(spec) {
		if slack := deadline - age - estimateMargin*runtime; slack > 0 {
			return now + env.Seconds(slack), true
		}
	}
	return 0, false
}

// eligibleMachines returns the machines on which an array may use capacity that is free or
// becomes free. It leaves out:
//   - machines that cannot run the array, or that it avoids after failures,
//   - machines with a task of a job that may not run on spot machines,
//   - machines on which the array would delay the head of the queue,
//   - machines that are kept as headroom for large jobs.
//
// The array may not start on machines of the last two groups. If tasks were preempted there, they
// would start again and be preempted again. This led to 16,800 useless preemptions in three minutes
// of a run in which machines booted late.
func (s *Shard) eligibleMachines(job *QueuedJob, capacities []*freeCapacity, now time.Duration) map[*Machine]bool {
	spec := &job.Record.Job
	eligible := make(map[*Machine]bool, len(capacities))
	for _, free := range capacities {
		if free.hasNonSpotJob || now < job.avoidUntil[free.machine.ID] {
			continue
		}
		if !s.canRunOn(free.machine, spec) || !s.canBackfill(free, spec, now) {
			continue
		}
		reclaimed := free.afterReclaim()
		eligible[free.machine] = !s.headroomBlocks(&reclaimed, job, now)
	}
	return eligible
}

// expectedEnd returns the time at which an attempt is expected to release its resources: at the
// end of its expected runtime or, if it is being stopped, after the time to save a checkpoint.
// Because attempts may overrun their expected runtime (DESIGN, weak spots), the result is not earlier
// than now plus a tenth of that runtime.
func (s *Shard) expectedEnd(attempt *agent.Attempt, spec *protocol.Job, now time.Duration) time.Duration {
	runtime := s.expectedRuntime(spec)
	end := max(attempt.StartedAt, attempt.PlacedAt) + runtime
	if attempt.StopRequested {
		end = now + env.Seconds(spec.CheckpointDuration)
	}
	return max(end, now+runtime/overrunDivisor)
}

// newArrayPreemption starts the search of a pass. It collects the attempts on the machines that
// arrays may use, and the capacity of booting machines.
func (s *Shard) newArrayPreemption(capacities []*freeCapacity, now time.Duration) *arrayPreemption {
	search := &arrayPreemption{shard: s, now: now, capacities: capacities}
	for _, free := range capacities {
		search.coresLeft += free.machineType.Cores * maxPreemptedShare
		if !free.hasNonSpotJob {
			search.addSlots(free.machine)
		}
	}
	search.bootingCores, search.bootSeconds = s.controller.BootingCores()
	return search
}

// addSlots adds the unfinished attempts on a machine, with their expected ends.
func (a *arrayPreemption) addSlots(machine *Machine) {
	var slots []occupiedSlot
	for attempt := range machine.AllAttempts() {
		job := a.shard.Jobs[attempt.Job]
		if job == nil || attempt.HasEnded() {
			continue
		}
		spec := &job.Record.Job
		slots = append(slots, occupiedSlot{
			placement: placement{machine, attempt},
			spec:      spec,
			endsAt:    a.shard.expectedEnd(attempt, spec, a.now),
		})
	}
	if len(slots) > 0 {
		a.slots = append(a.slots, machineSlots{machine, slots})
	}
}

// eligibleSlots iterates over the slots on the machines whose capacity an array may use.
func (a *arrayPreemption) eligibleSlots(array *lateArray) iter.Seq[*occupiedSlot] {
	return func(yield func(*occupiedSlot) bool) {
		for i := range a.slots {
			onMachine := &a.slots[i]
			if !array.eligible[onMachine.machine] {
				continue
			}
			for k := range onMachine.slots {
				if !yield(&onMachine.slots[k]) {
					return
				}
			}
		}
	}
}

// isExhausted reports whether nothing more may be preempted in this pass.
func (a *arrayPreemption) isExhausted() bool { return len(a.slots) == 0 || a.coresLeft <= 0 }

// coverShortage preempts attempts for an array if the expected supply of core-seconds is below the
// demand. demand is the sum of the core-seconds that the array and the arrays ahead of it need.
func (a *arrayPreemption) coverShortage(array *lateArray, demand float64) {
	shortage := demand - a.bootingSupply(array) - a.expectedSupply(array)
	if shortage > 0 {
		a.coresLeft -= a.preemptFor(array, shortage)
	}
}

// bootingSupply returns the core-seconds that booting machines will supply for an array up to
// its latest start, plus half of a task's runtime on each core (see expectedSupply).
func (a *arrayPreemption) bootingSupply(array *lateArray) float64 {
	untilStart := (array.latestStart - a.now).Seconds()
	return a.bootingCores * max(0, untilStart-a.bootSeconds+array.runtime.Seconds()/2)
}

// expectedSupply returns the core-seconds that running machines will supply for an array up to its
// latest start. For each core it adds half of a task's runtime, because the last task that starts
// on the core may still run after the latest start.
func (a *arrayPreemption) expectedSupply(array *lateArray) float64 {
	spec := &array.job.Record.Job
	lastTaskSeconds := array.runtime.Seconds() / 2
	supply := 0.0
	for _, free := range a.capacities {
		if !array.eligible[free.machine] {
			continue
		}
		tasks := free.countFitting(spec, array.job.idleTasks)
		supply += float64(tasks) * spec.Cores * ((array.latestStart - a.now).Seconds() + lastTaskSeconds)
	}
	for slot := range a.eligibleSlots(array) {
		if slot.endsAt < array.latestStart {
			supply += slot.spec.Cores * ((array.latestStart - slot.endsAt).Seconds() + lastTaskSeconds)
		}
	}
	return supply
}
