package shard

import (
	"math"
	"sort"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// preemptionRequest asks for room for tasks of a job at the cost of others.
type preemptionRequest struct {
	job        *QueuedJob
	tasks      int // that need room at the same time
	now        time.Duration
	isEligible func(*QueuedJob) bool // which of the others may be preempted; nil: all
}

// preemptionPlan is what to preempt on one machine to make room for one task.
type preemptionPlan struct {
	capacity *freeCapacity
	victims  []*placement
	cost     float64 // core-seconds, see preemptionCost
}

// preempt stops attempts of jobs that the requesting job may preempt (PROTOCOL,
// "Preemption") if that makes room for the tasks it needs, at the least cost, and tells
// whether it did. While the victims save their checkpoints, their machines stay reserved.
func (s *Shard) preempt(request preemptionRequest, capacities []*freeCapacity) bool {
	spec := &request.job.Record.Job
	isEntitled := s.withinGuarantee(spec.Team)
	var plans []preemptionPlan
	for _, free := range capacities {
		if !s.canReserveOn(free.machine, request.job, request.now) || s.headroomBlocks(free, request.job, request.now) {
			continue
		}
		victims := s.preemptibleOn(free.machine, request, isEntitled)
		if plan, ok := s.planPreemption(free, spec, victims, request.now); ok {
			plans = append(plans, plan)
		}
	}
	sort.SliceStable(plans, func(a, b int) bool { return plans[a].cost < plans[b].cost })
	chosen := cheapestPlans(spec, plans, candidateZones(spec, capacities), request.tasks)
	return s.carryOutPreemption(chosen, spec, request.now)
}

// preemptibleOn lists the attempts on a machine that may be preempted for a job: those of
// lower priorities, and of teams above their guarantee if its own team is entitled to its.
func (s *Shard) preemptibleOn(machine *Machine, request preemptionRequest, isEntitled bool) []*placement {
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
		if otherSpec.Priority < spec.Priority || isEntitled && s.exceedsGuarantee(otherSpec.Team, spec.Team) {
			victims = append(victims, &placement{machine, attempt})
		}
	}
	return victims
}

// planPreemption chooses, of the attempts on a machine that may be preempted, as many as a
// task needs, cheapest first; false if all of them are not enough.
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

// cheapestPlans chooses plans for as many tasks as needed in the zone, or the zones, where
// they cost least; none if there are not enough. The plans come cheapest first.
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

// plansInZone takes the first plans of a zone (an empty name: of all), up to the number
// needed, and sums their costs.
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

// carryOutPreemption stops the victims of plans and reserves their machines for the job;
// false if there was nothing to stop.
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

// preemptAttempt stops an attempt, and all of its gang, for another job.
func (s *Shard) preemptAttempt(victim *placement, beneficiary *protocol.Job) {
	s.stopAttempt(s.Jobs[victim.attempt.Job], victim, "preempted by "+beneficiary.ID)
}

// preemptionCost is how many core-seconds preempting an attempt costs: those of saving its
// checkpoint or, if it saves none, all that it has done.
func preemptionCost(attempt *agent.Attempt, spec *protocol.Job, now time.Duration) float64 {
	if attempt.StartedAt == 0 || attempt.StopRequested {
		return 0
	}
	if spec.CheckpointInterval > 0 {
		return spec.CheckpointDuration * spec.Cores
	}
	return (now - attempt.StartedAt).Seconds() * spec.Cores
}

// isPreemptionProtected: a job that started late is let run for an eighth of the time
// within which jobs are to begin (score.begin). (A gang of five was preempted by the next
// small task of a higher priority, four seconds after it had begun at last.)
func (s *Shard) isPreemptionProtected(job *QueuedJob, now time.Duration) bool {
	return now < job.protectedUntil
}
