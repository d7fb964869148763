package shard

import (
	"math"

	"curlewspool/internal/protocol"
)

// teamQuota is a number of cores and GPUs that a team uses or may still use. A number without a limit
// is infinite.
type teamQuota struct {
	cores float64
	gpus  float64
}

// allowsTask reports whether one more task of a job is within the quota.
func (q teamQuota) allowsTask(spec *protocol.Job) bool {
	return q.cores >= spec.Cores && q.gpus >= spec.GPUs
}

// limitTasks reduces a number of tasks of a job to the number that the quota allows.
func (q teamQuota) limitTasks(spec *protocol.Job, tasks int) int {
	if spec.Cores > 0 {
		tasks = int(min(float64(tasks), math.Floor(q.cores/spec.Cores+epsilon)))
	}
	if spec.GPUs > 0 {
		tasks = int(min(float64(tasks), math.Floor(q.gpus/spec.GPUs+epsilon)))
	}
	return tasks
}

// remainingTeamQuota returns the quota that a team has left. Only this shard's tasks are subtracted,
// because all jobs of a team with a limit are in one shard. The quota is zero while it is unknown
// which tasks a machine runs, or to which team one of its tasks belongs.
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
	for _, machine := range s.machinesByID() {
		usage := s.teamUsageOf(machine)
		if !machine.Reconciled || usage.hasUnknownJob {
			return teamQuota{}
		}
		used := usage.byTeam[team]
		remaining.cores -= used.cores
		remaining.gpus -= used.gpus
	}
	return remaining
}

// teamUsage is what the attempts on a machine that have not ended use, by team.
type teamUsage struct {
	byTeam        map[string]teamQuota
	hasUnknownJob bool // whether any of them belongs to a job that is not in the shard, so that its team is unknown
}

// teamUsageOf returns the usage on a machine. The result is cached until the machine's attempts
// change, because each scheduling pass needs it for each job of a team with a limit.
func (s *Shard) teamUsageOf(machine *Machine) *teamUsage {
	if machine.teamUsageVersion != machine.Version {
		machine.teamUsageVersion = machine.Version
		machine.teamUsage = s.computeTeamUsage(machine)
	}
	return &machine.teamUsage
}

func (s *Shard) computeTeamUsage(machine *Machine) teamUsage {
	s.beginMachineOperation(OperationTeamUsage, machine.ID)
	usage := teamUsage{byTeam: map[string]teamQuota{}}
	for _, attempt := range machine.Attempts {
		if attempt.HasEnded() {
			continue
		}
		job := s.Jobs[attempt.Job]
		if job == nil {
			usage.hasUnknownJob = true
			continue
		}
		spec := &job.Record.Job
		used := usage.byTeam[spec.Team]
		used.cores += spec.Cores
		used.gpus += spec.GPUs
		usage.byTeam[spec.Team] = used
	}
	return usage
}

// withinGuarantee reports whether all unfinished tasks of a team together fit into its guarantee.
// The team's jobs are then scheduled ahead of the jobs of teams for which this is false.
func (s *Shard) withinGuarantee(team string) bool {
	config := s.controller.Settings().Team(team)
	if config == nil || config.Cores <= 0 && config.GPUs <= 0 {
		return false
	}
	cores, gpus := s.controller.TeamDemand(team)
	return cores <= config.Cores+epsilon && gpus <= config.GPUs+epsilon
}

// placedByTeam returns what the placed tasks of each team use in this shard.
func (s *Shard) placedByTeam() map[string]teamQuota {
	byTeam := map[string]teamQuota{}
	for _, job := range s.jobsByID() {
		spec := &job.Record.Job
		used := byTeam[spec.Team]
		used.cores += spec.Cores * float64(job.placedTasks)
		used.gpus += spec.GPUs * float64(job.placedTasks)
		byTeam[spec.Team] = used
	}
	return byTeam
}

// teamsOverGuarantee returns the teams whose tasks in this shard use more than the team's guarantee. A
// team without settings has no guarantee. The requesting team itself is left out.
func (s *Shard) teamsOverGuarantee(requester string) map[string]bool {
	over := map[string]bool{}
	for team, used := range s.placedByTeam() {
		config := s.controller.Settings().Team(team)
		exceeds := config == nil || used.cores > config.Cores+epsilon || used.gpus > config.GPUs+epsilon
		over[team] = team != requester && exceeds
	}
	return over
}
