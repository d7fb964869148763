package main

import (
	"sync"
	"time"
)

func init() { cases["3"] = reviewCase{bayou, arrayAfterControllerCrashed} }

// arrayAfterControllerCrashed: a cheap machine is taken back with a notice, with and without trouble. The
// trouble is that the controller that answers this machine crashes while a task saves its checkpoint.
func arrayAfterControllerCrashed(c *Cluster, trouble bool) {
	for i := range 3 {
		c.addInitial("skiff", c.site.Zones[i%2], true)
	}
	c.startAll()
	c.ready()
	job := &Job{ID: "wk-000001", Trade: "creel-survey", Crew: "fisheries-lab", Shape: "batch", Rank: "best_effort", Pieces: 1,
		Cores: 4, MemoryGb: 4, Loaners: true, Kit: "img-01", PullGb: 0.1, ReckonS: 20, MarkS: 5, StowS: 6, RunS: 20}
	taken := make(chan time.Time, 1)
	var once, crashOnce sync.Once
	c.watch(func(event string, m *Machine, _ *task) {
		switch event {
		case "begins":
			once.Do(func() {
				time.Sleep(time.Second)
				c.giveNotice(m, 10*time.Second)
				time.Sleep(10 * time.Second)
				c.machineTaken(m)
				taken <- time.Now()
			})
		case "flushing":
			if trouble {
				crashOnce.Do(func() { c.crashFor(c.nodeThatAnswers(m), 3*time.Second) })
			}
		}
	})
	c.mustSubmit(job)
	select {
	case over := <-taken:
		c.expectNotLeftWaiting(job, over)
	case <-time.After(40 * time.Second):
		c.inconclusive("the job did not start")
	}
}
