package shard

import (
	"fmt"
	"testing"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// newShardWithTinyTasks returns a shard with one machine and one job whose tasks take nothing of the
// machine. No launch waits for a progress write if isRecorded is set.
func newShardWithTinyTasks(t testing.TB, shape protocol.JobShape, tasks int, isRecorded bool) (*Shard, *QueuedJob, *Machine) {
	t.Helper()
	_, shard := newTestShard(t)
	addTestMachine(t, shard, "i-1")
	spec := protocol.Job{ID: "wk-1", Shape: shape, Tasks: tasks, Estimate: 9}
	shard.UpdateJob(spec.ID, &JobRecord{Job: spec, ChunkSize: tasks, ChunkShards: []int{0}}, 3)
	job := shard.Jobs[spec.ID]
	job.recordedMachines.every = isRecorded
	return shard, job, shard.Machines["i-1"]
}

// launchAll places all tasks of the job and records their launches as sent.
func launchAll(t testing.TB, shard *Shard, job *QueuedJob, machine *Machine) {
	t.Helper()
	shard.Schedule()
	for job.placedTasks > 0 && len(machine.NextCommands(agent.InAnswer, true, shard.controller.Now())) > 0 {
	}
	if job.idleTasks > 0 {
		t.Fatalf("%d of %d tasks were not placed", job.idleTasks, job.localTasks)
	}
}

// TestEventsCheckEachMachineOnce guards against events that check the commands of a machine once for
// each of its tasks, and so keep the event loop for a time that grows as the square of the tasks
// (docs/incidents/event-loop-blocked.md).
func TestEventsCheckEachMachineOnce(t *testing.T) {
	type event func(t *testing.T, tasks int) (checks int)
	countChecks := func(shard *Shard, run func()) int {
		controller := shard.controller.(*fakeController)
		before := controller.launchChecks
		run()
		return controller.launchChecks - before
	}
	for _, test := range []struct {
		name string
		run  event
	}{
		{"placement", func(t *testing.T, tasks int) int {
			shard, _, _ := newShardWithTinyTasks(t, protocol.ShapeArray, tasks, false)
			return countChecks(shard, shard.Schedule)
		}},
		{"progress write is stored", func(t *testing.T, tasks int) int {
			shard, job, _ := newShardWithTinyTasks(t, protocol.ShapeArray, tasks, false)
			shard.Schedule()
			write := &progressWrite{shard: shard, job: job}
			write.build("nonce")
			return countChecks(shard, func() { write.finish(true, 1) })
		}},
		{"gang is preempted", func(t *testing.T, tasks int) int {
			shard, job, machine := newShardWithTinyTasks(t, protocol.ShapeGang, tasks, true)
			launchAll(t, shard, job, machine)
			victim := job.sortedPlacements()[0]
			return countChecks(shard, func() {
				shard.stopAttempt(job, victim, "test")
				shard.finishCommandRequests()
			})
		}},
		{"task of a gang fails", func(t *testing.T, tasks int) int {
			shard, job, machine := newShardWithTinyTasks(t, protocol.ShapeGang, tasks, true)
			launchAll(t, shard, job, machine)
			report := reportOf(machine, 2, protocol.TaskRunning, "")
			report.Tasks[0].State, report.Tasks[0].Cause = protocol.TaskEnded, protocol.CauseError
			return countChecks(shard, func() { shard.HandleReport(machine, report, agent.Posted) })
		}},
		{"unknown tasks are reported", func(t *testing.T, tasks int) int {
			shard, _, machine := newShardWithTinyTasks(t, protocol.ShapeArray, 1, true)
			report := newTestReport(machine.ID, 2)
			for i := range tasks {
				report.Tasks = append(report.Tasks, protocol.TaskReport{Task: fmt.Sprintf("wk-9/%d", i), Attempt: 1, State: protocol.TaskRunning})
			}
			return countChecks(shard, func() { shard.HandleReport(machine, report, agent.Posted) })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			few, many := test.run(t, 5), test.run(t, 400)
			if few != many {
				t.Errorf("%d checks for 5 tasks, %d for 400 tasks on the same machine", few, many)
			}
		})
	}
}

// reportOf returns a report that lists all attempts on the machine in one state.
func reportOf(machine *Machine, sequence uint64, state protocol.TaskState, cause protocol.TerminationCause) *protocol.Report {
	report := newTestReport(machine.ID, sequence)
	report.FencingToken = machine.FencingToken
	for _, id := range machine.AttemptIDs() {
		report.Tasks = append(report.Tasks, protocol.TaskReport{Task: id.String(), Attempt: id.Number, State: state, Cause: cause})
	}
	return report
}
