package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// waitBound is the time for which no job may be left waiting although a machine has room.
	waitBound = 90 * time.Second
	// unansweredBound is the time without an answer after which a job counts as forgotten.
	unansweredBound = 75 * time.Second
	// lastJudgement is when a case ends that nothing has decided.
	lastJudgement = 117 * time.Second
	// pollInterval is the time between two polls of a user.
	pollInterval = 5 * time.Second
)

// expectNotLeftWaiting polls a job as its user does until it is done. It reports a violation if, once the
// troubles are over, the job waits for waitBound with no task on any machine, while all the time some machine
// whose reports are answered has room for all of the job's tasks.
func (c *Cluster) expectNotLeftWaiting(job *Job, troublesOver time.Time) {
	var waitsSince, nextPoll time.Time
	for time.Since(c.started) < lastJudgement {
		now := time.Now()
		if now.After(nextPoll) {
			nextPoll = now.Add(pollInterval)
			if _, state := c.poll(job); state == "done" {
				return
			}
		}
		room := ""
		if now.After(troublesOver) && !c.isOnMachines(job) && !c.hasCompleted(job) {
			room = c.machineWithRoom(job)
		}
		switch {
		case room == "":
			waitsSince = time.Time{}
		case waitsSince.IsZero():
			waitsSince = now
			c.record("judge: %s waits from here on, and %s has room for all of it", job.ID, room)
		case now.Sub(waitsSince) > waitBound:
			c.violate("%s is left waiting for %v while %s has room for all of it and its team is under its limit", job.ID, waitBound, room)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.inconclusive("%s is neither done nor was it left waiting for %v", job.ID, waitBound)
}

// isOnMachines reports whether any machine has, or fetches the image for, a task of the job.
func (c *Cluster) isOnMachines(job *Job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		m.mu.Lock()
		for _, t := range m.tasks {
			if id, _ := splitPiece(t.piece); id == job.ID && t.state != "ended" {
				m.mu.Unlock()
				return true
			}
		}
		m.mu.Unlock()
	}
	return false
}

// hasCompleted reports whether all tasks of the job have completed.
func (c *Cluster) hasCompleted(job *Job) bool {
	c.jobsMu.Lock()
	defer c.jobsMu.Unlock()
	for i := range job.Pieces {
		if !c.done[fmt.Sprintf("%s/%d", job.ID, i)] {
			return false
		}
	}
	return true
}

// machineWithRoom returns a machine that may run the job and has room for all of its tasks, or "".
func (c *Cluster) machineWithRoom(job *Job) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.hasRoomFor(job) {
			return m.id
		}
	}
	return ""
}

// hasRoomFor reports whether the machine is up, is not about to be taken, has its reports answered, is of a
// type and kind that the job allows, and has room for all of the job's tasks.
func (m *Machine) hasRoomFor(job *Job) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isOff || !m.warningUntil.IsZero() || m.spot && !job.Loaners || time.Since(m.answered) > 2*m.cluster.site.Report {
		return false
	}
	if job.Builds != nil && !slices.Contains(job.Builds, m.build.Label) {
		return false
	}
	cores, memory := m.build.Cores, m.build.MemoryGb
	for _, t := range m.tasks {
		if t.state != "ended" {
			cores -= t.job.Cores
			memory -= t.job.MemoryGb
		}
	}
	return cores >= float64(job.Pieces)*job.Cores && memory >= float64(job.Pieces)*job.MemoryGb
}

// expectAnswers polls a job as its user does until it is done, and beside that asks all controllers directly.
// It reports a violation if, once the troubles are over, no question about the job is answered for
// unansweredBound.
func (c *Cluster) expectAnswers(job *Job, troublesOver time.Time) {
	answeredAt := troublesOver
	for time.Since(c.started) < lastJudgement {
		began := time.Now()
		status, state := c.poll(job)
		if status == 200 || c.askAll(job) {
			answeredAt = time.Now()
		}
		if state == "done" {
			return
		}
		if time.Since(answeredAt) > unansweredBound {
			c.violate("forgotten: no question about %s was answered for %v", job.ID, unansweredBound)
			return
		}
		time.Sleep(time.Until(began.Add(pollInterval)))
	}
	c.inconclusive("%s is neither done nor was it unanswered for %v", job.ID, unansweredBound)
}

// askAll asks all controllers about a job at once and reports whether any of them answered.
func (c *Cluster) askAll(job *Job) bool {
	var wait sync.WaitGroup
	var mu sync.Mutex
	isAnswered := false
	for _, n := range c.nodes {
		wait.Go(func() {
			status, answer := c.askNode(n, http.MethodGet, "/v2/runs/"+job.ID, nil, 2*time.Second)
			c.record("user: asks %s for %s: %d %v", n.name, job.ID, max(status, 0), answer)
			if status == 200 {
				mu.Lock()
				isAnswered = true
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return isAnswered
}
