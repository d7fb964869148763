package shard

import (
	"testing"
	"time"

	"curlewspool/internal/protocol"
)

func TestCanBackfill(t *testing.T) {
	_, shard := newShardWithQueuedJob(t)
	now := shard.controller.Now()
	spec := &protocol.Job{Cores: 1, Estimate: 30, Class: "c"}
	for _, test := range []struct {
		name         string
		isReserved   bool
		reservedFrom time.Duration
		spareCores   float64
		want         bool
	}{
		{"not reserved", false, now, 0, true},
		{"ends before the head starts", true, now + 30*time.Second, 0, true},
		{"fits into unreserved resources", true, now, 1, true},
		{"delays the head", true, now + 29*time.Second, 0.5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			free := testCapacity("a", 4)
			free.machineType = shard.controller.MachineType("small")
			free.isReserved, free.reservedFrom = test.isReserved, test.reservedFrom
			free.unreserved = resources{cores: test.spareCores, reportBytes: protocol.ReportCapacity}
			if can := shard.canBackfill(free, spec, now); can != test.want {
				t.Errorf("can backfill: %v, want %v", can, test.want)
			}
		})
	}
}

// scheduleOnMachine, which runs between passes, keeps the reservation of the last pass. A task that
// would delay the head of the queue waits, and a task that ends before the reservation starts is
// placed.
func TestScheduleOnMachineKeepsReservation(t *testing.T) {
	_, shard := newShardWithQueuedJob(t) // one machine of 4 cores, on which two one-core tasks of 9 s are placed
	machine := shard.Machines["i-1"]
	shard.UpdateJob("wk-2", oneTaskRecord("wk-2", 4, 60), 4)
	shard.Schedule()
	if shard.headJob != shard.Jobs["wk-2"] || machine.reservation == nil {
		t.Fatalf("head %v, reservation %v, want wk-2 to be the head", shard.headJob, machine.reservation)
	}
	shard.UpdateJob("wk-3", oneTaskRecord("wk-3", 1, 300), 5)
	shard.UpdateJob("wk-4", oneTaskRecord("wk-4", 1, 3), 6)
	shard.scheduleOnMachine(machine)
	for id, want := range map[string]int{"wk-2": 0, "wk-3": 0, "wk-4": 1} {
		if placed := shard.Jobs[id].placedTasks; placed != want {
			t.Errorf("%s: %d tasks placed, want %d", id, placed, want)
		}
	}
}

// scheduleOnMachine, which runs between passes, starts the job at the head of the queue on its
// reserved machine as soon as the job fits there.
func TestScheduleOnMachineStartsHead(t *testing.T) {
	_, shard := newShardWithQueuedJob(t)
	machine := shard.Machines["i-1"]
	shard.UpdateJob("wk-2", oneTaskRecord("wk-2", 4, 60), 4)
	shard.Schedule()
	shard.UpdateJob("wk-1", nil, 0) // the placed tasks of wk-1 have not been launched yet
	shard.scheduleOnMachine(machine)
	if placed := shard.Jobs["wk-2"].placedTasks; placed != 1 {
		t.Errorf("%d tasks of the head placed, want 1", placed)
	}
}

// oneTaskRecord returns the record of a job of one task that is accepted now.
func oneTaskRecord(id string, cores, estimate float64) *JobRecord {
	return &JobRecord{
		Job:         protocol.Job{ID: id, Shape: protocol.ShapeArray, Tasks: 1, Cores: cores, Estimate: estimate},
		ChunkSize:   1,
		ChunkShards: []int{0},
		AcceptedAt:  testUnixTime,
	}
}
