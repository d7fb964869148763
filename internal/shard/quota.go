package shard

import (
	"math"

	"curlewspool/internal/protocol"
)

// teamQuota is what a team may still start; infinite without a limit.
type teamQuota struct {
	cores float64
	gpus  float64
}

// allowsTask tells whether one more task of a job is within the quota.
func (q teamQuota) allowsTask(spec *protocol.Job) bool {
	return q.cores >= spec.Cores && q.gpus >= spec.GPUs
}

// limitTasks lowers a number of tasks of a job to what the quota allows.
func (q teamQuota) limitTasks(spec *protocol.Job, tasks int) int {
	if spec.Cores > 0 {
		tasks = int(min(float64(tasks), math.Floor(q.cores/spec.Cores+epsilon)))
	}
	if spec.GPUs > 0 {
		tasks = int(min(float64(tasks), math.Floor(q.gpus/spec.GPUs+epsilon)))
	}
	return tasks
}

// remainingTeamQuota is what a team may still start here; a team with a limit has all
// its jobs in one shard. It is nothing while it is not known what all machines run, and
// for which team.
func (s *Shard) remainingTeamQuota(team string) teamQuota {
	remaining := teamQuota{cores: math.Inf(1), gpus: math.Inf(1)}
	config := s.controller.Settings().Team(team)
	if config == nil || !config.Limited() {
		return remaining
	}
	if config.CoresMax > 0 {
		remaining.cores = config.CoresMax
	}
	if config.GPUsMax > 0 {
		remaining.gpus = config.GPUsMax
	}
	for _, machine := range s.Machines {
		if !machine.Reconciled {
			return teamQuota{}
		}
		for _, attempt := range machine.Attempts {
			if attempt.HasEnded() {
				continue
			}
			job := s.Jobs[attempt.Job]
			if job == nil {
				return teamQuota{} // of a job that has ended; its team is not known
			}
			if job.Record.Job.Team == team {
				remaining.cores -= job.Record.Job.Cores
				remaining.gpus -= job.Record.Job.GPUs
			}
		}
	}
	return remaining
}

// withinGuarantee: a team whose unfinished jobs fit into its guarantee need not wait for
// others.
func (s *Shard) withinGuarantee(team string) bool {
	config := s.controller.Settings().Team(team)
	if config == nil || config.Cores <= 0 && config.GPUs <= 0 {
		return false
	}
	cores, gpus := s.controller.TeamDemand(team)
	return cores <= config.Cores+epsilon && gpus <= config.GPUs+epsilon
}

// exceedsGuarantee tells whether a team, another than the requester's, runs more here than
// its guarantee.
func (s *Shard) exceedsGuarantee(team, requester string) bool {
	if team == requester {
		return false
	}
	var cores, gpus float64
	for _, job := range s.Jobs {
		if job.Record.Job.Team == team {
			cores += job.Record.Job.Cores * float64(job.placedTasks)
			gpus += job.Record.Job.GPUs * float64(job.placedTasks)
		}
	}
	config := s.controller.Settings().Team(team)
	return config == nil || cores > config.Cores+epsilon || gpus > config.GPUs+epsilon
}
