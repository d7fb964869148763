package main

import "time"

func init() { cases["gangs"] = rivalGangs }

// rivalGangs: several linked load tests, each of which needs all turbines, arrive together. The
// turbines are spread over the parts of the cluster.
func rivalGangs(rec *recorder, trouble bool) {
	dep := small()
	dep.nodes = append(dep.nodes, "kiln-3", "kiln-4")
	dep.areas = append(dep.areas, "mbour-store", "thies-hall")
	c := newCluster(rec, dep, compressorTypes())
	defer c.stop()
	var turbines []*worker
	for i := range 16 {
		turbines = append(turbines, c.cloud.add("turbine", yards[i%2], false))
	}
	c.startAll()
	c.awaitTokens(turbines...)
	var loads []*jobSpec
	for i := range 5 {
		loads = append(loads, loadTest(jobID(i), len(turbines)))
	}
	if !trouble {
		loads = loads[:1]
	} else {
		rec.logf("trouble: five linked load tests at the start")
	}
	for _, load := range loads {
		go c.submit(load, dep.nodes[0])
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	defer close(stop)
	go c.poll(stop, loads...)
	if c.watchWaiting(100*time.Second, turbines, loads...) {
		rec.violation("left waiting: linked load tests have waited for more than 90 s while all 16 turbines were empty")
	}
}
