package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["cut"] = startAfterCancel }

// startAfterCancel: the controller that answers a worker is cut from the state service and from the
// other controllers. The job that the worker runs is cancelled through another controller. From then on
// no task of it may be started.
func startAfterCancel(rec *recorder, trouble bool) {
	c := newCluster(rec, small(), compressorTypes())
	defer c.stop()
	w := c.cloud.add("piston", "thies-hall", false)
	c.startAll()
	c.awaitTokens(w)
	job := &jobSpec{id: jobID(1), trade: "vibration-scan", crew: "atelier-central", shape: "batch", rank: "standard", pieces: 60,
		cores: 1, memory: 1, builds: []string{"piston"}, reckon: 1, runS: 1, pull: 0.2, loaners: true}
	if status := c.submit(job, c.dep.nodes...); status != 200 && status != 201 {
		cannotRun("the job was answered with %d", status)
	}
	c.await("the job runs", 20*time.Second, func() bool { return c.launchesSince(job.id, time.Time{}) >= 8 })
	w.mu.Lock()
	owner := c.dep.nodes[w.node%len(c.dep.nodes)]
	w.mu.Unlock()
	other := c.dep.nodes[0]
	if owner == other {
		other = c.dep.nodes[1]
	}
	if trouble {
		rec.logf("trouble: %s is cut from the state service and from the other controllers", owner)
		c.store.setReach(owner, silent)
		for name, between := range c.links {
			if strings.HasPrefix(name, owner+">") || strings.HasSuffix(name, ">"+owner) {
				between.cut(true)
			}
		}
	}
	status, state := c.abort(job.id, other)
	if status != http.StatusOK || state.Status != "withdrawn" {
		cannotRun("the cancellation was answered with %d %s", status, state.Status)
	}
	// Start commands that were in flight when the user was told are not counted.
	const inFlight = 200 * time.Millisecond
	told := time.Now()
	time.Sleep(10 * time.Second)
	if count := c.launchesSince(job.id, told.Add(inFlight)); count > 0 {
		rec.violation("started after the cancellation: %d tasks of %s were started more than %v after its user had been told that it is withdrawn",
			count, job.id, inFlight)
	}
}
