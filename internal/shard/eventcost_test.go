package shard

import (
	"fmt"
	"slices"
	"testing"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// These tests count how often an event goes over all tasks of a job or over all machines. They guard
// against events that do so once for each task, which keeps the event loop for a time that grows as
// the square of the tasks (docs/incidents/event-loop-blocked.md).

// countOperations returns how often the shard began an operation while run ran.
func countOperations(shard *Shard, operation Operation, run func()) int {
	controller := shard.controller.(*fakeController)
	before := controller.operations[operation]
	run()
	return controller.operations[operation] - before
}

// newShardWithGang returns a shard with a launched gang.
func newShardWithGang(t *testing.T, tasks int) (*Shard, *QueuedJob, *Machine) {
	t.Helper()
	shard, job, machine := newShardWithTinyTasks(t, protocol.ShapeGang, tasks, true)
	launchAll(t, shard, job, machine)
	return shard, job, machine
}

func TestGangIsCompletedOnce(t *testing.T) {
	shard, job, machine := newShardWithGang(t, 100)
	report := reportOf(machine, 2, protocol.TaskEnded, protocol.CauseDone)
	count := countOperations(shard, OperationCompleteGang, func() { shard.HandleReport(machine, report, agent.Posted) })
	if count != 1 || job.remainingTasks != 0 || job.placedTasks != 0 {
		t.Errorf("the gang's tasks were marked as done %d times, want 1; %d remain, %d are placed", count, job.remainingTasks, job.placedTasks)
	}
}

func TestFailedGangIsStoppedOnce(t *testing.T) {
	shard, job, machine := newShardWithGang(t, 100)
	report := reportOf(machine, 2, protocol.TaskEnded, protocol.CauseGangMemberLost)
	report.Tasks[0].State = protocol.TaskRunning
	count := countOperations(shard, OperationStopGang, func() { shard.HandleReport(machine, report, agent.Posted) })
	if count != 1 {
		t.Errorf("the gang's tasks were stopped %d times, want 1", count)
	}
	for _, placed := range job.placements {
		if !placed.attempt.StopRequested {
			t.Errorf("%v is not stopped", placed.attempt)
		}
	}
	if job.placedTasks != 1 || !job.gangFailed {
		t.Errorf("%d tasks are placed, want 1", job.placedTasks)
	}
}

func TestStoppedGangIsClearedOnce(t *testing.T) {
	shard, job, machine := newShardWithGang(t, 100)
	count := countOperations(shard, OperationStopGang, func() {
		shard.stopAttempt(job, job.sortedPlacements()[0], "test")
		shard.HandleReport(machine, reportOf(machine, 2, protocol.TaskEnded, protocol.CauseStopped), agent.Posted)
	})
	if count != 1 || job.placedTasks != 0 || job.gangFailed || job.gangStopping || job.gangCleared || job.gangAttempt != 0 {
		t.Errorf("stopped %d times, want 1; state %+v", count, job)
	}
}

// The stops of a machine that had commands in flight when its gang failed are sent at the next end of
// a task of the gang.
func TestMachinesOfFailedGangAreCheckedAgain(t *testing.T) {
	_, shard := newTestShard(t)
	addTestMachine(t, shard, "i-1")
	addTestMachine(t, shard, "i-2")
	spec := protocol.Job{ID: "wk-1", Shape: protocol.ShapeGang, Tasks: 8, Cores: 1, Estimate: 9}
	shard.UpdateJob(spec.ID, &JobRecord{Job: spec, ChunkSize: spec.Tasks, ChunkShards: []int{0}}, 3)
	shard.Jobs["wk-1"].recordedMachines.every = true
	launchAll(t, shard, shard.Jobs["wk-1"], shard.Machines["i-1"])
	first, second := shard.Machines["i-1"], shard.Machines["i-2"]
	second.NextCommands(agent.InAnswer, true, shard.controller.Now())
	second.CommandsSent()
	report := reportOf(first, 2, protocol.TaskRunning, "")
	report.Tasks[0].State, report.Tasks[0].Cause = protocol.TaskEnded, protocol.CauseError
	shard.HandleReport(first, report, agent.Posted)
	second.CommandsAnswered()
	controller := shard.controller.(*fakeController)
	controller.sentTo = nil
	report = reportOf(first, 3, protocol.TaskEnded, protocol.CauseStopped)
	shard.HandleReport(first, report, agent.Posted)
	if !slices.Contains(controller.sentTo, "i-2") {
		t.Errorf("commands were sent to %v, want i-2 among them", controller.sentTo)
	}
}

// A task of a failed attempt that a machine reports late, after a takeover, is stopped as well.
func TestLateTaskOfFailedGangIsStopped(t *testing.T) {
	shard, job, machine := newShardWithTinyTasks(t, protocol.ShapeGang, 3, true)
	report := newTestReport(machine.ID, 2)
	for _, task := range []string{"wk-1/0", "wk-1/1"} {
		report.Tasks = append(report.Tasks, protocol.TaskReport{Task: task, Attempt: 7, State: protocol.TaskRunning})
	}
	shard.HandleReport(machine, report, agent.Posted)
	report = reportOf(machine, 3, protocol.TaskRunning, "")
	report.Tasks[0].State, report.Tasks[0].Cause = protocol.TaskEnded, protocol.CauseError
	shard.HandleReport(machine, report, agent.Posted)
	late := protocol.TaskReport{Task: "wk-1/2", Attempt: 7, State: protocol.TaskRunning}
	report = reportOf(machine, 4, protocol.TaskRunning, "")
	report.Tasks[0].State, report.Tasks[0].Cause = protocol.TaskEnded, protocol.CauseError
	report.Tasks[1].State, report.Tasks[1].Cause = protocol.TaskEnded, protocol.CauseStopped
	report.Tasks = append([]protocol.TaskReport{late}, report.Tasks...)
	shard.HandleReport(machine, report, agent.Posted)
	placed := job.placements[agent.TaskID{Job: "wk-1", Index: 2}]
	if placed == nil || !placed.attempt.StopRequested {
		t.Errorf("the late task is not stopped: %+v", placed)
	}
}

func TestSuspectsAreEvaluatedOncePerReport(t *testing.T) {
	shard, job, machine := newShardWithTinyTasks(t, protocol.ShapeArray, 100, true)
	launchAll(t, shard, job, machine)
	report := reportOf(machine, 2, protocol.TaskEnded, protocol.CauseError)
	count := countOperations(shard, OperationEvaluateSuspects, func() { shard.HandleReport(machine, report, agent.Posted) })
	if count != 1 {
		t.Errorf("the suspects were evaluated %d times for one report, want 1", count)
	}
	if job.failuresByMachine[machine.ID] != 100 {
		t.Errorf("%d failures on the machine, want 100", job.failuresByMachine[machine.ID])
	}
}

// The end of a job must not cost more because of other jobs' attempts.
func TestFinishedJobVisitsItsMachinesOnly(t *testing.T) {
	shard, job, machine := newShardWithTinyTasks(t, protocol.ShapeArray, 3, true)
	launchAll(t, shard, job, machine)
	for _, id := range []string{"i-2", "i-3"} {
		addTestMachine(t, shard, id)
	}
	count := countOperations(shard, OperationRemoveAttempts, func() { shard.UpdateJob("wk-1", nil, 0) })
	if count != 1 {
		t.Errorf("%d machines were searched for the job's attempts, want 1", count)
	}
	for _, attempt := range machine.Attempts {
		if !attempt.StopRequested || !attempt.Orphaned {
			t.Errorf("%v goes on", attempt)
		}
	}
}

// A pass must not go over the attempts of all machines for each job of a team with a limit.
func TestPassSumsUpTeamUsageOncePerChange(t *testing.T) {
	shard, job, machine := newShardWithTinyTasks(t, protocol.ShapeArray, 20, true)
	launchAll(t, shard, job, machine)
	shard.controller.Settings().Deployment.Teams = []settings.Team{{Name: "limited", CoresMax: 2}}
	for _, id := range []string{"wk-2", "wk-3", "wk-4"} {
		spec := protocol.Job{ID: id, Team: "limited", Shape: protocol.ShapeArray, Tasks: 5, Cores: 1}
		shard.UpdateJob(id, &JobRecord{Job: spec, ChunkSize: 5, ChunkShards: []int{0}}, 3)
		shard.Jobs[id].recordedMachines.every = true
	}
	shard.Schedule()
	if used := shard.teamUsageOf(machine).byTeam["limited"]; used.cores != 2 {
		t.Fatalf("the team uses %v cores, want its limit, 2", used.cores)
	}
	if count := countOperations(shard, OperationTeamUsage, shard.Schedule); count != 0 {
		t.Errorf("a pass over unchanged machines sums up the usage of %d machines, want 0", count)
	}
}

// A pass that places very many tasks must not keep the event loop; the next passes place the rest.
func TestPassPlacesBoundedNumberOfTasks(t *testing.T) {
	shard, job, _ := newShardWithTinyTasks(t, protocol.ShapeArray, 3*maxPassPlacements, true)
	for i := range 100 {
		addTestMachine(t, shard, fmt.Sprintf("i-1%02d", i))
	}
	for pass := 1; pass <= 3; pass++ {
		shard.Schedule()
		if job.placedTasks != pass*maxPassPlacements {
			t.Fatalf("%d tasks are placed after %d passes, want %d", job.placedTasks, pass, pass*maxPassPlacements)
		}
		if !shard.needsPass || shard.headJob != nil {
			t.Errorf("after pass %d: needs a pass %v, head %v", pass, shard.needsPass, shard.headJob)
		}
	}
}

// The checks of machines in a tick must not go over all machines for each failing machine.
func TestFailingMachinesAreCountedOncePerTick(t *testing.T) {
	_, shard := newTestShard(t)
	for i := range 10 {
		addTestMachine(t, shard, fmt.Sprintf("i-%d", i))
	}
	for _, machine := range shard.Machines {
		silentSince := shard.controller.Now() - shard.leaseDuration()
		machine.LastHeartbeat, machine.LastContact = silentSince, silentSince
	}
	if count := countOperations(shard, OperationCountFailing, shard.Tick); count != 1 {
		t.Errorf("the failing machines were counted %d times, want once", count)
	}
}
