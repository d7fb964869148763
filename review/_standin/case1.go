package main

import "time"

func init() { cases["1"] = reviewCase{bayou, hugeArray} }

// hugeArray: a guest submits one array of the largest size, whose tasks take nothing of their machines.
func hugeArray(c *Cluster, trouble bool) {
	for i := range 3 {
		c.addInitial("johnboat", c.site.Zones[i%2], false)
	}
	c.startAll()
	c.ready()
	ordinary := &Job{ID: "wk-000001", Trade: "renewal-batch", Crew: "licensing-desk", Shape: "batch", Rank: "standard", Pieces: 3,
		Cores: 1, MemoryGb: 3.1, Loaners: true, Kit: "img-01", PullGb: 0.9, ReckonS: 30, RunS: 40}
	c.mustSubmit(ordinary)
	time.Sleep(2 * time.Second)
	if trouble {
		c.mustSubmit(&Job{ID: "wk-000002", Trade: "gill-count", Crew: "licensing-desk", Shape: "batch", Rank: "best_effort", Pieces: 100000,
			Cores: 0, MemoryGb: 0, Together: true, Loaners: true, Kit: "img-02", PullGb: 0.5, ReckonS: 5, RunS: 5})
	}
	c.expectAnswers(ordinary, time.Now())
}
