package shard

import (
	"testing"

	"curlewspool/internal/protocol"
)

// Found in an incident (inc-81b8): a part changed hands, its new owner wrote nothing
// of what the one before held against a job, the owners of its other parts called it
// all right, and its tasks were all tried once more.
func TestNewOwnerKeepsFailureEvidence(t *testing.T) {
	env, shard := newShardWithQueuedJob(t)
	shard.UpdateJob("wk-5", &JobRecord{Job: protocol.Job{ID: "wk-5", Shape: protocol.ShapeArray, Tasks: 9, Cores: 1, Estimate: 9}, ChunkSize: 9, ChunkShards: []int{0}}, 4)
	shard.UpdateProgress("wk-5", 0, &Progress{FaultEvidence: 9})
	shard.Tick()
	env.settle()
	if !shard.Jobs["wk-5"].suspect {
		t.Fatal("the new owner takes the job for good")
	}
	for _, txn := range env.sent {
		for _, op := range txn.Mutations {
			var rec Progress
			if op.Put == ProgressKey("wk-5", 0) && protocol.Decode(op.Value, &rec) == nil && rec.FaultEvidence > 8 {
				return
			}
		}
	}
	t.Errorf("the evidence is not told on: %v", env.sent)
}
