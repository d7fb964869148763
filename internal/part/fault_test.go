package part

import (
	"testing"

	"curlewspool/internal/wire"
)

// Found in an incident (inc-81b8): a part changed hands, its new owner wrote nothing
// of what the one before held against a job, the owners of its other parts called it
// all right, and its tasks were all tried once more.
func TestEvidencePassesOn(t *testing.T) {
	w, p := queued(t)
	p.OnJob("wk-5", &JobRecord{Job: wire.Job{ID: "wk-5", Shape: wire.Array, Tasks: 9, Cores: 1, Estimate: 9}, Chunk: 9, Parts: []int{0}}, 4)
	p.OnProgress("wk-5", 0, &Progress{Against: 9})
	p.Tick()
	w.settle()
	if !p.Works["wk-5"].mistaken {
		t.Fatal("the new owner takes the job for good")
	}
	for _, txn := range w.sent {
		for _, op := range txn.Apply {
			var rec Progress
			if op.Put == ProgressKey("wk-5", 0) && wire.Decode(op.Value, &rec) == nil && rec.Against > 8 {
				return
			}
		}
	}
	t.Errorf("the evidence is not told on: %v", w.sent)
}
