package simulator

import (
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// taskAttempt is one attempt of a task on a machine.
type taskAttempt struct {
	agent.TaskID
	number        uint64
	state         protocol.TaskState
	cause         protocol.TerminationCause // reason why the attempt ended; "": the attempt has not ended
	checkpointed  bool
	present       bool // the image was fetched, and the attempt has not ended
	resultExisted bool // an earlier attempt had already completed the task
	step          int  // number of the current step; steps with lower numbers no longer run
}

// scheduleStep runs f after a delay, unless another step was scheduled or the attempt was
// removed in the meantime. A hung machine runs f when it resumes.
func (m *Machine) scheduleStep(attempt *taskAttempt, delay time.Duration, f func()) {
	attempt.step++
	step := attempt.step
	var runStep func()
	runStep = func() {
		if m.deleted || attempt.step != step || m.findAttempt(attempt.String(), attempt.number) != attempt {
			return
		}
		if m.Hung {
			m.cluster.after(hungRetryInterval, runStep)
			return
		}
		f()
	}
	m.cluster.after(delay, runStep)
}

// ActualRuntime returns the actual runtime of a task, which differs slightly from its job's
// estimate.
func ActualRuntime(job *protocol.Job, index int) time.Duration {
	return env.Seconds(job.Estimate * (0.9 + 0.05*float64(index%5)))
}

// startTask starts a task whose image was fetched, or ends the attempt with an error if the machine
// or the job is faulty. A task of a gang then waits for the other members.
func (m *Machine) startTask(attempt *taskAttempt, job *protocol.Job) {
	if m.Faulty || m.cluster.FailingJobs[attempt.Job] {
		m.cluster.FailedStarts = append(m.cluster.FailedStarts, attempt.TaskID)
		m.endAttempt(attempt, protocol.CauseError)
		return
	}
	attempt.present = true
	m.observe(attempt, observedStart)
	m.cluster.checkStart(m, attempt, job)
	if job.Shape != protocol.ShapeGang {
		m.runTask(attempt, job)
		return
	}
	attempt.state = protocol.TaskWaitingForGang
	gangWait := env.Seconds(m.cluster.Settings.Deployment.Workers.GangWait)
	m.scheduleStep(attempt, gangWait, func() { m.endAttempt(attempt, protocol.CauseGangIncomplete) })
	m.reportSoon()
	m.cluster.startGang(job, attempt.number)
}

// runTask runs a task until it is done, and a task of a service until it is stopped. A task
// that an earlier attempt completed is done at once.
func (m *Machine) runTask(attempt *taskAttempt, job *protocol.Job) {
	attempt.state = protocol.TaskRunning
	m.reportSoon()
	if job.Shape == protocol.ShapeService {
		return
	}
	runtime := m.cluster.scaledRuntime(job, attempt.Index)
	if m.cluster.hasResult(attempt) {
		runtime = 0
		attempt.resultExisted = true
	}
	m.scheduleStep(attempt, runtime, func() { m.endAttempt(attempt, protocol.CauseDone) })
}

// scaledRuntime returns a task's actual runtime, scaled by RuntimeFactors and RuntimeSpread.
func (c *Cluster) scaledRuntime(job *protocol.Job, index int) time.Duration {
	factor := factorOrOne(c.RuntimeFactors[job.Class])
	spread := 1 + c.RuntimeSpread[job.Class]*float64(index)
	return time.Duration(float64(ActualRuntime(job, index)) * factor * spread)
}

// hasResult reports whether an earlier attempt completed the task.
func (c *Cluster) hasResult(attempt *taskAttempt) bool {
	home, task := c.homeTask(attempt.TaskID)
	return home.completedTasks[task]
}

// endAttempt ends an attempt with a cause.
func (m *Machine) endAttempt(attempt *taskAttempt, cause protocol.TerminationCause) {
	attempt.step++
	switch {
	case attempt.resultExisted && cause == protocol.CauseDone:
		m.observe(attempt, observedResultReused)
	case attempt.present:
		m.observe(attempt, string(cause))
	}
	attempt.state = protocol.TaskEnded
	attempt.cause = cause
	attempt.present = false
	if cause == protocol.CauseDone {
		m.cluster.recordCompletion(attempt.TaskID)
	}
	m.reportSoon()
}

// recordCompletion records in the home cluster of a task that the task is done.
func (c *Cluster) recordCompletion(id agent.TaskID) {
	home, task := c.homeTask(id)
	home.completedTasks[task] = true
	c.histories.recordCompletion(task)
	completed := len(c.histories.job(task.Job).completedTasks)
	if c.OnJobCompleted != nil && completed == home.jobs[task.Job].Tasks {
		c.OnJobCompleted(task.Job)
	}
	c.Trace("  %s done", id)
}

// MachinesRunning returns the ids of this cluster's machines on which tasks of a job are present.
func (c *Cluster) MachinesRunning(job string) []string {
	var ids []string
	for _, id := range c.machineIDs() {
		for _, attempt := range c.Machines[id].attempts {
			if attempt.Job == job && attempt.present {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}
