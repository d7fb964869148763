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

type fakeHost struct {
	Host
	s settings.Settings
}

// fakeEnvironment is a world of which only the time is asked.
type fakeEnvironment struct {
	env.Environment
	now time.Duration
}

func (c *fakeEnvironment) Now() time.Duration { return c.now }

func (h *fakeHost) Settings() *settings.Settings { return &h.s }

func (h *fakeHost) Dependencies() *dependency.Graph {
	return dependency.NewGraph(func(string) bool { return false })
}

// Ended jobs are kept for ever in the state service, not in memory: what is
// remembered is bounded by the machine's, the newest replace the oldest.
func TestFinishedJobsInMemoryAreBounded(t *testing.T) {
	h := &fakeHost{}
	h.s.Deployment.Limits.RAM = 98
	in := New(h, &fakeEnvironment{})
	for i := 0; i < 100_000; i++ {
		in.RecordFinished(fmt.Sprintf("wk-%d", i), shard.FinalRecord{Status: "done"})
	}
	if n := in.finished.Len(); n != finishedJobsPerMB*98 {
		t.Errorf("%d ended jobs are kept in memory, want %d", n, finishedJobsPerMB*98)
	}
	if _, ok := in.finished.Get("wk-99999"); !ok {
		t.Error("the newest is not among them")
	}
	if _, ok := in.finished.Get("wk-0"); ok {
		t.Error("the oldest is still among them")
	}
}

// What this controller has learned to be cancelled is told from a moment on, or not at all:
// from before its start, or from further back than its log, it cannot tell.
func TestCancelledSince(t *testing.T) {
	h, c := &fakeHost{}, &fakeEnvironment{now: time.Minute}
	h.s.Deployment.Limits.RAM = 98
	in := New(h, c)
	c.now += time.Second
	in.RecordFinished("wk-1", shard.FinalRecord{Status: protocol.JobCancelled})
	c.now += time.Second
	in.RecordFinished("wk-2", shard.FinalRecord{Status: protocol.JobDone})
	in.RecordFinished("wk-3", shard.FinalRecord{Status: protocol.JobCancelled})
	in.RecordFinished("wk-1", shard.FinalRecord{Status: protocol.JobCancelled}) // known
	for _, x := range []struct {
		since time.Duration
		ids   []string
		ok    bool
	}{
		{time.Minute - 1, nil, false},
		{time.Minute, []string{"wk-1", "wk-3"}, true},
		{time.Minute + 2*time.Second, []string{"wk-3"}, true},
		{time.Hour, nil, true},
	} {
		if ids, ok := in.CancelledSince(x.since); ok != x.ok || !slices.Equal(ids, x.ids) {
			t.Errorf("since %v: %v, %v, want %v, %v", x.since, ids, ok, x.ids, x.ok)
		}
	}
	for i := range 3 * maxCancellations {
		c.now += time.Millisecond
		in.RecordFinished(fmt.Sprintf("wk-x%d", i), shard.FinalRecord{Status: protocol.JobCancelled})
	}
	if len(in.cancellations) > maxCancellations {
		t.Errorf("%d are kept, want %d at most", len(in.cancellations), maxCancellations)
	}
	if _, ok := in.CancelledSince(time.Minute); ok {
		t.Error("it tells of a time from which some are forgotten")
	}
	last := c.now - 100*time.Millisecond
	if ids, ok := in.CancelledSince(last); !ok || len(ids) != 101 {
		t.Errorf("of the last tenth of a second %d, %v, want 101", len(ids), ok)
	}
}
