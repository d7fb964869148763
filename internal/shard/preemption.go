package shard

import (
	"math"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// preemptionRequest describes the tasks for which other jobs may be preempted.
type preemptionRequest struct {
	job        *QueuedJob
	tasks      int // number of tasks that must start together
	now        time.Duration
	isEligible func(*QueuedJob) bool // restricts the jobs that may be preempted; nil: no restriction
	// overGuarantee holds the teams whose attempts may be preempted because they use more than their
	// guarantee. It is nil unless the requesting team is within its own.
	overGuarantee map[string]bool
}

// preemptionPlan lists the attempts to preempt on one machine so that one task fits there.
type preemptionPlan struct {
	capacity *freeCapacity
	victims  []*placement
	cost     float64 // core-seconds that are lost, see preemptionCost
}

// preempt stops attempts that the requesting job may preempt (PROTOCOL, "Preemption"). It chooses
// the cheapest attempts, and stops them only if that frees enough capacity for all tasks of the
// request. It reports whether any attempts were chosen. While the victims save their checkpoints,
// their machines are reserved for the requesting job.
func (s *Shard) preempt(request preemptionRequest, capacities []*freeCapacity) bool {
	spec := &request.job.Record.Job
	if s.withinGuarantee(spec.Team) {
		request.overGuarantee = s.teamsOverGuarantee(spec.Team)
	}
	var plans []preemptionPlan
	for _, free := range capacities {
		if !s.canReserveOn(free.machine, request.job, request.now) || s.headroomBlocks(free, request.job, request.now) {
			continue
		}
		victims := s.preemptibleOn(free.machine, request)
		if plan, ok := s.planPreemption(free, spec, victims, request.now); ok {
			plans = append(plans, plan)
		}
	}
	sort.SliceStable(plans, func(a, b int) bool { return plans[a].cost < plans[b].cost })
	chosen := cheapestPlans(spec, plans, candidateZones(spec, capacities), request.tasks)
	return s.carryOutPreemption(chosen, spec, request.now)
}

// preemptibleOn lists the attempts on a machine that may be preempted for a request. These are
// attempts of jobs with lower priorities and, if the requesting team is within its guarantee,
// attempts of teams that exceed their own guarantees.
func (s *Shard) preemptibleOn(machine *Machine, request preemptionRequest) []*placement {
	spec := &request.job.Record.Job
	var victims []*placement
	for attempt := range machine.AllAttempts() {
		other := s.Jobs[attempt.Job]
		if other == nil || attempt.HasEnded() || other == request.job {
			continue
		}
		if request.isEligible != nil && !request.isEligible(other) || s.isPreemptionProtected(other, request.now) {
			continue
		}
		otherSpec := &other.Record.Job
		if otherSpec.Priority < spec.Priority || request.overGuarantee[otherSpec.Team] {
			victims = append(victims, &placement{machine, attempt})
		}
	}
	return victims
}

// planPreemption chooses victims among the preemptible attempts on a machine, the cheapest first,
// until a task fits there. It returns false if the task would not fit even if all of them were
// preempted.
func (s *Shard) planPreemption(free *freeCapacity, spec *protocol.Job, victims []*placement, now time.Duration) (preemptionPlan, bool) {
	cost := func(victim *placement) float64 {
		return preemptionCost(victim.attempt, &s.Jobs[victim.attempt.Job].Record.Job, now)
	}
	sort.SliceStable(victims, func(a, b int) bool { return cost(victims[a]) < cost(victims[b]) })
	available := free.resources
	plan := preemptionPlan{capacity: free}
	for _, victim := range victims {
		if available.fits(spec) {
			break
		}
		available.add(&s.Jobs[victim.attempt.Job].Record.Job)
		plan.victims = append(plan.victims, victim)
		plan.cost += cost(victim)
	}
	return plan, available.fits(spec)
}

// cheapestPlans returns the cheapest plans for the needed number of tasks. It tries the given zones
// separately; an empty zone name stands for all zones together. The result is nil if no zone has
// enough plans. The given plans must be sorted by cost.
func cheapestPlans(spec *protocol.Job, plans []preemptionPlan, zones []string, needed int) []preemptionPlan {
	var cheapest []preemptionPlan
	leastCost := math.Inf(1)
	for _, zone := range zones {
		chosen, cost := plansInZone(spec, plans, zone, needed)
		if len(chosen) == needed && cost < leastCost {
			cheapest, leastCost = chosen, cost
		}
	}
	return cheapest
}

// plansInZone returns the first plans of a zone, or of all zones if the name is empty, up to
// the number needed, and the sum of their costs.
func plansInZone(spec *protocol.Job, plans []preemptionPlan, zone string, needed int) (chosen []preemptionPlan, cost float64) {
	tasksInZone := map[string]int{}
	for _, plan := range plans {
		if len(chosen) >= needed {
			break
		}
		machineZone := plan.capacity.machine.Zone
		if zone != "" && machineZone != zone {
			continue
		}
		if spec.SpreadZones && tasksInZone[machineZone] >= MaxPerZone(spec) {
			continue
		}
		chosen = append(chosen, plan)
		tasksInZone[machineZone]++
		cost += plan.cost
	}
	return chosen, cost
}

// carryOutPreemption stops the victims of the plans and reserves their machines for the job. It
// returns false if the plans have no victims.
func (s *Shard) carryOutPreemption(plans []preemptionPlan, spec *protocol.Job, now time.Duration) bool {
	hasVictims := false
	for _, plan := range plans {
		for _, victim := range plan.victims {
			hasVictims = true
			if !victim.attempt.StopRequested {
				s.preemptAttempt(victim, spec)
			}
		}
		plan.capacity.reserve(now, resources{})
	}
	return hasVictims
}

// preemptAttempt stops an attempt, and the rest of its gang, in favour of another job.
func (s *Shard) preemptAttempt(victim *placement, beneficiary *protocol.Job) {
	s.stopAttempt(s.Jobs[victim.attempt.Job], victim, "preempted by "+beneficiary.ID)
}

// preemptionCost returns the core-seconds that are lost if an attempt is preempted: the time to save
// its checkpoint or, if it saves none, its whole runtime so far. The cost is 0 for an attempt that
// has not started or is already being stopped.
func preemptionCost(attempt *agent.Attempt, spec *protocol.Job, now time.Duration) float64 {
	if attempt.StartedAt == 0 || attempt.StopRequested {
		return 0
	}
	if spec.CheckpointInterval > 0 {
		return spec.CheckpointDuration * spec.Cores
	}
	return (now - attempt.StartedAt).Seconds() * spec.Cores
}

// isPreemptionProtected reports whether a job may not be preempted yet because it started late. The
// protection lasts for an eighth of the time within which jobs should start (score.begin), plus the
// time to fetch the image. Without this protection, a gang of five that had started late was
// preempted four seconds later by a small task of a higher priority.
func (s *Shard) isPreemptionProtected(job *QueuedJob, now time.Duration) bool {
	return now < job.protectedUntil
}
