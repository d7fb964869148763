package main

import (
	"sync"
	"time"
)

func init() { cases["2"] = reviewCase{bayouNext, gangAfterMachineDied} }

// gangAfterMachineDied: a machine stops with all that is on it; later a gang is submitted that fits on each
// of the idle machines that are left.
func gangAfterMachineDied(c *Cluster, trouble bool) {
	for range 3 {
		c.addInitial("shrimper", "coast-room", false)
	}
	for range 8 {
		c.addInitial("skiff", "delta-room", false)
	}
	c.startAll()
	c.ready()
	gang := func(id string, runS float64) *Job {
		return &Job{ID: id, Trade: "harvest-merge", Crew: "licensing-desk", Shape: "ensemble", Rank: "standard", Pieces: 2,
			Cores: 2, MemoryGb: 6.4, Builds: []string{"shrimper"}, Together: true, Kit: "img-02", PullGb: 1,
			ReckonS: runS, MarkS: 20, StowS: 4, RunS: runS}
	}
	first, second := gang("wk-000002", 1), gang("wk-000003", 10)
	var mu sync.Mutex
	places := map[string]*Machine{}
	c.watch(func(event string, m *Machine, t *task) {
		mu.Lock()
		defer mu.Unlock()
		places[t.piece] = m
	})
	c.mustSubmit(&Job{ID: "wk-000001", Trade: "agency-sync", Crew: "licensing-desk", Shape: "ensemble", Rank: "high", Pieces: 1,
		Cores: 30, MemoryGb: 100, Together: true, Kit: "img-01", PullGb: 2.5, ReckonS: 2, MarkS: 30, StowS: 6, RunS: 2})
	time.Sleep(100 * time.Millisecond)
	c.mustSubmit(first)
	c.waitDone(first, 20*time.Second)
	mu.Lock()
	victim, isPair := places["wk-000002/1"], places["wk-000002/0"] != places["wk-000002/1"]
	mu.Unlock()
	if !isPair {
		c.inconclusive("the first gang ran on one machine")
	}
	if trouble {
		c.machineDies(victim)
	}
	over := time.Now()
	// The controllers find that no reports of the machine arrive any more.
	time.Sleep(3*c.site.Report + 500*time.Millisecond)
	c.mustSubmit(second)
	c.expectNotLeftWaiting(second, over)
}
