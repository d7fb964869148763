package simulator

import (
	"testing"

	"curlewspool/internal/protocol"
)

// A user submits an array and a gang of thousands of tasks that take nothing of their machines, while
// ordinary jobs run, and a controller crashes. The ordinary jobs are done in time, no machine's report
// exceeds the protocol's limit, and no machine lease expires (docs/incidents/event-loop-blocked.md).
func TestThousandsOfTinyTasks(t *testing.T) {
	cluster := NewClusterOf(29, 3)
	cluster.ServeAPI()
	addMachines(cluster, 6, 0)
	withoutMemory := func(submission *protocol.Submission) {
		submission.MemoryGB = new(0.0)
		submission.Priority = new("best_effort")
	}
	cluster.Submit(5, NewSubmission("wk-1", protocol.ShapeArray, 3, 1, 30))
	cluster.Submit(7, NewSubmission("wk-2", protocol.ShapeArray, 6000, 0, 5, withoutMemory, inSingleZone))
	cluster.Submit(8, NewSubmission("wk-3", protocol.ShapeGang, 900, 0, 60, withoutMemory))
	cluster.Submit(30, NewSubmission("wk-4", protocol.ShapeArray, 3, 1, 20))
	cluster.restartController(20, 3, cluster.largestOwner)
	cluster.Cancel(26, "wk-3")
	cluster.Start()
	cluster.Run(150)
	expectNoViolations(t, cluster, "tiny tasks")
	expectStatus(t, cluster, protocol.JobDone, "wk-1", "wk-2", "wk-4")
	expectStatus(t, cluster, protocol.JobCancelled, "wk-3")
	for _, id := range cluster.machineIDs() {
		if incarnation := cluster.Machines[id].incarnation; incarnation != 1 {
			t.Errorf("the lease of %s expired %d times", id, incarnation-1)
		}
	}
}
