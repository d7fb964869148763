package main

import "time"

func init() { cases["headroom"] = headroom }

// headroom: the two small machines die, the cloud has no others, and an array waits beside a large
// machine that is empty.
func headroom(rec *recorder, trouble bool) {
	c := newCluster(rec, licence(), licenceTypes())
	defer c.stop()
	large := c.cloud.add("shrimper", "delta-room", false)
	skiffs := []*worker{c.cloud.add("skiff", "delta-room", false), c.cloud.add("skiff", "delta-room", false)}
	c.startAll()
	c.awaitTokens(append(skiffs, large)...)
	first := &jobSpec{id: jobID(1), trade: "agency-sync", crew: "licensing-desk", shape: "ensemble", rank: "high", pieces: 1,
		cores: 30, memory: 100, reckon: 2, runS: 2, pull: 0.2}
	c.submit(first, c.dep.nodes...)
	c.await("the reconciliation is done", 20*time.Second, func() bool {
		_, state := c.ask(first.id, "kiln-1")
		return state.Status == "done"
	})
	if trouble {
		for _, w := range skiffs {
			c.cloud.die(w)
		}
	}
	job := &jobSpec{id: jobID(2), trade: "renewal-batch", crew: "licensing-desk", shape: "batch", rank: "standard", pieces: 8,
		cores: 4, memory: 3.1, reckon: 3, runS: 3, pull: 0.2, loaners: true}
	if status := c.submit(job, c.dep.nodes...); status != 200 && status != 201 {
		cannotRun("the job was answered with %d", status)
	}
	stop := make(chan struct{})
	defer close(stop)
	go c.poll(stop, job)
	if c.watchWaiting(95*time.Second, []*worker{large}, job) {
		rec.violation("left waiting: %s has waited for more than 90 s while %s, where it fits, was empty", job.id, large.id)
	}
}
