package shard

import (
	"slices"
	"testing"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
)

// testCapacity returns the free capacity of a machine with the given zone and free cores.
func testCapacity(zone string, cores float64) *freeCapacity {
	machine := &Machine{Machine: &agent.Machine{ID: "i-" + zone, Zone: zone}}
	return &freeCapacity{machine: machine, resources: resources{cores: cores, reportBytes: protocol.ReportCapacity}}
}

// testVictim returns a victim with the given job, task index and cost, and a gain of 100
// core-seconds.
func testVictim(job string, index int, cost float64) victim {
	attempt := &agent.Attempt{}
	attempt.Job, attempt.Index = job, index
	return victim{occupiedSlot: occupiedSlot{placement: placement{attempt: attempt}}, gain: 100, cost: cost}
}

func TestAppendStartOptions(t *testing.T) {
	const now = time.Minute
	oneCore, twoCores := &protocol.Job{Cores: 1}, &protocol.Job{Cores: 2}
	releases := []release{
		{endsAt: now + time.Second, spec: oneCore},
		{endsAt: now + 2*time.Second, spec: oneCore},
		{endsAt: now + 3*time.Second, spec: twoCores},
	}
	for _, test := range []struct {
		name      string
		freeCores float64
		needed    int
		startsAt  []time.Duration
		tasks     []int
	}{
		{"all now", 4, 2, []time.Duration{now}, []int{2}},
		{"one now, one later", 2, 2, []time.Duration{now, now + 2*time.Second}, []int{1, 2}},
		{"as attempts end", 0, 2, []time.Duration{now + 2*time.Second, now + 3*time.Second}, []int{1, 2}},
		{"never enough", 0, 9, []time.Duration{now + 2*time.Second, now + 3*time.Second}, []int{1, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			options := appendStartOptions(nil, testCapacity("a", test.freeCores), twoCores, releases, test.needed, now)
			var startsAt []time.Duration
			var tasks []int
			for _, option := range options {
				startsAt = append(startsAt, option.startsAt)
				tasks = append(tasks, option.tasks)
			}
			if !slices.Equal(startsAt, test.startsAt) || !slices.Equal(tasks, test.tasks) {
				t.Errorf("%v tasks at %v, want %v at %v", tasks, startsAt, test.tasks, test.startsAt)
			}
		})
	}
}

func TestEarliestReservation(t *testing.T) {
	const now = time.Minute
	a, b := testCapacity("a", 0), testCapacity("b", 0)
	options := []startOption{
		{capacity: a, startsAt: now, tasks: 1},
		{capacity: b, startsAt: now + time.Second, tasks: 1},
		{capacity: a, startsAt: now + 2*time.Second, tasks: 2},
		{capacity: b, startsAt: now + 3*time.Second, tasks: 4},
	}
	capacities := []*freeCapacity{a, b}
	for _, test := range []struct {
		name     string
		spec     protocol.Job
		needed   int
		wantNone bool
		startsAt time.Duration
	}{
		{"one task", protocol.Job{Tasks: 1}, 1, false, now},
		{"two tasks in any zones", protocol.Job{Tasks: 2}, 2, false, now + time.Second},
		{"two tasks in a single zone", protocol.Job{Tasks: 2, SingleZone: true}, 2, false, now + 2*time.Second},
		{"four tasks in a single zone", protocol.Job{Tasks: 4, SingleZone: true}, 4, false, now + 3*time.Second},
		{"four tasks in any zones", protocol.Job{Tasks: 4}, 4, false, now + 3*time.Second},
		{"four tasks spread", protocol.Job{Tasks: 4, SpreadZones: true}, 4, false, now + 3*time.Second},
		{"six tasks spread, at most three per zone", protocol.Job{Tasks: 6, SpreadZones: true}, 6, true, 0},
		{"seven tasks", protocol.Job{Tasks: 7}, 7, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			reservation := earliestReservation(&test.spec, options, candidateZones(&test.spec, capacities), test.needed, now)
			if (reservation == nil) != test.wantNone {
				t.Fatalf("reservation %v, want none: %v", reservation, test.wantNone)
			}
			if reservation != nil && reservation.startsAt != test.startsAt {
				t.Errorf("starts at %v, want %v", reservation.startsAt, test.startsAt)
			}
		})
	}
}

// Other jobs may use the resources that the head does not need, both before and after the head
// starts.
func TestReservationLeavesUnneededResources(t *testing.T) {
	spec := &protocol.Job{Cores: 3}
	free := testCapacity("a", 2)
	reservation := &headReservation{options: map[*freeCapacity]startOption{
		free: {capacity: free, startsAt: time.Hour, tasks: 2, available: resources{cores: 8}},
	}}
	reservation.apply(spec)
	if !free.isReserved || free.reservedFrom != time.Hour || free.unreserved.cores != 2 {
		t.Errorf("reserved %v from %v, %v cores unreserved, want 2 from 1h", free.isReserved, free.reservedFrom, free.unreserved.cores)
	}
}

func TestMissesStartTarget(t *testing.T) {
	waitWithin := func(seconds float64) []settings.Objective {
		return []settings.Objective{{Kind: settings.ObjectiveWait, Class: "c", Within: seconds}}
	}
	const now = time.Minute
	for _, test := range []struct {
		name       string
		objectives []settings.Objective
		deadline   float64 // seconds; 0: no deadline
		startsIn   time.Duration
		want       bool
	}{
		{"no target, short wait", nil, 0, 10 * time.Second, false},
		{"no target, longer than half of its run time", nil, 0, 11 * time.Second, true},
		{"wait within the objective", waitWithin(20), 0, 15 * time.Second, false},
		{"wait beyond the objective", waitWithin(14), 0, 15 * time.Second, true},
		{"next preemption would be too late", waitWithin(4), 0, time.Second, true},
		{"starts now", waitWithin(4), 0, 0, false},
		{"before the deadline", nil, 40, 20 * time.Second, false},
		{"after the deadline", nil, 39, 20 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, shard := newShardWithQueuedJob(t)
			shard.controller = newHeadroomController(shard, nil)
			shard.controller.Settings().Deployment.Objectives = test.objectives
			// The placed job has a lower priority and takes 3 s to save its checkpoint.
			shard.Jobs["wk-1"].Record.Job.CheckpointDuration = 3
			spec := protocol.Job{ID: "wk-2", Class: "c", Tasks: 1, Estimate: 20, Priority: 1, Deadline: test.deadline}
			job := newQueuedJob(arrayRecord(spec), 4, now)
			if misses := shard.missesStartTarget(job, now+test.startsIn, now, 0); misses != test.want {
				t.Errorf("misses its target: %v, want %v", misses, test.want)
			}
		})
	}
}
