package main

import (
	"fmt"
	"time"
)

func init() { cases["x5"] = hiddenGang }

// shardOf is the part of the cluster in which all jobs of a team with a limit are kept: the project's
// own rule, used only to aim the swarm.
func shardOf(team string, count int) int {
	hash := 0
	for _, character := range []byte(team) {
		hash = (hash*31 + int(character)) % (1 << 20)
	}
	return hash % count
}

// partOfMachines reads which part of the cluster each machine is in.
func (c *cluster) partOfMachines() map[string]int {
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

// hiddenGang: a swarm of one-task jobs of a guest team, which is at its limit, waits in one part of
// the cluster; a linked load test that needs all turbines is submitted.
func hiddenGang(rec *recorder, trouble bool) {
	dep := small()
	guests := map[int]string{}
	for i := 0; len(guests) < len(dep.nodes); i++ {
		name := fmt.Sprintf("ecole-meca-%d", i)
		if part := shardOf(name, len(dep.nodes)); guests[part] == "" {
			guests[part] = name
			dep.teams += fmt.Sprintf("\n[[deployment.teams]]\nname = %q\ncpus = 0.0\ncpus_max = 2.0\ngpus = 0.0\ngpus_max = 0.0\n", name)
		}
	}
	c := newCluster(rec, dep, bigTypes())
	defer c.stop()
	const turbines = 3
	var machines []*worker
	for i := range turbines {
		machines = append(machines, c.cloud.add("turbine", dep.zones[i%2], false))
	}
	c.startAll()
	c.await("the machines have an owner's token", 20*time.Second, func() bool {
		for _, w := range machines {
			w.mu.Lock()
			token := w.baton
			w.mu.Unlock()
			if token == 0 {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	perPart := map[int]int{}
	for id, part := range c.partOfMachines() {
		rec.logf("machine %s is in part %d", id, part)
		perPart[part]++
	}
	fmt.Println(perPart)
	largest := 0
	for part, n := range perPart {
		if n > perPart[largest] {
			largest = part
		}
	}
	if perPart[largest] == turbines {
		cannotRun("all turbines are in one part")
	}
	if trouble {
		for i := range 84 { // 7.5 a second
			id := fmt.Sprintf("wk-%06d", 1000+i)
			go c.submit(&jobSpec{id: id, trade: "part-lookups", crew: guests[largest], shape: "batch", rank: "best_effort", pieces: 1,
				cores: 0.25, memory: 0.9, reckon: 150, runS: 150, pull: 0.5, loaners: true, kit: "img-09"}, c.dep.nodes[i%3])
			time.Sleep(134 * time.Millisecond)
		}
		time.Sleep(time.Second)
	}
	load := gang("wk-900000", turbines)
	c.submit(load, "kiln-0", "kiln-1", "kiln-2")
	since := time.Now()
	done := c.wait(93*time.Second, func() bool {
		time.Sleep(900 * time.Millisecond)
		_, state := c.ask(load.id, "kiln-1")
		return state.Status == "running" || state.Status == "done"
	})
	if !done {
		rec.violation("%s has waited for %.0f s while each of the %d turbines had room for a task of it", load.id, time.Since(since).Seconds(), turbines)
	}
}
