package shard

import (
	"testing"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// TestMachineHasNoMoreTasksThanItsReportLists guards against an array of tiny tasks that is placed on
// one machine as a whole: the machine's reports would be refused as too large, and all tasks on it
// lost (docs/incidents/event-loop-blocked.md).
func TestMachineHasNoMoreTasksThanItsReportLists(t *testing.T) {
	shard, job, machine := newShardWithTinyTasks(t, protocol.ShapeArray, protocol.MaxTasks, true)
	reported := protocol.ReportCapacity / protocol.TaskReportSize(job.Record.Job.ID)
	shard.Schedule()
	if job.placedTasks != reported {
		t.Fatalf("%d tasks are placed on one machine, want %d", job.placedTasks, reported)
	}
	for len(machine.NextCommands(agent.InAnswer, true, shard.controller.Now())) > 0 {
	}
	shard.HandleReport(machine, reportOf(machine, 2, protocol.TaskEnded, protocol.CauseDone), agent.Posted)
	shard.Schedule()
	if job.placedTasks != 0 {
		t.Errorf("%d tasks are placed while the machine still reports ended ones, want 0", job.placedTasks)
	}
	acknowledgeEnds(shard, machine)
	shard.Schedule()
	if job.placedTasks != reported || job.localDone != reported {
		t.Errorf("%d tasks are placed and %d done after the agent has forgotten the ended ones, want %d and %d",
			job.placedTasks, job.localDone, reported, reported)
	}
}

// TestPartlyFullReportLimitsMoves guards against chunks that move to a shard whose machines have free
// cores but cannot list the chunk's tasks in their reports.
func TestPartlyFullReportLimitsMoves(t *testing.T) {
	shard, job, machine := newShardWithTinyTasks(t, protocol.ShapeArray, 1000, true)
	shard.Schedule()
	machine.reservation = nil // machines that are reserved for the head of the queue are not in the status
	status, _ := shard.Status(1)
	if len(status.FreeCapacity) != 1 {
		t.Fatalf("%d machines with free capacity, want 1", len(status.FreeCapacity))
	}
	if fitting := CountFitting(shard.controller, &job.Record.Job, status.FreeCapacity[0], false); fitting != 0 {
		t.Errorf("%d tasks seem to fit on a machine whose report is full, want 0", fitting)
	}
	status.FreeCapacity[0].ReportBytes = nil // as sent by an older program
	if fitting := CountFitting(shard.controller, &job.Record.Job, status.FreeCapacity[0], false); fitting == 0 {
		t.Error("no task seems to fit on a machine of which an older program reports free cores")
	}
}
