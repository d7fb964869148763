package main

import "time"

func init() { cases["6"] = suspectStays }

// suspectStays: two machines fail every task that starts on them, and then stop. The job whose tasks
// failed there stays in their part of the cluster, although a turbine in another part has room.
func suspectStays(rec *recorder, trouble bool) {
	c := newCluster(rec, small(), compressorTypes())
	defer c.stop()
	pair, single := c.threeTurbines("thies-hall")
	if trouble {
		for _, w := range pair {
			w.set(func() { w.sick = true })
			rec.logf("trouble: %s fails every task that starts on it", w.id)
		}
	}
	job := &jobSpec{id: jobID(1), trade: "vibration-scan", crew: "atelier-central", shape: "batch", rank: "standard", pieces: 14,
		cores: 9, memory: 1, builds: []string{"turbine"}, reckon: 3, runS: 3, pull: 0.2, loaners: true, together: true}
	if status := c.submit(job, c.dep.nodes...); status != 200 && status != 201 {
		cannotRun("the job was answered with %d", status)
	}
	if trouble {
		time.Sleep(1500 * time.Millisecond)
		for _, w := range pair {
			c.cloud.die(w)
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go c.poll(stop, job)
	// Nothing of the job runs anywhere from here on, and the third turbine is empty.
	over := time.Now()
	for time.Since(over) < roomRule+time.Second {
		time.Sleep(200 * time.Millisecond)
		if !single.hasRoom(job.cores, job.memory) || c.launchesSince(job.id, over) > 0 || c.isDone(job) {
			return
		}
	}
	rec.violation("left waiting: nothing of %s has run for more than 90 s while %s, where it fits and where nothing ever failed, was empty", job.id, single.id)
}

// isDone reports whether the results of all tasks of the job are kept.
func (c *cluster) isDone(job *jobSpec) bool {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	for i := range job.pieces {
		if !c.site.done[job.task(i)] {
			return false
		}
	}
	return true
}
