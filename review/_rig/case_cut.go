package main

import "time"

func init() { cases["x3"] = startAfterCancel }

// startAfterCancel: the controller whose machine runs a job is cut from the state service and from
// the other controllers; its worker and the users still reach it. The job is cancelled through
// another controller. From then on no task of it may be started.
func startAfterCancel(rec *recorder, trouble bool) {
	c := newCluster(rec, small(), bigTypes())
	defer c.stop()
	w := c.cloud.add("piston", "thies-hall", false)
	c.startAll()
	c.await("the machine has an owner's token", 20*time.Second, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.baton > 0
	})
	time.Sleep(3 * time.Second)
	job := &jobSpec{id: "wk-000001", trade: "vibration-scan", crew: "atelier-central", shape: "batch", rank: "standard", pieces: 60,
		cores: 1, memory: 1, builds: []string{"piston"}, reckon: 1, runS: 1, pull: 0.2, loaners: true}
	c.submit(job, "kiln-0", "kiln-1", "kiln-2")
	c.await("the job runs", 20*time.Second, func() bool {
		c.site.mu.Lock()
		defer c.site.mu.Unlock()
		return len(c.site.launches) >= 8
	})
	w.mu.Lock()
	owner := c.dep.nodes[w.node%len(c.dep.nodes)]
	w.mu.Unlock()
	other := c.dep.nodes[0]
	if owner == other {
		other = c.dep.nodes[1]
	}
	if trouble {
		rec.logf("trouble: %s is cut from the state service and the other controllers", owner)
		c.store.setReach(owner, silent)
		for name, between := range c.links {
			if name[:len(owner)] == owner || name[len(name)-len(owner):] == owner {
				between.cut(true)
			}
		}
	}
	status, state := c.abort(job.id, other)
	if status != 200 || state.Status != "withdrawn" {
		cannotRun("the cancellation was answered with %d %s", status, state.Status)
	}
	told := time.Now()
	time.Sleep(10 * time.Second)
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	count := 0
	for _, l := range c.site.launches {
		if l.at.Sub(told) > 200*time.Millisecond { // not one in flight
			count++
			rec.logf("started %.3f s after its user was told: %s on %s by %s", l.at.Sub(told).Seconds(), l.piece, l.worker, l.via)
		}
	}
	if count > 0 {
		rec.violation("%d tasks of %s were started after its user had been told that it is withdrawn", count, job.id)
	}
}
