package main

import (
	"fmt"
	"time"
)

// roomRule is the rule of the cases about waiting jobs.
const roomRule = 90 * time.Second

// hasRoom reports whether the machine is up and has room for a task of these amounts besides what is
// on it, is fetched there or waits there.
func (w *worker) hasRoom(cores, memory float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.gone {
		return false
	}
	cores, memory = w.kind.Cores-cores, w.kind.MemoryGb-memory
	for _, t := range w.tasks {
		if t.state != "ended" && t.job0 != nil {
			cores -= t.job0.cores
			memory -= t.job0.memory
		}
	}
	return cores > -1e-6 && memory > -1e-6
}

// watchWaiting watches jobs that wait. It returns true as soon as one of them has waited for more than
// 90 s without a break while each of the machines had room for a task of it, and false if that has not
// happened when the time is up or no job waits any more.
func (c *cluster) watchWaiting(limit time.Duration, machines []*worker, waiting ...*jobSpec) bool {
	since := map[string]time.Time{}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		left := 0
		for _, job := range waiting {
			isWaiting := c.launchesSince(job.id, time.Time{}) == 0
			if isWaiting {
				left++
			}
			for _, w := range machines {
				isWaiting = isWaiting && w.hasRoom(job.cores, job.memory)
			}
			if !isWaiting {
				delete(since, job.id)
				continue
			}
			if since[job.id].IsZero() {
				since[job.id] = time.Now()
			}
			if time.Since(since[job.id]) > roomRule {
				return true
			}
		}
		if left == 0 {
			return false
		}
	}
	return false
}

// launchesSince counts the start commands for tasks of a job that reached workers after a time.
func (c *cluster) launchesSince(id string, after time.Time) int {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	count := 0
	for _, l := range c.site.launches {
		if l.at.After(after) && len(l.piece) > len(id) && l.piece[:len(id)+1] == id+"/" {
			count++
		}
	}
	return count
}

// awaitTokens waits until each machine has been answered by an owner.
func (c *cluster) awaitTokens(machines ...*worker) {
	c.await("each machine has an owner", 20*time.Second, func() bool {
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
}

// poll asks about jobs every 5 s, as users do, until stop is closed.
func (c *cluster) poll(stop chan struct{}, jobs ...*jobSpec) {
	for i := 0; ; i++ {
		for _, job := range jobs {
			c.ask(job.id, c.dep.nodes[i%len(c.dep.nodes)])
		}
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Second):
		}
	}
}

func jobID(number int) string { return fmt.Sprintf("wk-%06d", number) }
