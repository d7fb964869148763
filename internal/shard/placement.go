package shard

import (
	"log/slog"
	"maps"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
)

// Weights of placementCost.
const (
	// spotLossShare is the share of its estimate that a job without checkpoints is assumed to lose
	// on a spot machine. It is large enough for such a job to prefer a permanent machine to a spot
	// machine. It should be too small to make the job prefer an on-demand machine to a spot
	// machine, because an on-demand machine cannot be removed while it is in use.
	spotLossShare = 0.1
	// onDemandUseCost is the cost of an on-demand machine, in report intervals, for a job that may
	// run on spot machines. The on-demand machine cannot be removed while the job runs.
	onDemandUseCost = 5
	// machineSizeCost is the cost of each core of the machine, in seconds.
	machineSizeCost = 0.01
)

// protectionDivisor determines how long a job that started late is protected from preemption. The
// protection lasts for the time within which jobs should start (score.begin), divided by
// protectionDivisor, plus the time to fetch the image.
const protectionDivisor = 8

// attemptCounterBits is the number of low bits of an attempt number that count the attempts
// under one fencing token.
const attemptCounterBits = 20

// startTasks places as many tasks of a job as the free capacity and the team's quota allow. It
// places either all tasks of a gang or none, and at most one task of any other suspect job. It
// reports whether the job has no idle task left.
func (s *Shard) startTasks(job *QueuedJob, capacities []*freeCapacity, now time.Duration) bool {
	spec := &job.Record.Job
	s.beginJobOperation(OperationSchedule, spec.ID)
	wanted := s.remainingTeamQuota(spec.Team).limitTasks(spec, job.idleTasks)
	if !job.isGang() {
		wanted = min(wanted, s.passPlacements)
	}
	if job.suspect && !job.isGang() {
		wanted = min(wanted, 1)
	}
	if wanted <= 0 || job.isGang() && wanted < spec.Tasks {
		job.waitReason = waitTeamLimit
		return false
	}
	candidates := s.placementCandidates(job, capacities, now)
	if len(candidates) == 0 {
		job.waitReason = waitNoCapacity
		return false
	}
	planner := newPlacementPlanner(s, job, candidates, wanted, now)
	plan := planner.plan()
	if len(plan) == 0 || job.isGang() && len(plan) < spec.Tasks {
		job.waitReason = waitNoCapacityForGang
		return false
	}
	s.placeTasks(job, plan, now)
	s.passPlacements -= len(plan)
	slog.Debug("shard: tasks placed", "shard", s.ID, "job", spec.ID, "tasks", len(plan), "waiting", job.idleTasks)
	job.waitReason = waitMoreCapacity
	return job.idleTasks == 0
}

// placementCandidates lists the machines on which a task of a job may start now, the cheapest
// first.
func (s *Shard) placementCandidates(job *QueuedJob, capacities []*freeCapacity, now time.Duration) []*freeCapacity {
	spec := &job.Record.Job
	candidates := make([]*freeCapacity, 0, len(capacities))
	for _, free := range capacities {
		if !free.fits(spec) || s.isUnfitForGang(free.machine, job, now) || now < job.avoidUntil[free.machine.ID] {
			continue
		}
		if s.canRunOn(free.machine, spec) && s.mayPlaceOn(free, job, now) {
			candidates = append(candidates, free)
		}
	}
	if len(candidates) == 0 {
		return nil // saves the sort in the most common case, when the queue is long
	}
	for _, free := range candidates {
		free.placementCost = s.placementCost(free, spec)
	}
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].placementCost < candidates[b].placementCost })
	return candidates
}

// mayPlaceOn reports whether a job may use the free capacity of a machine without delaying the
// head of the queue or taking capacity that is kept for large jobs (see headroomBlocks).
func (s *Shard) mayPlaceOn(free *freeCapacity, job *QueuedJob, now time.Duration) bool {
	return s.canBackfill(free, &job.Record.Job, now) && !s.headroomBlocks(free, job, now)
}

// placementCost returns the cost of placing a task on a machine, in seconds. It is the time to fetch
// the image plus small penalties. The penalties make the planner prefer small machines, machines
// that are already in use and, for jobs that may run on spot machines, machines that are not
// on-demand.
func (s *Shard) placementCost(free *freeCapacity, spec *protocol.Job) float64 {
	cost := s.imageFetchTime(free, spec).Seconds()
	report := s.controller.Settings().Deployment.Workers.Report
	switch {
	case !spec.AllowSpot:
	case free.machine.isOnDemand():
		cost += onDemandUseCost * report
	case free.machine.Spot && spec.CheckpointInterval <= 0:
		cost += spotLossShare * spec.Estimate
	}
	if free.cores >= free.machineType.Cores {
		cost += report
	}
	cost += report * free.cores / (free.machineType.Cores + 1)
	return cost + machineSizeCost*free.machineType.Cores
}

// placementPlanner chooses machines for the tasks of one job.
type placementPlanner struct {
	shard        *Shard
	job          *QueuedJob
	candidates   []*freeCapacity // sorted by placementCost, the cheapest first
	wanted       int             // maximum number of tasks to place
	now          time.Duration
	placedInZone map[string]int // placed tasks of the job by zone; nil unless the job spreads over zones
}

func newPlacementPlanner(s *Shard, job *QueuedJob, candidates []*freeCapacity, wanted int, now time.Duration) placementPlanner {
	planner := placementPlanner{
		shard:      s,
		job:        job,
		candidates: candidates,
		wanted:     wanted,
		now:        now,
	}
	if job.Record.Job.SpreadZones {
		planner.placedInZone = map[string]int{}
		for _, placed := range job.placements {
			planner.placedInZone[placed.machine.Zone]++
		}
	}
	return planner
}

// plan returns the machine of each task that can start, and claims the task's resources there. For
// a gang it plans either all wanted tasks or none. For a single-zone job it plans tasks in the zone
// in which the most tasks fit.
func (p *placementPlanner) plan() []*freeCapacity {
	if !p.job.Record.Job.SingleZone {
		plan := p.claimInZone("")
		if p.job.isGang() && len(plan) < p.wanted {
			p.unclaim(plan)
			return nil
		}
		return plan
	}
	bestZone, most := "", 0
	for _, zone := range p.zones() {
		plan := p.claimInZone(zone)
		p.unclaim(plan)
		if len(plan) > most {
			bestZone, most = zone, len(plan)
		}
	}
	if most == 0 || p.job.isGang() && most < p.wanted {
		return nil
	}
	return p.claimInZone(bestZone)
}

// zones lists the zones in which a single-zone job may start tasks: the zone of its placed
// tasks or, if there are none, all zones of the candidates.
func (p *placementPlanner) zones() []string {
	if zone := p.job.placedZone(); zone != "" {
		return []string{zone}
	}
	return candidateZones(&p.job.Record.Job, p.candidates)
}

// claimInZone claims the resources of as many tasks as can start in a zone, or in all zones if
// the name is empty, and returns the machine of each task.
func (p *placementPlanner) claimInZone(zone string) []*freeCapacity {
	spec := &p.job.Record.Job
	var plan []*freeCapacity
	tasksInZone := maps.Clone(p.placedInZone)
	for _, free := range p.candidates {
		machineZone := free.machine.Zone
		if zone != "" && machineZone != zone {
			continue
		}
		limit := p.wanted - len(plan)
		if free.machine.suspect {
			limit = min(limit, 1) // a suspect machine runs one task at a time as a probe, see suspects.go
		}
		if spec.SpreadZones {
			limit = min(limit, MaxPerZone(spec)-tasksInZone[machineZone])
		}
		for count := 0; count < limit && free.fits(spec) && p.shard.mayPlaceOn(free, p.job, p.now); count++ {
			free.claim(spec)
			plan = append(plan, free)
			if spec.SpreadZones {
				tasksInZone[machineZone]++
			}
		}
	}
	return plan
}

// unclaim reverts claimInZone.
func (p *placementPlanner) unclaim(plan []*freeCapacity) {
	for _, free := range plan {
		free.unclaim(&p.job.Record.Job)
	}
}

// placeTasks places the next idle tasks of a job on the machines of a plan. The tasks are launched
// once the job's stored progress names the machines.
func (s *Shard) placeTasks(job *QueuedJob, plan []*freeCapacity, now time.Duration) {
	spec := &job.Record.Job
	if job.isGang() || job.gangAttempt == 0 {
		job.gangAttempt = s.nextAttemptNumber()
		job.gangCleared = false
	}
	if s.lateStartBoost(job, s.ageOf(job)) > 0 {
		protection := env.Seconds(s.controller.Settings().Score.StartWithin / protectionDivisor)
		job.protectedUntil = now + protection + s.imageFetchTime(plan[0], spec)
	}
	job.lastStartedAt = now
	for i, index := range job.nextIdleTasks(s.ID, len(plan)) {
		number := s.nextAttemptNumber()
		if job.isGang() {
			number = job.gangAttempt
		}
		s.placeTask(job, index, number, plan[i].machine, now)
	}
	if job.hasHeldAttempts && !job.awaitsCacheSync {
		s.queueProgressWrite(job, kvstore.PriorityNormal)
	}
	for _, free := range plan {
		s.requestCommands(free.machine)
	}
	s.finishCommandRequests()
}

// placeTask places one task on a machine. Its launch is held back until the job's stored
// progress names the machine.
func (s *Shard) placeTask(job *QueuedJob, index int, number uint64, machine *Machine, now time.Duration) {
	task := agent.TaskID{Job: job.Record.Job.ID, Index: index}
	needsRecord := !job.recordCovers(machine.ID)
	attempt := machine.Place(task, number, needsRecord, now)
	attempt.RemoteLease = job.remoteLease
	job.placements[task] = &placement{machine, attempt}
	job.setTaskState(index, taskPlaced)
	job.hasHeldAttempts = job.hasHeldAttempts || needsRecord
}

// nextAttemptNumber returns a number that is higher than the numbers of all earlier attempts,
// including those of previous owners of the shard.
func (s *Shard) nextAttemptNumber() uint64 {
	s.attemptCounter++
	return s.FencingToken<<attemptCounterBits + s.attemptCounter
}
