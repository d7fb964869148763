package main

import (
	"fmt"
	"time"
)

func init() { cases["8"] = limitedTeam }

// limitedTeam: the only turbine of the part that has all jobs of a team with a limit stops. Two
// turbines of other parts have room, but are never empty.
func limitedTeam(rec *recorder, trouble bool) {
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
	pair, single := c.threeTurbines("mbour-store")
	accepted := func(job *jobSpec) {
		if status := c.submit(job, dep.nodes...); status != 200 && status != 201 {
			cannotRun("%s was answered with %d", job.id, status)
		}
	}
	service := &jobSpec{id: jobID(1), trade: "bench-test", crew: "atelier-central", shape: "daemon", rank: "standard", pieces: 2,
		cores: 34, memory: 10, builds: []string{"turbine"}, yard: "thies-hall", pull: 0.2}
	accepted(service)
	c.await("the service runs", 20*time.Second, func() bool { return pair[0].runs(service.id) && pair[1].runs(service.id) })
	guest := guests[c.partsOfMachines()[single.id]]
	if trouble {
		c.cloud.die(single)
	}
	job := &jobSpec{id: jobID(2), trade: "flow-sweep", crew: guest, shape: "batch", rank: "standard", pieces: 2,
		cores: 20, memory: 10, builds: []string{"turbine"}, reckon: 3, runS: 3, pull: 0.2}
	accepted(job)
	stop := make(chan struct{})
	defer close(stop)
	go c.poll(stop, job)
	if c.watchWaiting(95*time.Second, pair, job) {
		rec.violation("left waiting: %s has waited for more than 90 s while each of two turbines had room for a task of it", job.id)
	}
}
