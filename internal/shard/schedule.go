package shard

import "time"

// maxPassPlacements is the number of tasks after which a pass ends; the next pass goes on with the
// rest. It bounds the time for which a pass keeps the event loop. The last job of a pass may exceed it
// if it is a gang, whose tasks start together.
const maxPassPlacements = 10_000

// Schedule runs a scheduling pass. It starts jobs in queue order. The first job that cannot start
// completely becomes the head of the queue, for which capacity is reserved. Later jobs start only if
// they do not delay the head (EASY backfilling; paper, section 4, "Local-Scheduler"). At the end of
// the pass, attempts are preempted for arrays that would be late. The parts of a pass are in these
// files:
//   - queue order and quotas: queue.go, score.go, quota.go
//   - free capacity and placement: freecapacity.go, placement.go
//   - reservations for the head, headroom for large jobs: reservation.go, backfill.go,
//     headroom.go
//   - preemption: preemption.go, arraypreemption.go
//   - suspect jobs and machines: suspects.go
func (s *Shard) Schedule() {
	now := s.controller.Now()
	s.lastPassAt, s.needsPass = now, false
	if !s.controller.CanLaunch() {
		return
	}
	queue := s.queueByScore(now)
	capacities := s.freeCapacities(now)
	s.headJob = nil
	s.passPlacements = maxPassPlacements
	for _, job := range queue {
		isPlaced := s.startTasks(job, capacities, now)
		if s.passPlacements <= 0 {
			s.needsPass = true
			s.publishReservations(capacities)
			return
		}
		if isPlaced || s.headJob != nil || job.suspect {
			continue
		}
		if job.isHosted() {
			job.waitReason = waitHosted
			continue
		}
		s.makeHead(job, capacities, now)
	}
	s.preemptForArrays(queue, capacities, now)
	s.publishReservations(capacities)
}

// makeHead makes a job, which cannot start completely now, the head of the queue, and reserves
// capacity for it. If the quota of the job's team is used up, or if the shard's machines can never run
// the job, makeHead only sets the job's wait reason.
func (s *Shard) makeHead(job *QueuedJob, capacities []*freeCapacity, now time.Duration) {
	spec := &job.Record.Job
	if !s.remainingTeamQuota(spec.Team).allowsTask(spec) {
		job.waitReason = waitTeamLimit
		return
	}
	s.headJob = job
	job.waitReason = waitHead
	if !s.reserveForHead(job, capacities, now) {
		s.headJob = nil
		job.waitReason = waitNoSuitableMachine
	}
}

// publishReservations stores on each machine what the pass has reserved for the head, so that
// scheduleOnMachine respects it until the next pass.
func (s *Shard) publishReservations(capacities []*freeCapacity) {
	for _, machine := range s.Machines {
		machine.reservation = nil
	}
	for _, free := range capacities {
		if free.isReserved {
			free.machine.reservation = free
		}
	}
}

// scheduleOnMachine starts tasks on one machine between passes, in queue order. It does not delay
// the job that the last pass made the head. Jobs whose tasks must be placed together wait for the
// next pass.
func (s *Shard) scheduleOnMachine(machine *Machine) {
	now := s.controller.Now()
	free := s.freeCapacityOf(machine, now)
	if free == nil || free.cores <= epsilon || !s.controller.CanLaunch() {
		return
	}
	remaining := *free
	if reservation := machine.reservation; reservation != nil {
		remaining.reserve(reservation.reservedFrom, reservation.unreserved)
	}
	s.passPlacements = maxPassPlacements
	isReserved := remaining.isReserved
	capacities := []*freeCapacity{&remaining}
	for _, job := range s.queueByScore(now) {
		if remaining.cores <= epsilon {
			return
		}
		if job.needsWholePass() {
			if s.headJob == nil {
				return // the next pass may make this job the head of the queue
			}
			continue
		}
		remaining.isReserved = isReserved && job != s.headJob
		s.startTasks(job, capacities, now)
	}
}

// needsWholePass reports whether tasks of the job must be placed together, which requires a
// pass over all machines.
func (q *QueuedJob) needsWholePass() bool {
	spec := &q.Record.Job
	return spec.Tasks > 1 && (q.isGang() || spec.SingleZone)
}
