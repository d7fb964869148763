package main

import "time"

// reviewCase is a case: the settings under which it runs, and what happens in it.
type reviewCase struct {
	site func() Site
	run  func(c *Cluster, trouble bool)
}

// cases holds the cases by the name of their folder. Each case has a file of its own.
var cases = map[string]reviewCase{}

// ready waits until all controllers are healthy and all machines have had a report answered.
func (c *Cluster) ready() {
	for time.Since(c.started) < 20*time.Second {
		isReady := len(c.healthyNodes()) == len(c.nodes)
		c.mu.Lock()
		for _, m := range c.machines {
			m.mu.Lock()
			isReady = isReady && !m.answered.IsZero()
			m.mu.Unlock()
		}
		c.mu.Unlock()
		if isReady {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.inconclusive("the controllers did not answer all machines within 20 s")
}

// addInitial adds machines that were up before the controllers start.
func (c *Cluster) addInitial(build, zone string, spot bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addMachine(build, zone, spot, c.started.Add(-time.Hour), 0)
}

// waitDone polls a job twice a second until it is done.
func (c *Cluster) waitDone(job *Job, limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if _, state := c.poll(job); state == "done" {
			return
		}
	}
	c.inconclusive("%s is not done within %v", job.ID, limit)
}
