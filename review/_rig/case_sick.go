package main

import "time"

func init() { cases["x2"] = healedMachine }

// healedMachine: the one machine that a job may use fails every task that starts on it for some
// seconds and is sound from then on. The job has to go on within 90 s, as the machine has room.
func healedMachine(rec *recorder, trouble bool) {
	c := newCluster(rec, small(), bigTypes())
	defer c.stop()
	w := c.cloud.add("turbine", "thies-hall", false)
	c.startAll()
	c.await("the machine has an owner's token", 20*time.Second, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.baton > 0
	})
	time.Sleep(3 * time.Second)
	if trouble {
		w.set(func() { w.sick = true })
		rec.logf("trouble: %s fails every task that starts on it", w.id)
	}
	job := &jobSpec{id: "wk-000001", trade: "vibration-scan", crew: "atelier-central", shape: "batch", rank: "standard", pieces: 8,
		cores: 1, memory: 1, builds: []string{"turbine"}, reckon: 3, runS: 3, pull: 0.2, loaners: true}
	if status := c.submit(job, "kiln-0", "kiln-1", "kiln-2"); status != 201 && status != 200 {
		cannotRun("the job was answered with %d", status)
	}
	time.Sleep(4 * time.Second)
	w.set(func() { w.sick = false })
	rec.logf("%s is sound from now on", w.id)
	soundSince := time.Now()
	// Another job shows that the machine is used and has room.
	other := *job
	other.id, other.kit = "wk-000002", "img-02"
	c.submit(&other, "kiln-1", "kiln-2", "kiln-0")
	idle := true
	c.wait(95*time.Second, func() bool {
		time.Sleep(900 * time.Millisecond)
		c.ask(other.id, "kiln-1")
		_, state := c.ask(job.id, "kiln-1")
		c.site.mu.Lock()
		defer c.site.mu.Unlock()
		for _, l := range c.site.launches {
			if l.at.After(soundSince) && l.piece[:len(job.id)] == job.id {
				idle = false
			}
		}
		return state.Status == "done"
	})
	_, state := c.ask(job.id, "kiln-2")
	waited := time.Since(soundSince).Seconds()
	if state.Status != "done" && waited > 90 && idle {
		rec.violation("%s has waited for %.0f s since the machine is sound, and nothing of it was started there", job.id, waited)
	}
}
