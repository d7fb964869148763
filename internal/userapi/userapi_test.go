package userapi

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/dependency"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// fakeController is a controller that has settings, a catalog and no jobs.
type fakeController struct {
	Controller
	settings     settings.Settings
	machineTypes map[string]*protocol.MachineType
}

func (c *fakeController) MachineTypes() map[string]*protocol.MachineType { return c.machineTypes }

func (c *fakeController) Settings() *settings.Settings { return &c.settings }

func (c *fakeController) Dependencies() *dependency.Graph {
	return dependency.NewGraph(func(string) bool { return false })
}

// fakeEnvironment is an environment of which only the time is asked.
type fakeEnvironment struct {
	env.Environment
	now time.Duration
}

func (e *fakeEnvironment) Now() time.Duration { return e.now }

const memoryMB = 98

func newTestService(env *fakeEnvironment) *Service {
	controller := &fakeController{}
	controller.settings.Deployment.Limits.RAM = memoryMB
	return New(controller, env)
}

// Finished jobs are kept for ever in the state service, not in memory: what is remembered
// is bounded by the machine's, the newest replace the oldest.
func TestFinishedJobsInMemoryAreBounded(t *testing.T) {
	service := newTestService(&fakeEnvironment{})
	for i := range 100_000 {
		service.RecordFinished(fmt.Sprintf("wk-%d", i), shard.FinalRecord{Status: protocol.JobDone})
	}
	if n := service.finished.Len(); n != finishedJobsPerMB*memoryMB {
		t.Errorf("%d finished jobs are kept in memory, want %d", n, finishedJobsPerMB*memoryMB)
	}
	if _, ok := service.finished.Get("wk-99999"); !ok {
		t.Error("the newest is not among them")
	}
	if _, ok := service.finished.Get("wk-0"); ok {
		t.Error("the oldest is still among them")
	}
}

// The cancellations that this controller has learned of are listed from a moment on, or
// not at all: from before its start, or from further back than it remembers, it cannot
// tell.
func TestCancelledSince(t *testing.T) {
	env := &fakeEnvironment{now: time.Minute}
	service := newTestService(env)
	cancelled, done := shard.FinalRecord{Status: protocol.JobCancelled}, shard.FinalRecord{Status: protocol.JobDone}
	env.now += time.Second
	service.RecordFinished("wk-1", cancelled)
	env.now += time.Second
	service.RecordFinished("wk-2", done)
	service.RecordFinished("wk-3", cancelled)
	service.RecordFinished("wk-1", cancelled) // known
	for _, c := range []struct {
		name     string
		since    time.Duration
		wantJobs []string
		wantOK   bool
	}{
		{"before its start", time.Minute - 1, nil, false},
		{"its start", time.Minute, []string{"wk-1", "wk-3"}, true},
		{"the latest", time.Minute + 2*time.Second, []string{"wk-3"}, true},
		{"after all", time.Hour, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if jobs, ok := service.CancelledSince(c.since); ok != c.wantOK || !slices.Equal(jobs, c.wantJobs) {
				t.Errorf("%v, %v, want %v, %v", jobs, ok, c.wantJobs, c.wantOK)
			}
		})
	}
	for i := range 3 * maxCancellations {
		env.now += time.Millisecond
		service.RecordFinished(fmt.Sprintf("wk-x%d", i), cancelled)
	}
	if len(service.cancellations) > maxCancellations {
		t.Errorf("%d are kept, want %d at most", len(service.cancellations), maxCancellations)
	}
	if _, ok := service.CancelledSince(time.Minute); ok {
		t.Error("it lists from a time from which some are forgotten")
	}
	tenthOfSecondAgo := env.now - 100*time.Millisecond
	if jobs, ok := service.CancelledSince(tenthOfSecondAgo); !ok || len(jobs) != 101 {
		t.Errorf("of the last tenth of a second %d, %v, want 101", len(jobs), ok)
	}
}
