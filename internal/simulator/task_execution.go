package simulator

import (
	"strconv"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// scheduleStep does f later unless the task has moved on or the machine is gone; a
// hung machine goes on when it resumes.
func (m *Machine) scheduleStep(t *attempt, duration time.Duration, f func()) {
	t.timerGeneration++
	n := t.timerGeneration
	var try func()
	try = func() {
		if m.deleted || t.timerGeneration != n || m.findAttempt(t.String(), t.number) != t {
			return
		}
		if m.Hung {
			m.cluster.after(time.Second, try)
			return
		}
		f()
	}
	m.cluster.after(duration, try)
}

// ActualRuntime is how long a task really takes: a little off its estimate.
func ActualRuntime(job *protocol.Job, index int) time.Duration {
	return time.Duration(job.Estimate * (0.9 + 0.05*float64(index%5)) * float64(time.Second))
}

func (m *Machine) runTask(t *attempt, job *protocol.Job) {
	t.state, t.since = protocol.TaskRunning, m.cluster.now
	m.reportSoon()
	if job.Shape == protocol.ShapeService {
		return
	}
	left := time.Duration(float64(ActualRuntime(job, t.Index))*orOne(m.cluster.RuntimeFactors[job.Class])*(1+m.cluster.RuntimeSpread[job.Class]*float64(t.Index))) - t.progress
	if home, whose := m.cluster.origin(t.TaskID); home.completedTasks[whose] {
		left, t.resultExisted = 0, true // its result is there from before
	}
	m.scheduleStep(t, left, func() { m.endAttempt(t, protocol.CauseDone) })
}

func (m *Machine) endAttempt(t *attempt, cause protocol.TerminationCause) {
	t.timerGeneration++
	switch {
	case t.resultExisted && cause == protocol.CauseDone:
		m.observe(t, "kept")
	case t.present:
		m.observe(t, string(cause))
	}
	t.state, t.cause, t.present = protocol.TaskEnded, cause, false
	if cause == protocol.CauseDone {
		m.cluster.recordCompletion(t.TaskID, m)
	}
	m.reportSoon()
}

func (c *Cluster) recordCompletion(t agent.TaskID, machine *Machine) {
	home, whose := c.origin(t)
	if home.completedTasks == nil {
		home.completedTasks = map[agent.TaskID]bool{}
	}
	home.completedTasks[whose] = true
	c.histories.recordCompletion(whose)
	if c.OnJobCompleted != nil && len(c.histories.job(whose.Job).completedTasks) == home.jobs[whose.Job].Tasks {
		c.OnJobCompleted(whose.Job)
	}
	c.Trace("  %s done", t)
}

// startGang starts the tasks of an attempt when all wait.
func (c *Cluster) startGang(job *protocol.Job, try uint64) {
	type at struct {
		w *Machine
		t *attempt
	}
	var all []at
	for _, id := range c.machineIDs() {
		for _, t := range c.Machines[id].attempts {
			if t.Job == job.ID && t.number == try && t.state == protocol.TaskWaitingForGang {
				all = append(all, at{c.Machines[id], t})
			}
		}
	}
	if len(all) < job.Tasks {
		return
	}
	c.Trace("  gang %s runs with %s tasks", job.ID, strconv.Itoa(len(all)))
	takes := ActualRuntime(job, 0)
	for _, a := range all {
		a.t.timerGeneration++ // no longer waits
		a.t.state, a.t.since = protocol.TaskRunning, c.now
		if home, whose := c.origin(a.t.TaskID); home.completedTasks[whose] {
			takes, a.t.resultExisted = 0, true // its result is there from before
		}
		a.w.reportSoon()
	}
	c.monitorGang(job, try, takes)
}

// monitorGang ends a gang together: done, or gone with a lost mate.
func (c *Cluster) monitorGang(job *protocol.Job, try uint64, takes time.Duration) {
	started := c.now
	var check func()
	check = func() {
		n := 0
		var left []func(cause protocol.TerminationCause)
		for _, id := range c.machineIDs() {
			machine := c.Machines[id]
			for _, t := range machine.attempts {
				if t.Job == job.ID && t.number == try && t.present {
					n++
					left = append(left, func(cause protocol.TerminationCause) { machine.endAttempt(t, cause) })
				}
			}
		}
		switch {
		case n == 0:
		case n < job.Tasks:
			for _, f := range left {
				f(protocol.CauseGangMemberLost)
			}
		case c.now-started >= takes:
			for _, f := range left {
				f(protocol.CauseDone)
			}
		default:
			c.after(500*time.Millisecond, check)
		}
	}
	c.after(500*time.Millisecond, check)
}

// MachinesRunning lists the machines that run a task of a job now.
func (c *Cluster) MachinesRunning(job string) []string {
	var out []string
	for _, id := range c.machineIDs() {
		for _, t := range c.Machines[id].attempts {
			if t.Job == job && t.present {
				out = append(out, id)
				break
			}
		}
	}
	return out
}
