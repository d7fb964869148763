package shard

import (
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

// headroomHost is a host with a large job seen lately, and deadlines of jobs.
type headroomHost struct {
	*fakeController
	largeJobs map[string]LargeJob
}

func (h *headroomHost) LargeJobs() map[string]LargeJob      { return h.largeJobs }
func (h *headroomHost) Deadlines(j *protocol.Job) []float64 { return []float64{j.Deadline} }

// Found on a day of late boots: 16,800 tasks of lower rank were stopped in three
// minutes on machines that are kept for gangs. An array may not start there, the
// stopped tasks did, and were stopped again.
func TestNoPreemptionOnHeadroomMachines(t *testing.T) {
	for _, test := range []struct {
		name  string
		large map[string]LargeJob
		stops bool
	}{
		{"nothing large was seen", nil, true},
		{"the machine is kept", map[string]LargeJob{"g": {Job: protocol.Job{Class: "g", Shape: protocol.ShapeGang, Tasks: 2, Cores: 4, Priority: 2}, LastSeen: time.Minute}}, false},
	} {
		_, shard := newShardWithQueuedJob(t)
		shard.controller = &headroomHost{shard.controller.(*fakeController), test.large}
		machine := shard.Machines["i-1"]
		shard.UpdateJob("wk-1", nil, 0)
		shard.UpdateJob("wk-2", &JobRecord{Job: protocol.Job{ID: "wk-2", Shape: protocol.ShapeArray, Tasks: 4, Cores: 1, Estimate: 300, CheckpointInterval: 10, CheckpointDuration: 1, AllowSpot: true}, ChunkSize: 4, ChunkShards: []int{0}, AcceptedAt: 1_700_000_000}, 4)
		shard.Schedule()
		for _, attempt := range machine.Attempts {
			attempt.State, attempt.StartedAt = protocol.TaskRunning, shard.controller.Now()
		}
		shard.UpdateJob("wk-3", &JobRecord{Job: protocol.Job{ID: "wk-3", Shape: protocol.ShapeArray, Tasks: 4, Cores: 1, Estimate: 30, Priority: 1, Deadline: 60, AllowSpot: true}, ChunkSize: 4, ChunkShards: []int{0}, AcceptedAt: 1_700_000_000}, 5)
		shard.Schedule()
		stops := false
		for _, attempt := range machine.Attempts {
			stops = stops || attempt.StopRequested
		}
		if stops != test.stops {
			t.Errorf("%s: tasks are stopped %v, want %v", test.name, stops, test.stops)
		}
	}
}
