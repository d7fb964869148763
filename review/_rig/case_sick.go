package main

import "time"

func init() { cases["healed"] = healedMachine }

// healedMachine: the one machine that a job may use fails the tasks that start on it for four seconds
// and is sound from then on.
func healedMachine(rec *recorder, trouble bool) {
	c := newCluster(rec, small(), compressorTypes())
	defer c.stop()
	w := c.cloud.add("turbine", "thies-hall", false)
	c.startAll()
	c.awaitTokens(w)
	if trouble {
		w.set(func() { w.sick = true })
		rec.logf("trouble: %s fails every task that starts on it", w.id)
	}
	scan := func(id, kit string) *jobSpec {
		return &jobSpec{id: id, trade: "vibration-scan", crew: "atelier-central", shape: "batch", rank: "standard", pieces: 8,
			cores: 1, memory: 1, builds: []string{"turbine"}, reckon: 3, runS: 3, pull: 0.2, loaners: true, kit: kit}
	}
	job, other := scan(jobID(1), "img-01"), scan(jobID(2), "img-02")
	if status := c.submit(job, c.dep.nodes...); status != 200 && status != 201 {
		cannotRun("the job was answered with %d", status)
	}
	time.Sleep(4 * time.Second)
	w.set(func() { w.sick = false })
	rec.logf("%s is sound from now on", w.id)
	sound := time.Now()
	c.submit(other, c.dep.nodes...) // shows that the machine is used
	stop := make(chan struct{})
	defer close(stop)
	go c.poll(stop, job, other)
	isDone := false
	hadRoom := true
	for time.Since(sound) < roomRule+2*time.Second {
		time.Sleep(200 * time.Millisecond)
		hadRoom = hadRoom && w.hasRoom(job.cores, job.memory)
		if c.launchesSince(job.id, sound) > 0 {
			isDone = true
			break
		}
	}
	if _, state := c.ask(job.id, "kiln-2"); !isDone && hadRoom && state.Status == "pending" {
		rec.violation("left waiting: %s has waited for more than 90 s while %s, sound again, had room for it (%d tasks of another job were started there)",
			job.id, w.id, c.launchesSince(other.id, sound))
	}
}
