package simulator

import (
	"strings"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// ServeAPI connects the controllers' outer interface to the network.
func (c *Cluster) ServeAPI() {
	for _, name := range c.controllerNames {
		process := c.Controllers[name]
		serve := func(method, path string, body []byte, reply func(int, any)) {
			user := func(status int, b any, _ int) { reply(status, b) }
			switch {
			case path == "/v1/report":
				report := &protocol.Report{}
				if protocol.Decode(body, report) != nil {
					reply(400, nil)
					return
				}
				process.Controller.HandleHeartbeat(report, reply)
			case method == "POST" && path == "/v2/runs":
				process.Controller.Submit(body, 0, user)
			case method == "POST":
				process.Controller.Cancel(strings.TrimSuffix(strings.TrimPrefix(path, "/v2/runs/"), "/abort"), user)
			default:
				process.Controller.Poll(strings.TrimPrefix(path, "/v2/runs/"), user)
			}
		}
		c.handlers[c.address("api-"+name)] = func(method, path string, body []byte, reply func(int, any)) {
			if process.SocketsExhausted && process.running { // no free socket: the connection fails at once
				reply(0, nil)
				return
			}
			process.execute(process.incarnation, func() { serve(method, path, body, reply) })
		}
	}
}

// apiAddress is where a controller serves users and workers.
func (c *Cluster) apiAddress(name string) string { return c.Controllers[name].settings.API }

func (c *Cluster) randomController() string {
	n := c.runningControllers()
	if len(n) == 0 {
		return c.apiAddress("n0")
	}
	return c.apiAddress(n[c.random.IntN(len(n))])
}

// Submit submits at a time given in seconds, repeats until it is accepted,
// and then polls until the job is over.
func (c *Cluster) Submit(at float64, submission *protocol.Submission) {
	c.At(at, func() { c.trySubmit(submission, 0) })
}

func (c *Cluster) trySubmit(submission *protocol.Submission, tries int) {
	id := *submission.ID
	c.histories.recordSubmission(id, c.now)
	if job, err := submission.Validate(); err == nil && c.jobs[id] == nil {
		c.jobs[id], c.submissions[id] = job, submission
		c.histories.job(id).maxConcurrent = maxConcurrentTasks(job, c.Settings.Team(job.Team))
	}
	c.request(c.address("user"), c.randomController(), "POST", "/v2/runs", submission, nil, 5*time.Second, func(status int) {
		switch status {
		case 200, 201:
			c.Trace("%s accepted", id)
			c.histories.recordAnswer(id, c.now)
			if c.reportedStatus[id] == "" { // else a cancellation's answer came first
				c.reportedStatus[id] = protocol.JobPending
				c.notifyStatus(id, protocol.JobPending)
			}
			c.pollStatus(id)
		case 400, 422:
			c.Trace("%s refused with %d", id, status)
		default:
			if c.State.Unavailable {
				c.failedSubmissions[id]++
			}
			if tries == 30 { // gives up: nobody has told them of anything
				return
			}
			c.after(time.Second, func() { c.trySubmit(submission, tries+1) })
		}
	})
}

// TraceRequest makes one request and traces its status.
func (c *Cluster) TraceRequest(at float64, method, path string, body any) {
	c.At(at, func() {
		c.request(c.address("user"), c.randomController(), method, path, body, nil, 5*time.Second, func(status int) {
			c.Trace("%s %s -> %d", method, path, status)
		})
	})
}

func (c *Cluster) pollStatus(id string) {
	out, asked := &protocol.JobState{}, c.now
	c.request(c.address("user"), c.randomController(), "GET", "/v2/runs/"+id, nil, out, 2*time.Second, func(status int) {
		switch {
		case status == 200 && c.endReportedAt[id] > asked && out.Status != c.reportedStatus[id]:
			// Answered before the other, for all that anyone can tell: they crossed.
		case status == 404:
			c.reportViolation("forgotten: %s gets 404", id)
		case status == 200:
			c.histories.recordAnswer(id, c.now)
			c.recordStatus(id, out.Status)
		}
		if was := c.reportedStatus[id]; was != protocol.JobDone && was != protocol.JobCancelled {
			c.after(2*time.Second, func() { c.pollStatus(id) })
		} else {
			c.after(20*time.Second, func() { c.pollStatus(id) }) // it must stay so
		}
	})
}

func (c *Cluster) recordStatus(id string, status protocol.JobStatus) {
	was := c.reportedStatus[id]
	if cancel := time.Duration(c.Settings.Deployment.Workers.Cancel * float64(time.Second)); (status == protocol.JobPending || status == protocol.JobRunning) && c.hasCancelledDependency(id, cancel) {
		c.reportViolation("orphaned: %s is called %s", id, status)
	}
	if (was == protocol.JobDone || was == protocol.JobCancelled) && status != was {
		c.reportViolation("went_back: %s was %s, is %s", id, was, status)
	}
	if status == was {
		return
	}
	if status == protocol.JobDone {
		for i := 0; i < c.jobs[id].Tasks; i++ {
			if !c.completedTasks[agent.TaskID{Job: id, Index: i}] {
				c.reportViolation("not_done: %s/%d", id, i)
			}
		}
	}
	if status == protocol.JobCancelled && c.cancelledAt[id] == 0 && !c.hasCancelledDependency(id, 0) {
		c.reportViolation("went_back: %s was not cancelled", id)
	}
	c.reportedStatus[id] = status
	if status == protocol.JobDone || status == protocol.JobCancelled {
		c.endReportedAt[id] = c.now
	}
	if status != protocol.JobPending {
		c.Trace("%s is %s", id, status)
	}
	c.notifyStatus(id, status)
}

func (c *Cluster) notifyStatus(id string, status protocol.JobStatus) {
	if c.OnStatusReported != nil {
		c.OnStatusReported(id, status)
	}
}

// Cancel cancels at a time given in seconds.
func (c *Cluster) Cancel(at float64, id string) { c.At(at, func() { c.requestCancellation(id) }) }

func (c *Cluster) requestCancellation(id string) {
	if c.cancelledAt[id] == 0 {
		c.cancelledAt[id] = 1 // asked for
	}
	out := &protocol.JobState{}
	c.request(c.address("user"), c.randomController(), "POST", "/v2/runs/"+id+"/abort", nil, out, 5*time.Second, func(status int) {
		if status != 200 {
			c.after(time.Second, func() { c.requestCancellation(id) })
			return
		}
		if out.Status == protocol.JobCancelled && c.cancelledAt[id] <= 1 {
			c.recordCancellation(id)
		}
		c.recordStatus(id, out.Status)
	})
}

// recordCancellation: its user was told so now.
func (c *Cluster) recordCancellation(id string) {
	c.cancelledAt[id] = c.now
	var look func()
	look = func() {
		if len(c.MachinesRunning(id)) > 0 {
			c.histories.job(id).presentAfterCancellation = c.now - c.cancelledAt[id]
			c.after(200*time.Millisecond, look)
		}
	}
	look()
	c.after(time.Duration(c.Settings.Deployment.Workers.Cancel*float64(time.Second)), func() {
		c.forEachAttempt(func(machine *Machine, t *attempt) {
			if _, o := machine.cluster.origin(t.TaskID); o.Job == id && t.present {
				c.reportViolation("ran_cancelled: %s is still on %s", t, machine.id)
			}
		})
	})
}

// ReportedStatus is what a job's user was told last.
func (c *Cluster) ReportedStatus(id string) protocol.JobStatus { return c.reportedStatus[id] }
