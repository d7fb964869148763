package shard

import (
	"testing"

	"curlewspool/internal/protocol"
)

// Found in an incident (inc-81b8): a shard changed hands, its new owner did not
// write the evidence that the one before had against a job, the owners of the job's other
// shards cleared it, and its tasks were all tried once more.
func TestNewOwnerKeepsFailureEvidence(t *testing.T) {
	env, shard := newShardWithQueuedJob(t)
	shard.UpdateJob("wk-5", &JobRecord{
		Job:         protocol.Job{ID: "wk-5", Shape: protocol.ShapeArray, Tasks: 9, Cores: 1, Estimate: 9},
		ChunkSize:   9,
		ChunkShards: []int{0},
	}, 4)
	shard.UpdateProgress("wk-5", 0, &Progress{FaultEvidence: 9})
	shard.Tick()
	env.settle()
	if !shard.Jobs["wk-5"].suspect {
		t.Fatal("the new owner does not suspect the job")
	}
	for _, txn := range env.sent {
		for _, op := range txn.Mutations {
			var rec Progress
			if op.Put == ProgressKey("wk-5", 0) && protocol.Decode(op.Value, &rec) == nil && rec.FaultEvidence > 8 {
				return
			}
		}
	}
	t.Errorf("the evidence is not written on: %v", env.sent)
}
