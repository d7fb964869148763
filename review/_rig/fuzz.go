package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

func init() { cases["odd"] = fuzz }

func fuzz(rec *recorder, trouble bool) {
	seed := time.Now().UnixNano()
	if v := num("SEED", 0); v != 0 {
		seed = int64(v)
	}
	rng := rand.New(rand.NewSource(seed))
	c := newCluster(rec, small(), compressorTypes())
	defer c.stop()
	c.cloud.capacity["piston"] = 4
	for i := range 4 {
		c.cloud.add("piston", c.dep.zones[i%2], false)
	}
	c.cloud.add("turbine", "thies-hall", false)
	c.startAll()
	time.Sleep(3 * time.Second)
	amounts := []float64{0, 5e-324, 1e-300, 1e-9, 0.25, 1, 4, 1e3, 1e9, 9.3e9, 1e18, 1e300, 1.7e308}
	sizes := []float64{0, 5e-324, 1e-300, 1e-9, 0.25, 1, 4}
	pick := func(list []float64) float64 { return list[rng.Intn(len(list))] }
	accepted := 0
	for i := range num("JOBS", 150) {
		j := &jobSpec{id: fmt.Sprintf("wk-%06d", i), trade: "t", crew: "atelier-central",
			shape: []string{"batch", "ensemble", "daemon"}[rng.Intn(3)], rank: []string{"prod", "high", "standard", "best_effort"}[rng.Intn(4)],
			pieces: []int{1, 2, 3, 50, 1000, 100000}[rng.Intn(6)], cores: pick(sizes), memory: pick(sizes), reckon: pick(amounts),
			mark: pick(amounts), stow: pick(amounts), pull: []float64{0, 5e-324, 0.1}[rng.Intn(3)], together: rng.Intn(3) == 0, apart: rng.Intn(3) == 0,
			loaners: rng.Intn(2) == 0, runS: 0.5}
		if rng.Intn(2) == 0 {
			j.due = pick(amounts)
		}
		if rng.Intn(6) == 0 {
			j.pull = pick(amounts)
		}
		c.site.mu.Lock()
		c.site.jobs[j.id] = j
		c.site.mu.Unlock()
		var st jobState
		node := c.dep.nodes[i%3]
		status, _ := call(c.users, http.MethodPost, "http://"+c.nodes[node].api+"/v2/runs", j.body(), &st, 5*time.Second)
		rec.logf("submit %+v: %d %s", *j, status, st.Error)
		if status == 201 {
			accepted++
			if rng.Intn(3) > 0 {
				time.AfterFunc(time.Duration(rng.Intn(10000))*time.Millisecond, func() { c.abort(j.id, c.dep.nodes[rng.Intn(3)]) })
			}
		}
		for _, name := range c.dep.nodes {
			if c.hasEnded(name) {
				rec.violation("controller %s has ended", name)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Println("seed", seed, "accepted", accepted)
	for range 40 {
		time.Sleep(time.Second)
		for _, name := range c.dep.nodes {
			if c.hasEnded(name) {
				rec.violation("controller %s has ended", name)
				return
			}
			if status, _ := call(c.users, http.MethodGet, "http://"+c.nodes[name].api+"/up", nil, nil, time.Second); status != 200 {
				rec.logf("%s /up: %d", name, status)
				fmt.Println(name, "/up", status)
			}
		}
	}
}
