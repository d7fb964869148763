package main

import "time"

func init() { cases["replica"] = lostReplica }

// lostReplica: a service of two replicas runs on the two turbines of one part of the cluster. One of
// them stops. A third turbine, in another part, is empty.
func lostReplica(rec *recorder, trouble bool) {
	c := newCluster(rec, small(), compressorTypes())
	defer c.stop()
	pair, single := c.threeTurbines("thies-hall")
	turbines := append(pair, single)
	service := &jobSpec{id: jobID(1), trade: "bench-test", crew: "atelier-central", shape: "daemon", rank: "high", pieces: 2,
		cores: 60, memory: 100, pull: 0.2}
	if status := c.submit(service, c.dep.nodes...); status != 200 && status != 201 {
		cannotRun("the service was answered with %d", status)
	}
	running := func() (machines []*worker) {
		for _, w := range turbines {
			if w.runs(service.id) {
				machines = append(machines, w)
			}
		}
		return machines
	}
	c.await("both replicas run", 20*time.Second, func() bool { return len(running()) == 2 })
	time.Sleep(2 * time.Second)
	var empty *worker
	for _, w := range turbines {
		if !w.runs(service.id) {
			empty = w
		}
	}
	if trouble {
		c.cloud.die(running()[0])
	}
	stop := make(chan struct{})
	defer close(stop)
	go c.poll(stop, service)
	since := time.Now()
	for time.Since(since) < roomRule+time.Second {
		time.Sleep(200 * time.Millisecond)
		if !empty.hasRoom(service.cores, service.memory) || len(running()) == 2 && time.Since(since) > 5*time.Second {
			return
		}
	}
	rec.violation("left waiting: one of two replicas of %s has run nowhere for more than 90 s while %s, where it fits, was empty", service.id, empty.id)
}

// threeTurbines starts a cluster in which two of three turbines are in one part and one is in another:
// it returns the two and the one. third is the zone of the third machine.
func (c *cluster) threeTurbines(third string) (pair []*worker, single *worker) {
	var turbines []*worker
	for _, yard := range []string{"thies-hall", "thies-hall", third} {
		turbines = append(turbines, c.cloud.add("turbine", yard, false))
	}
	for range 16 {
		c.cloud.add("piston", "thies-hall", false)
	}
	c.startAll()
	c.awaitTokens(turbines...)
	parts, count := c.partsOfMachines(), map[int]int{}
	for _, w := range turbines {
		c.rec.logf("machine %s is in part %d", w.id, parts[w.id])
		count[parts[w.id]]++
	}
	for _, w := range turbines {
		if count[parts[w.id]] == 2 {
			pair = append(pair, w)
		} else {
			single = w
		}
	}
	if len(pair) != 2 || single == nil {
		cannotRun("the turbines are not two in one part and one in another")
	}
	return pair, single
}

// runs reports whether a task of the job runs on the machine.
func (w *worker) runs(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if !w.gone && t.job == job && t.state == "running" {
			return true
		}
	}
	return false
}
