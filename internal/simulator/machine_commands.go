package simulator

import (
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

func (m *Machine) serve(method, path string, body []byte, reply func(int, any)) {
	if m.deleted || !m.running {
		return
	}
	if m.Hung {
		m.cluster.after(time.Second, func() { m.serve(method, path, body, reply) })
		return
	}
	if path == "/status" {
		reply(200, m.buildReport())
		return
	}
	var c protocol.CommandBatch
	if protocol.Decode(body, &c) != nil || c.FencingToken == 0 || c.Incarnation == 0 {
		reply(400, nil)
		return
	}
	if c.FencingToken < m.token || c.Incarnation != m.session {
		reply(409, m.buildReport())
		return
	}
	m.token = c.FencingToken
	m.executeCommands(c.Commands)
	reply(200, m.buildReport())
}

func (m *Machine) findAttempt(piece string, try uint64) *attempt {
	for _, t := range m.attempts {
		if t.String() == piece && t.number == try {
			return t
		}
	}
	return nil
}

func (m *Machine) executeCommands(orders []protocol.Command) bool {
	did := false
	for _, command := range orders {
		t := m.findAttempt(command.Task, command.Attempt)
		switch command.Verb {
		case protocol.CommandLaunch:
			if t == nil {
				m.launch(command)
				did = true
			}
		case protocol.CommandStop:
			if t != nil && t.state != protocol.TaskEnded {
				m.stopTask(t, command.GraceSeconds)
				did = true
			}
		case protocol.CommandAcknowledge:
			if t != nil && t.state == protocol.TaskEnded {
				for i := range m.attempts {
					if m.attempts[i] == t {
						m.attempts = append(m.attempts[:i:i], m.attempts[i+1:]...)
						break
					}
				}
			}
		}
	}
	return did
}

func (m *Machine) launch(command protocol.Command) {
	key, _ := agent.ParseTaskID(command.Task)
	t := &attempt{TaskID: key, number: command.Attempt}
	m.attempts = append(m.attempts, t)
	if home, whose := m.cluster.origin(key); home.cancelledAt[whose.Job] > 1 {
		home.histories.job(whose.Job).launchesAfterCancellation++
	}
	job := m.cluster.jobByID(key.Job)
	refuse := func(cause protocol.TerminationCause) { t.state, t.cause = protocol.TaskEnded, cause }
	if job == nil || key.Index >= job.Tasks {
		refuse(protocol.CauseUnknownTask)
		return
	}
	cores, mem, gpus := m.machineType.Cores, m.machineType.MemoryGB, m.machineType.GPUs
	for _, x := range m.attempts {
		if job := m.cluster.jobByID(x.Job); x != t && x.state != protocol.TaskEnded && job != nil {
			if x.TaskID == key {
				refuse(protocol.CauseOtherAttemptPresent)
				return
			}
			cores, mem, gpus = cores-job.Cores, mem-job.MemoryGB, gpus-job.GPUs
		}
	}
	if cores < job.Cores-1e-9 || mem < job.MemoryGB-1e-9 || gpus < job.GPUs-1e-9 {
		refuse(protocol.CauseMachineFull)
		return
	}
	t.state = protocol.TaskPullingImage
	m.scheduleStep(t, time.Duration(job.ImageGB/m.machineType.FetchGBPerSecond*float64(time.Second)), func() {
		if m.Faulty || m.cluster.FailingJobs[key.Job] {
			m.cluster.FailedStarts = append(m.cluster.FailedStarts, key)
			m.endAttempt(t, protocol.CauseError)
			return
		}
		t.present = true
		m.observe(t, "start")
		m.cluster.recordStart(m, t, job)
		if job.Shape == protocol.ShapeGang {
			t.state = protocol.TaskWaitingForGang
			m.scheduleStep(t, time.Duration(m.cluster.Settings.Deployment.Workers.GangWait*float64(time.Second)), func() { m.endAttempt(t, protocol.CauseGangIncomplete) })
			m.reportSoon()
			m.cluster.startGang(job, t.number)
			return
		}
		m.runTask(t, job)
	})
}

func (m *Machine) stopTask(t *attempt, grace *float64) {
	job := m.cluster.jobByID(t.Job)
	if t.state == protocol.TaskRunning && job.CheckpointInterval > 0 && grace != nil && *grace >= job.CheckpointDuration {
		t.state = protocol.TaskCheckpointing
		m.scheduleStep(t, time.Duration(job.CheckpointDuration*float64(time.Second)), func() { t.saved = true; m.endAttempt(t, protocol.CauseStopped) })
		return
	}
	if t.state == protocol.TaskCheckpointing && grace != nil && *grace > 0 {
		return
	}
	m.endAttempt(t, protocol.CauseStopped)
}
