package main

import (
	"fmt"
	"time"
)

func init() { cases["4"] = headAtLimit }

// headAtLimit: a gang of a guest team has to wait, as its team's limit has room for one of its two
// tasks only. Machines with room are kept for it, and a job of another team waits beside them.
func headAtLimit(rec *recorder, trouble bool) {
	dep := small()
	guests := map[int]string{} // a guest team for each part of the cluster
	for i := 0; len(guests) < len(dep.nodes); i++ {
		name := fmt.Sprintf("ecole-meca-%d", i)
		if part := partOfTeam(name, len(dep.nodes)); guests[part] == "" {
			guests[part] = name
			dep.teams += fmt.Sprintf("\n[[deployment.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 64.0\ngpus = 0.0\ngpus_max = 0.0\n", name)
		}
	}
	c := newCluster(rec, dep, compressorTypes())
	defer c.stop()
	// The third turbine is in a zone that the jobs below do not allow.
	pair, _ := c.threeTurbines("mbour-store")
	guest := guests[c.partsOfMachines()[pair[0].id]]
	accepted := func(job *jobSpec) {
		if status := c.submit(job, dep.nodes...); status != 200 && status != 201 {
			cannotRun("%s was answered with %d", job.id, status)
		}
	}
	small := &jobSpec{id: jobID(1), trade: "thermo-exercises", crew: guest, shape: "daemon", rank: "high", pieces: 1,
		cores: 8, memory: 1, builds: []string{"turbine"}, yard: "thies-hall", pull: 0.2}
	accepted(small)
	c.await("the guest's service runs", 20*time.Second, func() bool { return pair[0].runs(small.id) || pair[1].runs(small.id) })
	if trouble {
		// 2 x 30 and the 8 of the service are more than the limit of 64; 30 and 8 are not.
		accepted(&jobSpec{id: jobID(3), trade: "flow-sweep", crew: guest, shape: "ensemble", rank: "high", pieces: 2,
			cores: 30, memory: 10, builds: []string{"turbine"}, yard: "thies-hall", reckon: 5, runS: 5, pull: 0.2})
		time.Sleep(2 * time.Second)
	}
	job := &jobSpec{id: jobID(4), trade: "bench-test", crew: "atelier-central", shape: "batch", rank: "standard", pieces: 2,
		cores: 40, memory: 10, builds: []string{"turbine"}, yard: "thies-hall", reckon: 5, runS: 5, pull: 0.2}
	accepted(job)
	stop := make(chan struct{})
	defer close(stop)
	go c.poll(stop, job)
	if c.watchWaiting(92*time.Second, pair, job) {
		rec.violation("left waiting: %s has waited for more than 90 s while each of two turbines had room for a task of it", job.id)
	}
}
