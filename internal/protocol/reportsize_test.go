package protocol

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// largestTaskReport returns the JSON form of the largest task that a report can have for a job.
func largestTaskReport(t *testing.T, job string) string {
	t.Helper()
	encoded, err := json.Marshal(struct {
		Task         string           `json:"piece"`
		Attempt      uint64           `json:"try"`
		State        TaskState        `json:"status"`
		Cause        TerminationCause `json:"cause"`
		Checkpointed bool             `json:"kept"`
	}{job + "/99999", math.MaxUint64, TaskEnded, CauseGangMemberLost, false})
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded) + ","
}

// TestTasksFitIntoReport guards against machines with more tasks than their reports may list, whose
// reports are refused until all their tasks are lost.
func TestTasksFitIntoReport(t *testing.T) {
	for _, job := range []string{"wk-000412", "wk-" + strings.Repeat("x", 100)} {
		if size := len(largestTaskReport(t, job)); size > TaskReportSize(job) {
			t.Errorf("a task of %s takes %d bytes in a report, more than TaskReportSize, %d", job, size, TaskReportSize(job))
		}
		machine := &MachineType{Cores: 32, MemoryGB: 128}
		tasks := machine.TasksThatFit(&Job{ID: job}, MaxTasks)
		if tasks < 300 || reportHeaderBytes+tasks*len(largestTaskReport(t, job)) > MaxBodyBytes {
			t.Errorf("%d tasks of %s count as fitting on a machine", tasks, job)
		}
	}
}
