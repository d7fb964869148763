package shard

import (
	"math"
	"testing"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

func TestTeamQuota(t *testing.T) {
	quota := teamQuota{cores: 3, gpus: 2}
	for _, test := range []struct {
		name   string
		spec   protocol.Job
		tasks  int
		allows bool
	}{
		{"cores", protocol.Job{Cores: 1}, 3, true},
		{"GPUs", protocol.Job{Cores: 1, GPUs: 1}, 2, true},
		{"none", protocol.Job{Cores: 4}, 0, false},
		{"below the quota", protocol.Job{Cores: 0.1}, 5, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if tasks := quota.limitTasks(&test.spec, 5); tasks != test.tasks {
				t.Errorf("%d tasks, want %d", tasks, test.tasks)
			}
			if allows := quota.allowsTask(&test.spec); allows != test.allows {
				t.Errorf("allows one more task: %v, want %v", allows, test.allows)
			}
		})
	}
}

// No task of a team with a limit starts while it is unknown which tasks one of the machines runs.
func TestRemainingTeamQuota(t *testing.T) {
	for _, test := range []struct {
		name   string
		team   settings.Team
		change func(shard *Shard)
		want   teamQuota
	}{
		{"team without a limit", settings.Team{Name: "t", Cores: 2}, nil, teamQuota{math.Inf(1), math.Inf(1)}},
		{"unknown team", settings.Team{Name: "other", CoresMax: 8}, nil, teamQuota{math.Inf(1), math.Inf(1)}},
		{"limit minus running tasks", settings.Team{Name: "t", CoresMax: 8}, nil, teamQuota{6, math.Inf(1)}},
		{"GPU limit", settings.Team{Name: "t", GPUsMax: 3}, nil, teamQuota{math.Inf(1), 3}},
		{"machine not reconciled", settings.Team{Name: "t", CoresMax: 8}, func(shard *Shard) {
			shard.Machines["i-1"].Reconciled = false
		}, teamQuota{}},
		{"attempt of a finished job", settings.Team{Name: "t", CoresMax: 8}, func(shard *Shard) {
			delete(shard.Jobs, "wk-1")
		}, teamQuota{}},
		{"ended attempt", settings.Team{Name: "t", CoresMax: 8}, func(shard *Shard) {
			for _, attempt := range shard.Machines["i-1"].Attempts {
				attempt.State = protocol.TaskEnded
				break
			}
		}, teamQuota{7, math.Inf(1)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, shard := newShardWithQueuedJob(t) // two tasks of one core are placed
			shard.Jobs["wk-1"].Record.Job.Team = "t"
			shard.controller.Settings().Deployment.Teams = []settings.Team{test.team}
			if test.change != nil {
				test.change(shard)
			}
			if quota := shard.remainingTeamQuota("t"); quota != test.want {
				t.Errorf("remaining %+v, want %+v", quota, test.want)
			}
		})
	}
}

func TestExceedsGuarantee(t *testing.T) {
	for _, test := range []struct {
		name      string
		teams     []settings.Team
		requester string
		want      bool
	}{
		{"above its guarantee", []settings.Team{{Name: "t", Cores: 1}}, "other", true},
		{"at its guarantee", []settings.Team{{Name: "t", Cores: 2}}, "other", false},
		{"no guarantee", nil, "other", true},
		{"the requester's own team", nil, "t", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, shard := newShardWithQueuedJob(t) // two tasks of one core are placed
			shard.Jobs["wk-1"].Record.Job.Team = "t"
			shard.controller.Settings().Deployment.Teams = test.teams
			if exceeds := shard.teamsOverGuarantee(test.requester)["t"]; exceeds != test.want {
				t.Errorf("exceeds its guarantee: %v, want %v", exceeds, test.want)
			}
		})
	}
}
