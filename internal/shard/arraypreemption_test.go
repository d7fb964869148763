package shard

import (
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// Found on a day of late boots: 16,800 tasks of lower priority were preempted in three
// minutes on machines that are kept as headroom for gangs. An array may not start there,
// the preempted tasks did, and were preempted again.
func TestNoPreemptionOnHeadroomMachines(t *testing.T) {
	largeGang := LargeJob{
		Job:      protocol.Job{Class: "g", Shape: protocol.ShapeGang, Tasks: 2, Cores: 4, Priority: 2},
		LastSeen: time.Minute,
	}
	for _, test := range []struct {
		name  string
		large map[string]LargeJob
		stops bool
	}{
		{"no large job was seen", nil, true},
		{"the machine is kept as headroom", map[string]LargeJob{"g": largeGang}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, shard := newShardWithQueuedJob(t)
			shard.controller = newHeadroomController(shard, test.large)
			machine := shard.Machines["i-1"]
			shard.UpdateJob("wk-1", nil, 0)
			shard.UpdateJob("wk-2", arrayRecord(protocol.Job{
				ID:                 "wk-2",
				Tasks:              4,
				Estimate:           300,
				CheckpointInterval: 10,
				CheckpointDuration: 1,
			}), 4)
			shard.Schedule()
			for _, attempt := range machine.Attempts {
				attempt.State, attempt.StartedAt = protocol.TaskRunning, shard.controller.Now()
			}
			shard.UpdateJob("wk-3", arrayRecord(protocol.Job{
				ID:       "wk-3",
				Tasks:    4,
				Estimate: 30,
				Priority: 1,
				Deadline: 60,
			}), 5)
			shard.Schedule()
			stops := false
			for _, attempt := range machine.Attempts {
				stops = stops || attempt.StopRequested
			}
			if stops != test.stops {
				t.Errorf("tasks are stopped %v, want %v", stops, test.stops)
			}
		})
	}
}

// arrayRecord is the record of an array of one-core tasks in one chunk, accepted now, that
// may run on spot instances.
func arrayRecord(spec protocol.Job) *JobRecord {
	spec.Shape, spec.Cores, spec.AllowSpot = protocol.ShapeArray, 1, true
	return &JobRecord{Job: spec, ChunkSize: spec.Tasks, ChunkShards: []int{0}, AcceptedAt: testTimeOfDay}
}

func TestSortVictims(t *testing.T) {
	shard := &Shard{Jobs: map[string]*QueuedJob{}}
	for id, acceptedAt := range map[string]float64{"old": 1, "young": 2} {
		shard.Jobs[id] = &QueuedJob{Record: &JobRecord{AcceptedAt: acceptedAt}}
	}
	search := &arrayPreemption{shard: shard}
	victims := []victim{
		testVictim("old", 1, 90),
		testVictim("old", 2, 10),
		testVictim("young", 3, 12),
		testVictim("young", 4, 0),
	}
	search.sortVictims(victims)
	var order []int
	for i := range victims {
		order = append(order, victims[i].attempt.Index)
	}
	// The third and the second cost about the same; the younger job's goes first.
	for i, want := range []int{4, 3, 2, 1} {
		if order[i] != want {
			t.Fatalf("order %v, want 4, 3, 2, 1", order)
		}
	}
}
