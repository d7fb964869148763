package shard

import (
	"testing"

	"curlewspool/internal/protocol"
)

// Found on a hunted day: a gang of three waited for 416 s in a part that could hold it,
// but whose large machines others held for minutes; later gangs began at once elsewhere.
// What it lacks is told once it should have begun soon, and no more once it has; what
// has not begun gains, whatever its rank, and is let run for a while.
func TestLateStartBoost(t *testing.T) {
	for _, test := range []struct {
		age   float64
		late  int
		gains bool
	}{{0, 0, false}, {59, 0, false}, {61, 0, true}, {119, 0, true}, {121, 1, true}, {500, 1, true}} {
		_, shard := newShardWithQueuedJob(t) // one machine of 4 cores, two tasks of one core there
		shard.UpdateJob("wk-2", &JobRecord{Job: protocol.Job{ID: "wk-2", Shape: protocol.ShapeGang, Tasks: 2, Cores: 2, Estimate: 9}, ChunkSize: 2, ChunkShards: []int{0}, AcceptedAt: shard.controller.WallSeconds() - test.age}, 4)
		job, now := shard.Jobs["wk-2"], shard.controller.Now()
		if short, late := shard.missingTasks(job, now), shard.lateTasks(job, now); short != 0 || late != test.late {
			t.Errorf("after %v s: %d short and %d late, want 0 and %d", test.age, short, late, test.late)
		}
		if gains := shard.lateStartBoost(job, test.age) > 0; gains != test.gains {
			t.Errorf("after %v s it gains %v, want %v", test.age, gains, test.gains)
		}
		if test.age > 120 && shard.lateStartBoost(job, test.age) < 3*shard.controller.Settings().Score.Priority {
			t.Errorf("after %v s it gains less than any rank is worth", test.age)
		}
		shard.UpdateJob("wk-1", nil, 0) // room for both
		shard.Schedule()
		if job.placedTasks != 2 || shard.lateStartBoost(job, test.age) != 0 || shard.lateTasks(job, now) != 0 || shard.isPreemptionProtected(job, now) != test.gains {
			t.Errorf("after %v s, begun: %d placed, gains %v, %d late, let run %v", test.age, job.placedTasks, shard.lateStartBoost(job, test.age), shard.lateTasks(job, now), shard.isPreemptionProtected(job, now))
		}
	}
}
