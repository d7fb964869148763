package main

import (
	"fmt"
	"time"
)

func init() { cases["7"] = hiddenGang }

// partOfTeam is the part of the cluster that has all jobs of a team with a limit. It is the project's
// own rule and is used only to aim the swarm.
func partOfTeam(team string, parts int) int {
	hash := 0
	for _, character := range []byte(team) {
		hash = (hash*31 + int(character)) % (1 << 20)
	}
	return hash % parts
}

// partsOfMachines reads which part of the cluster each machine is in, to aim the swarm.
func (c *cluster) partsOfMachines() map[string]int {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	parts := map[string]int{}
	for key, entry := range c.store.entries {
		if len(key) < 4 || key[:4] != "a/m/" {
			continue
		}
		var roster struct {
			Machines [][]any `cbor:"m"`
		}
		if decode(entry.value, &roster) != nil {
			continue
		}
		for _, m := range roster.Machines {
			parts[m[0].(string)] = int(m[1].(uint64))
		}
	}
	return parts
}

// hiddenGang: a swarm of one-task jobs of a guest team that is at its limit waits in one part of the
// cluster; then a linked load test that needs all three turbines is submitted.
func hiddenGang(rec *recorder, trouble bool) {
	dep := small()
	guests := map[int]string{} // a guest team for each part of the cluster
	for i := 0; len(guests) < len(dep.nodes); i++ {
		name := fmt.Sprintf("ecole-meca-%d", i)
		if part := partOfTeam(name, len(dep.nodes)); guests[part] == "" {
			guests[part] = name
			dep.teams += fmt.Sprintf("\n[[deployment.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 2.0\ngpus = 0.0\ngpus_max = 0.0\n", name)
		}
	}
	c := newCluster(rec, dep, compressorTypes())
	defer c.stop()
	var turbines []*worker
	for range 3 {
		turbines = append(turbines, c.cloud.add("turbine", "thies-hall", false))
	}
	for range 16 { // the swarm runs on these
		c.cloud.add("piston", "thies-hall", false)
	}
	c.startAll()
	c.awaitTokens(turbines...)
	parts, count := c.partsOfMachines(), map[int]int{}
	largest := 0
	for _, w := range turbines {
		rec.logf("machine %s is in part %d", w.id, parts[w.id])
		count[parts[w.id]]++
		if count[parts[w.id]] > count[largest] {
			largest = parts[w.id]
		}
	}
	if count[largest] != 2 {
		cannotRun("the turbines are not two in one part and one in another")
	}
	if trouble {
		rec.logf("trouble: a swarm of one-task jobs of the guest team %s, 7.5 a second", guests[largest])
		for i := range 84 {
			go c.submit(&jobSpec{id: jobID(1000 + i), trade: "part-lookups", crew: guests[largest], shape: "batch", rank: "best_effort", pieces: 1,
				cores: 0.25, memory: 0.9, reckon: 150, runS: 150, pull: 0.5, loaners: true, kit: "img-09"}, dep.nodes[i%len(dep.nodes)])
			time.Sleep(134 * time.Millisecond)
		}
		time.Sleep(time.Second)
	}
	load := loadTest(jobID(num("LOAD_ID", 900000)), len(turbines))
	if status := c.submit(load, dep.nodes...); status != 200 && status != 201 {
		cannotRun("the load test was answered with %d", status)
	}
	stop := make(chan struct{})
	defer close(stop)
	go c.poll(stop, load)
	if c.watchWaiting(93*time.Second, turbines, load) {
		rec.violation("left waiting: %s has waited for more than 90 s while each of the three turbines had room for a task of it", load.id)
	}
}
