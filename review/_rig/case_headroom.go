package main

import "time"

func init() { cases["x4"] = headroom }

// headroom: a small array waits beside a large machine that is empty.
func headroom(rec *recorder, trouble bool) {
	c := newCluster(rec, small(), licenceTypes())
	defer c.stop()
	large := c.cloud.add("shrimper", "thies-hall", false)
	small := []*worker{c.cloud.add("skiff", "thies-hall", false), c.cloud.add("skiff", "thies-hall", false)}
	c.startAll()
	c.await("the machines have an owner's token", 20*time.Second, func() bool {
		for _, w := range append(small, large) {
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
	first := &jobSpec{id: "wk-000001", trade: "agency-sync", crew: "atelier-central", shape: "ensemble", rank: "high", pieces: 1,
		cores: 30, memory: 100, reckon: 2, runS: 2, pull: 0.2}
	c.submit(first, "kiln-0", "kiln-1", "kiln-2")
	c.await("the linked load test is done", 20*time.Second, func() bool {
		_, state := c.ask(first.id, "kiln-1")
		return state.Status == "done"
	})
	if trouble {
		for _, w := range small {
			c.cloud.die(w)
		}
	}
	job := &jobSpec{id: "wk-000002", trade: "renewal-batch", crew: "atelier-central", shape: "batch", rank: "standard", pieces: 8,
		cores: 4, memory: 3.1, reckon: 3, runS: 3, pull: 0.2, loaners: true}
	c.submit(job, "kiln-0", "kiln-1", "kiln-2")
	since := time.Now()
	done := c.wait(95*time.Second, func() bool {
		time.Sleep(900 * time.Millisecond)
		_, state := c.ask(job.id, "kiln-1")
		return state.Status == "done"
	})
	c.site.mu.Lock()
	started := 0
	for _, l := range c.site.launches {
		if l.at.After(since) && l.worker == large.id {
			started++
		}
	}
	c.site.mu.Unlock()
	if !done && started == 0 {
		rec.violation("%s has waited for %.0f s while %s, where it fits, was empty", job.id, time.Since(since).Seconds(), large.id)
	}
}

// licenceTypes are machine types of the licence office.
func licenceTypes() []machineType {
	yards := []string{"thies-hall", "mbour-store"}
	return []machineType{
		{Label: "skiff", Cores: 4, MemoryGb: 16, LocalGb: 50, FetchGbPerS: 0.4, Rate: 0.3, SpotPrice: 0.1, BootS: 25, Yards: yards},
		{Label: "shrimper", Cores: 32, MemoryGb: 128, LocalGb: 80, FetchGbPerS: 1, Rate: 2.51, SpotPrice: 0.8, BootS: 40, Yards: yards},
	}
}
