package main

import "time"

func init() { cases["5"] = keptForLater }

// keptForLater: a gang of two tasks waits, as one of the two turbines of its part runs a service. The
// third turbine stops. The other turbine is empty, and an array waits beside it.
func keptForLater(rec *recorder, trouble bool) {
	c := newCluster(rec, small(), compressorTypes())
	defer c.stop()
	pair, single := c.threeTurbines("thies-hall")
	accepted := func(job *jobSpec) {
		if status := c.submit(job, c.dep.nodes...); status != 200 && status != 201 {
			cannotRun("%s was answered with %d", job.id, status)
		}
	}
	service := &jobSpec{id: jobID(1), trade: "bench-test", crew: "atelier-central", shape: "daemon", rank: "high", pieces: 1,
		cores: 60, memory: 100, builds: []string{"turbine"}, pull: 0.2}
	accepted(service)
	c.await("the service runs on one of the pair", 20*time.Second, func() bool { return pair[0].runs(service.id) || pair[1].runs(service.id) })
	empty := pair[0]
	if empty.runs(service.id) {
		empty = pair[1]
	}
	if trouble {
		c.cloud.die(single)
	}
	accepted(loadTest(jobID(2), 2))
	time.Sleep(2 * time.Second)
	job := &jobSpec{id: jobID(3), trade: "vibration-scan", crew: "atelier-central", shape: "batch", rank: "standard", pieces: 4,
		cores: 32, memory: 10, builds: []string{"turbine"}, reckon: 3, runS: 3, pull: 0.2, loaners: true}
	accepted(job)
	stop := make(chan struct{})
	defer close(stop)
	go c.poll(stop, job)
	if c.watchWaiting(92*time.Second, []*worker{empty}, job) {
		rec.violation("left waiting: %s has waited for more than 90 s while %s, where it fits, was empty", job.id, empty.id)
	}
}
