package dev

import (
	"context"
	"slices"
	"testing"
	"time"

	"curlewspool/internal/client"
	"curlewspool/internal/standin"
	"curlewspool/internal/wire"
)

// A cluster of real processes runs a pipeline in its order, says what a job waits for, and
// withdraws with a cancelled job what needs it, through others too, and says why.
func TestDependenciesOnRealProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("some 20 s of real time")
	}
	t.Parallel()
	dir := t.TempDir()
	program, err := Program("", dir, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Start(Plan{Controllers: 3, Machines: 4, Zones: 2, Clusters: 1, Dir: t.TempDir(), Program: program, LogLevel: "error", Say: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	if err := d.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	c, err := client.New(d.Clusters[0].Address())
	if err != nil {
		t.Fatal(err)
	}
	c.Pause, c.Patience = time.Second/4, time.Minute
	submit := func(id string, estimate float64, needs ...string) {
		if _, err := c.Submit(ctx, standin.Spec(id, wire.Array, 2, 1, estimate, standin.After(needs...))); err != nil {
			t.Fatalf("%s: %v", id, err)
		}
	}
	submit("wk-first", 3)
	submit("wk-second", 2, "wk-first")
	submit("wk-third", 1, "wk-second", "wk-first")
	submit("wk-long", 600)
	submit("wk-next", 2, "wk-long")
	submit("wk-last", 2, "wk-next")
	if _, err := c.Submit(ctx, standin.Spec("wk-wrong", wire.Array, 1, 1, 1, standin.After("wk-never"))); err == nil {
		t.Error("a job that needs one that was never submitted was accepted")
	}
	if s, err := c.Status(ctx, "wk-third"); err != nil || s.Status != wire.Pending || !slices.Contains(s.Awaits, "wk-second") {
		t.Errorf("the third stage: %+v, %v", s, err)
	}
	if s, err := c.Abort(ctx, "wk-long"); err != nil || s.Status != wire.Withdrawn {
		t.Errorf("%+v, %v", s, err)
	}
	for id, want := range map[string]string{"wk-first": wire.Done, "wk-second": wire.Done, "wk-third": wire.Done, "wk-next": wire.Withdrawn, "wk-last": wire.Withdrawn} {
		s, err := c.Wait(ctx, id, nil)
		if err != nil || s.Status != want || want == wire.Withdrawn && s.Cause != "wk-long" {
			t.Errorf("%s: %+v, %v", id, s, err)
		}
	}
}
