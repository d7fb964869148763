package shard

import (
	"slices"
	"sort"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// startOption is a number of the head's tasks that can start together on one machine, and the
// earliest time at which they can start.
type startOption struct {
	capacity  *freeCapacity
	startsAt  time.Duration
	tasks     int
	available resources // resources that are free at that time, before the tasks start
}

// headReservation is the earliest time at which the head of the queue can start, and the start
// options of the machines that it uses.
type headReservation struct {
	startsAt time.Duration
	options  map[*freeCapacity]startOption
}

// release is the expected end of an attempt, which releases the resources of its task.
type release struct {
	endsAt time.Duration
	spec   *protocol.Job
}

// reserveForHead reserves the machines on which the head of the queue can start earliest (EASY
// backfilling; DESIGN, "The head job is reserved"; paper, section 4). If that would be too
// late, it preempts lower-priority attempts instead. It returns false if the shard's machines
// can never run the job.
func (s *Shard) reserveForHead(job *QueuedJob, capacities []*freeCapacity, now time.Duration) bool {
	spec := &job.Record.Job
	request := preemptionRequest{job: job, tasks: 1, now: now}
	if job.isGang() {
		request.tasks = spec.Tasks
	}
	options := s.startOptions(job, capacities, request.tasks, now)
	reservation := earliestReservation(spec, options, candidateZones(spec, capacities), request.tasks, now)
	if reservation == nil {
		return s.preempt(request, capacities)
	}
	job.expectedStart = reservation.startsAt
	if s.preemptForHead(request, reservation, capacities) {
		return true
	}
	reservation.apply(spec)
	return true
}

// preemptForHead preempts other jobs if the reservation starts too late for the head, and
// reports whether it did.
func (s *Shard) preemptForHead(request preemptionRequest, reservation *headReservation, capacities []*freeCapacity) bool {
	startsAt, now := reservation.startsAt, request.now
	// Hosted jobs are preempted for any job of this cluster that would have to wait.
	if s.hostedCount > 0 && startsAt > now {
		hostedOnly := request
		hostedOnly.isEligible = (*QueuedJob).isHosted
		if s.preempt(hostedOnly, capacities) {
			return true
		}
	}
	fetchTime := time.Duration(0)
	for free := range reservation.options {
		fetchTime = max(fetchTime, s.imageFetchTime(free, &request.job.Record.Job))
	}
	return s.missesStartTarget(request.job, startsAt, now, fetchTime) && s.preempt(request, capacities)
}

// startOptions lists the start options of a job on all machines, with at most the needed number
// of tasks each, sorted by start time.
func (s *Shard) startOptions(job *QueuedJob, capacities []*freeCapacity, needed int, now time.Duration) []startOption {
	var options []startOption
	for _, free := range capacities {
		if s.canReserveOn(free.machine, job, now) {
			releases := s.expectedReleases(free.machine, now)
			options = appendStartOptions(options, free, &job.Record.Job, releases, needed, now)
		}
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].startsAt < options[b].startsAt })
	return options
}

// canReserveOn reports whether a job may reserve a machine or preempt other jobs there. It may not
// if the machine cannot run the job, is suspect, or is avoided by the job after failures.
func (s *Shard) canReserveOn(machine *Machine, job *QueuedJob, now time.Duration) bool {
	return s.canRunOn(machine, &job.Record.Job) &&
		now >= job.avoidUntil[machine.ID] &&
		!machine.suspect
}

// expectedReleases lists when a machine's attempts release their resources, earliest first.
func (s *Shard) expectedReleases(machine *Machine, now time.Duration) []release {
	var releases []release
	for _, attempt := range machine.Attempts {
		job := s.Jobs[attempt.Job]
		if attempt.HasEnded() || job == nil {
			continue
		}
		spec := &job.Record.Job
		releases = append(releases, release{endsAt: s.expectedEnd(attempt, spec, now), spec: spec})
	}
	sort.Slice(releases, func(a, b int) bool { return releases[a].endsAt < releases[b].endsAt })
	return releases
}

// appendStartOptions appends the start options of a job on one machine. The first option is for the
// tasks that fit now, if any. A further option is added for each release after which more tasks fit
// together, until the needed number fits.
func appendStartOptions(
	options []startOption,
	free *freeCapacity,
	spec *protocol.Job,
	releases []release,
	needed int,
	now time.Duration,
) []startOption {
	available, startsAt, most := free.resources, now, 0
	for released := 0; ; released++ {
		tasks := available.countFitting(spec, needed)
		if tasks > most {
			most = tasks
			options = append(options, startOption{
				capacity:  free,
				startsAt:  startsAt,
				tasks:     tasks,
				available: available,
			})
		}
		if tasks >= needed || released >= len(releases) {
			return options
		}
		available.add(releases[released].spec)
		startsAt = releases[released].endsAt
	}
}

// candidateZones lists the zones of the given machines for a single-zone job, so that each can be
// tried separately. For other jobs it returns one empty name, which stands for all zones.
func candidateZones(spec *protocol.Job, capacities []*freeCapacity) []string {
	if !spec.SingleZone {
		return []string{""}
	}
	var zones []string
	for _, free := range capacities {
		if !slices.Contains(zones, free.machine.Zone) {
			zones = append(zones, free.machine.Zone)
		}
	}
	return zones
}

// earliestReservation returns the reservation with the earliest start among those of the given
// zones, or nil if the needed number of tasks can never start in any of them. The options must be
// sorted by start time.
func earliestReservation(spec *protocol.Job, options []startOption, zones []string, needed int, now time.Duration) *headReservation {
	var earliest *headReservation
	for _, zone := range zones {
		reservation := reserveInZone(spec, options, zone, needed, now)
		if reservation == nil {
			continue
		}
		if earliest == nil || reservation.startsAt < earliest.startsAt {
			earliest = reservation
		}
	}
	return earliest
}

// reserveInZone returns a reservation with the earliest options of a zone, or of all zones if the
// name is empty, that let the needed number of tasks start. It returns nil if so many tasks can
// never start there.
func reserveInZone(spec *protocol.Job, options []startOption, zone string, needed int, now time.Duration) *headReservation {
	reservation := &headReservation{startsAt: now, options: map[*freeCapacity]startOption{}}
	total := 0
	tasksInZone := map[string]int{}
	tasksOnMachine := map[*freeCapacity]int{}
	for _, option := range options {
		machineZone := option.capacity.machine.Zone
		if zone != "" && machineZone != zone {
			continue
		}
		added := option.tasks - tasksOnMachine[option.capacity]
		if spec.SpreadZones {
			added = min(added, MaxPerZone(spec)-tasksInZone[machineZone])
		}
		if added <= 0 {
			continue
		}
		total += added
		tasksOnMachine[option.capacity] += added
		tasksInZone[machineZone] += added
		reservation.options[option.capacity] = option
		reservation.startsAt = max(reservation.startsAt, option.startsAt)
		if total >= needed {
			return reservation
		}
	}
	return nil
}

// apply marks the machines of the reservation as reserved.
func (r *headReservation) apply(spec *protocol.Job) {
	for free, option := range r.options {
		free.reserve(option.startsAt, option.available.without(option.tasks, spec))
	}
}

// missesStartTarget reports whether a job misses a target if it starts at the given time and
// fetches its image first. Its targets are the wait objectives of its class and its deadlines. If
// the job meets all targets, preemption would only waste the work of other jobs. For a job without
// any target, the result is true if the job would still have to wait for more than half of its
// estimate. For a job of a team within its guarantee, the result is always true.
//
// The given time depends on estimates, which are often too low. The result is therefore also true if
// preemption must start now so that its victims can save their checkpoints in time. Without this
// rule, gangs waited for attempts that overran their estimates, and preempted these attempts only
// when the gangs were already late.
func (s *Shard) missesStartTarget(job *QueuedJob, startsAt, now, fetchTime time.Duration) bool {
	spec := &job.Record.Job
	age := s.controller.WallSeconds() - job.Record.AcceptedAt
	wait := age + (startsAt - now).Seconds() + fetchTime.Seconds()
	hasTarget := false
	for _, objective := range s.controller.Settings().Deployment.Objectives {
		if objective.Class != spec.Class || objective.Kind != settings.ObjectiveWait {
			continue
		}
		hasTarget = true
		if wait > objective.Within {
			return true
		}
		if startsAt > now && s.waitIfPreemptedNext(spec, age, fetchTime) > objective.Within {
			return true
		}
	}
	for _, deadline := range s.controller.Deadlines(spec) {
		hasTarget = true
		if wait+spec.Estimate > deadline {
			return true
		}
	}
	if !hasTarget && (startsAt-now).Seconds() > spec.Estimate/2 {
		return true
	}
	return s.withinGuarantee(spec.Team)
}

// waitIfPreemptedNext returns how long, in seconds, a job will have waited when it starts if other
// jobs are preempted for it in the next scheduling pass instead of now. The wait is the sum of the
// job's age, the longest time to save a checkpoint, fetchTime, and one report interval: up to half
// of the interval passes until the next pass, and up to half until a machine reports that the victims
// have saved their checkpoints.
func (s *Shard) waitIfPreemptedNext(spec *protocol.Job, age float64, fetchTime time.Duration) float64 {
	return age + s.longestCheckpointSave(spec.Priority) + fetchTime.Seconds() + s.reportInterval().Seconds()
}

// longestCheckpointSave returns the longest time, in seconds, that any placed job of a lower
// priority takes to save a checkpoint.
func (s *Shard) longestCheckpointSave(priority int) float64 {
	longest := 0.0
	for _, job := range s.jobsByID() {
		if job.placedTasks > 0 && job.Record.Job.Priority < priority {
			longest = max(longest, job.Record.Job.CheckpointDuration)
		}
	}
	return longest
}
