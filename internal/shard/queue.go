package shard

import (
	"math"
	"slices"
	"sort"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// This file orders what waits.

// Score is the weighted priority of a queued job (DESIGN; paper, section 4);
// deadlines are those of the job, see Host.Deadlines; short is the shortest
// queued estimate over its own.
// The weight of the user's priority is ours: PROTOCOL lets a higher one
// preempt, so it must also be ahead in the queue. Ours, too: of several
// deadlines the first that the job can still meet counts.
func Score(weights *settings.ScoreSettings, spec *protocol.Job, deadlines []float64, age, shortness, estimate float64) float64 {
	score := weights.Aging*age + weights.Priority*float64(spec.Priority)
	if estimate > 0 {
		score += weights.Short * shortness
	}
	expectedEnd := age + estimate
	for _, deadline := range deadlines {
		if expectedEnd > deadline {
			continue // late
		}
		if riseStart := deadline - weights.K*estimate; expectedEnd > riseStart && deadline > riseStart {
			return score + weights.DeadlineMin + (weights.DeadlineMax-weights.DeadlineMin)*(expectedEnd-riseStart)/(deadline-riseStart)
		}
		break
	}
	return score + weights.DeadlineMin
}

// remainingEstimate is the estimate that the short-job term compares: of an array, what
// is queued of it here, since its user waits for the last task (ours).
func (q *QueuedJob) remainingEstimate() float64 {
	if q.isGang() {
		return q.Record.Job.Estimate
	}
	return q.Record.Job.Estimate * float64(max(q.idleTasks, 1))
}

// hasStaleAttempt: a run of the job that is not to be there has not gone yet.
func (s *Shard) hasStaleAttempt(job *QueuedJob) bool {
	for attempt, machine := range job.unwantedAttempts {
		if s.Machines[machine.ID] == machine && machine.Attempts[attempt.AttemptID] == attempt && !attempt.HasEnded() {
			return true
		}
		delete(job.unwantedAttempts, attempt)
	}
	return false
}

// unresolvedMachines lists the machines that have not answered this owner.
func (s *Shard) unresolvedMachines() (unresolved []*Machine) {
	for _, machine := range s.machinesByID() {
		if !machine.Reconciled {
			unresolved = append(unresolved, machine)
		}
	}
	return unresolved
}

// UnresolvedCount counts them.
func (s *Shard) UnresolvedCount() int { return len(s.unresolvedMachines()) }

// InboundPartitioned names the machines that report and hear nothing.
func (s *Shard) InboundPartitioned() []string {
	ids := []string{}
	for _, machine := range s.machinesByID() {
		if machine.IsUnreachable() {
			ids = append(ids, machine.ID)
		}
	}
	return ids
}

// mayRunUnseen: tasks of the job that are not seen may be on a silent machine, or on
// their way off another.
func (s *Shard) mayRunUnseen(job *QueuedJob, unresolved []*Machine) bool {
	if job.mayBeAnywhere() && job.newSinceTakeover {
		return s.hasStaleAttempt(job)
	}
	return slices.ContainsFunc(unresolved, func(machine *Machine) bool { return job.recordedMachines.contains(machine.ID) }) || s.hasStaleAttempt(job)
}

// isPartialGang: an earlier owner launched a part of a gang and was gone before the rest.
// What is there waits for peers that nobody starts, until gang_wait_s ends it. (35
// and 45 s at the users', who expect gangs to start within 6 and 20; found as a
// gang that stayed for ever in a stand-in without that time.)
func (s *Shard) isPartialGang(job *QueuedJob) bool {
	return job.isGang() && !job.gangBroken && !job.gangStopping && job.placedTasks > 0 && job.idleTasks > 0 && !s.mayRunUnseen(job, s.unresolvedMachines())
}

func (s *Shard) rankedQueue(now time.Duration) []*QueuedJob {
	unresolved := s.unresolvedMachines()
	var queue []*QueuedJob
	shortest := math.Inf(1)
	for _, job := range s.jobsByID() {
		switch {
		case job.idleTasks == 0 || job.finishing || job.moving:
			continue
		case s.mayRunUnseen(job, unresolved):
			job.waitReason = "may be on a machine that is silent"
			continue
		case job.isBorrowed() && !s.isPermitted(job, now):
			continue
		case now < job.notBefore || job.suspect && job.placedTasks > 0:
			job.waitReason = "its last start failed"
			if job.suspect {
				job.waitReason = "it fails on every machine: one task at a time is tried"
			}
			continue
		case job.isGang() && (job.gangBroken || job.gangStopping || job.placedTasks > 0):
			job.waitReason = "its last attempt is being cleared"
			continue
		}
		queue = append(queue, job)
		if estimate := job.remainingEstimate(); estimate > 0 {
			shortest = min(shortest, estimate)
		}
	}
	weights := &s.controller.Settings().Score
	timeOfDay := s.controller.WallSeconds()
	for _, job := range queue {
		spec := &job.Record.Job
		job.score = Score(weights, spec, s.controller.Deadlines(spec), timeOfDay-job.Record.AcceptedAt, shortest/max(job.remainingEstimate(), 1e-9), spec.Estimate)
		job.score += s.lateStartBoost(job, timeOfDay-job.Record.AcceptedAt)
		if s.withinGuarantee(spec.Team) {
			job.score += 1e9
		}
	}
	sort.SliceStable(queue, func(i, k int) bool { return queue[i].score > queue[k].score })
	return queue
}

// lateStartBoost is what a job gains of which nothing has started here, from a quarter to a
// half of the time within which jobs are to begin: by then it is ahead of all that
// came after it, and reserves as the head what others free. It stops nothing by this:
// its rank stays what it is. Once some of it has started it is like any other. (Tried
// until all of a class's largest arrays had started: a guest's 25,000 tasks of the
// lowest rank went ahead of members' arrays, which stopped them, 90,000 times.)
//
// The smallest exception that works for the users' rule that a class's largest jobs,
// too, begin within four minutes whatever comes meanwhile. (Incident inc-2185: a gang
// of three waited for 349 s behind arrays, a guest's array for 474 s.)
func (s *Shard) lateStartBoost(job *QueuedJob, age float64) float64 {
	if job.placedTasks > 0 || job.localDone > 0 || job.lastStartedAt > 0 {
		return 0
	}
	weights := &s.controller.Settings().Score
	return weights.BeginWeight * min(max(4*age/weights.Begin-1, 0), 1)
}

// isPreemptionProtected: a job that was late to begin is let run for an eighth of the time within
// which jobs are to begin. (The gang of five was stopped by the next small task of a
// higher rank, four seconds after it had begun at last.)
func (s *Shard) isPreemptionProtected(job *QueuedJob, now time.Duration) bool {
	return now < job.protectedUntil
}

// withinGuarantee: a team whose unfinished jobs fit into its guarantee need not
// wait for others.
func (s *Shard) withinGuarantee(team string) bool {
	quota := s.controller.Settings().Team(team)
	if quota == nil || quota.Cores <= 0 && quota.GPUs <= 0 {
		return false
	}
	cores, gpus := s.controller.TeamDemand(team)
	return cores <= quota.Cores+epsilon && gpus <= quota.GPUs+epsilon
}

// remainingTeamQuota is what a team may still start here; a team with a limit has all
// its jobs in one part.
func (s *Shard) remainingTeamQuota(team string) (cores, gpus float64) {
	quota := s.controller.Settings().Team(team)
	cores, gpus = math.Inf(1), math.Inf(1)
	if quota == nil || !quota.Limited() {
		return cores, gpus
	}
	if quota.CoresMax > 0 {
		cores = quota.CoresMax
	}
	if quota.GPUsMax > 0 {
		gpus = quota.GPUsMax
	}
	for _, machine := range s.Machines {
		if !machine.Reconciled {
			return 0, 0 // what it runs is not known
		}
		for _, attempt := range machine.Attempts {
			if attempt.HasEnded() {
				continue
			}
			job := s.Jobs[attempt.Job]
			if job == nil {
				return 0, 0 // of a job that is over; whose is not known
			}
			if job.Record.Job.Team == team {
				cores -= job.Record.Job.Cores
				gpus -= job.Record.Job.GPUs
			}
		}
	}
	return cores, gpus
}
