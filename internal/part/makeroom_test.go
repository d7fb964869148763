package part

import (
	"testing"
	"time"

	"curlewspool/internal/wire"
)

// keeper is a host with a large job seen lately, and deadlines of jobs.
type keeper struct {
	*host
	large map[string]Large
}

func (h *keeper) Large() map[string]Large         { return h.large }
func (h *keeper) Deadlines(j *wire.Job) []float64 { return []float64{j.Deadline} }

// Found on a day of late boots: 16,800 tasks of lower rank were stopped in three
// minutes on machines that are kept for gangs. An array may not start there, the
// stopped tasks did, and were stopped again.
func TestNoRoomIsMadeOnKeptMachines(t *testing.T) {
	for _, c := range []struct {
		name  string
		large map[string]Large
		stops bool
	}{
		{"nothing large was seen", nil, true},
		{"the machine is kept", map[string]Large{"g": {Job: wire.Job{Class: "g", Shape: wire.Gang, Tasks: 2, Cores: 4, Rank: 2}, Seen: time.Minute}}, false},
	} {
		_, p := queued(t)
		p.h = &keeper{p.h.(*host), c.large}
		m := p.Machines["i-1"]
		p.OnJob("wk-1", nil, 0)
		p.OnJob("wk-2", &JobRecord{Job: wire.Job{ID: "wk-2", Shape: wire.Array, Tasks: 4, Cores: 1, Estimate: 300, Mark: 10, Save: 1, Spot: true}, Chunk: 4, Parts: []int{0}, At: 1_700_000_000}, 4)
		p.Pass()
		for _, run := range m.Runs {
			run.State, run.Began = wire.Running, p.h.Now()
		}
		p.OnJob("wk-3", &JobRecord{Job: wire.Job{ID: "wk-3", Shape: wire.Array, Tasks: 4, Cores: 1, Estimate: 30, Rank: 1, Deadline: 60, Spot: true}, Chunk: 4, Parts: []int{0}, At: 1_700_000_000}, 5)
		p.Pass()
		stops := false
		for _, run := range m.Runs {
			stops = stops || run.Halt
		}
		if stops != c.stops {
			t.Errorf("%s: tasks are stopped %v, want %v", c.name, stops, c.stops)
		}
	}
}
