package intake

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/dependency"
	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

type host struct {
	Host
	s settings.Settings
}

// clock is a world of which only the time is asked.
type clock struct {
	world.World
	now time.Duration
}

func (c *clock) Now() time.Duration { return c.now }

func (h *host) Settings() *settings.Settings { return &h.s }

func (h *host) Dependencies() *dependency.Graph {
	return dependency.New(func(string) bool { return false })
}

// Ended jobs are kept for ever in the state service, not in memory: what is
// remembered is bounded by the machine's, the newest replace the oldest.
func TestMemoryOfEndedJobsIsBounded(t *testing.T) {
	h := &host{}
	h.s.Deployment.Limits.RAM = 98
	in := New(h, &clock{})
	for i := 0; i < 100_000; i++ {
		in.Over(fmt.Sprintf("wk-%d", i), part.Final{Status: "done"})
	}
	if n := in.finals.Len(); n != remembered*98 {
		t.Errorf("%d ended jobs are kept in memory, want %d", n, remembered*98)
	}
	if _, ok := in.finals.Get("wk-99999"); !ok {
		t.Error("the newest is not among them")
	}
	if _, ok := in.finals.Get("wk-0"); ok {
		t.Error("the oldest is still among them")
	}
}

// What this controller has learned to be cancelled is told from a moment on, or not at all:
// from before its start, or from further back than its log, it cannot tell.
func TestCalledOffSince(t *testing.T) {
	h, c := &host{}, &clock{now: time.Minute}
	h.s.Deployment.Limits.RAM = 98
	in := New(h, c)
	c.now += time.Second
	in.Over("wk-1", part.Final{Status: wire.Withdrawn})
	c.now += time.Second
	in.Over("wk-2", part.Final{Status: wire.Done})
	in.Over("wk-3", part.Final{Status: wire.Withdrawn})
	in.Over("wk-1", part.Final{Status: wire.Withdrawn}) // known
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
		if ids, ok := in.CalledOff(x.since); ok != x.ok || !slices.Equal(ids, x.ids) {
			t.Errorf("since %v: %v, %v, want %v, %v", x.since, ids, ok, x.ids, x.ok)
		}
	}
	for i := range 3 * logged {
		c.now += time.Millisecond
		in.Over(fmt.Sprintf("wk-x%d", i), part.Final{Status: wire.Withdrawn})
	}
	if len(in.log) > logged {
		t.Errorf("%d are kept, want %d at most", len(in.log), logged)
	}
	if _, ok := in.CalledOff(time.Minute); ok {
		t.Error("it tells of a time from which some are forgotten")
	}
	last := c.now - 100*time.Millisecond
	if ids, ok := in.CalledOff(last); !ok || len(ids) != 101 {
		t.Errorf("of the last tenth of a second %d, %v, want 101", len(ids), ok)
	}
}
