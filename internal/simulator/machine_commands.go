package simulator

import (
	"net/http"
	"slices"

	"curlewspool/internal/agent"
	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
)

// Paths of a machine's API. A request for any path other than pathStatus is handled as a batch of
// commands.
const (
	pathStatus   = "/status"
	pathCommands = "/orders"
)

// roundingError is the tolerance for sums of resources, which are floating-point numbers.
const roundingError = 1e-9

// serve answers requests of controllers. A machine that is deleted or not running does not answer,
// and a hung machine answers when it resumes.
func (m *Machine) serve(method, path string, body []byte, reply func(int, any)) {
	if m.deleted || !m.running {
		return
	}
	if m.Hung {
		m.cluster.after(hungRetryInterval, func() { m.serve(method, path, body, reply) })
		return
	}
	if path == pathStatus {
		reply(http.StatusOK, m.buildReport())
		return
	}
	var batch protocol.CommandBatch
	if protocol.Decode(body, &batch) != nil || batch.FencingToken == 0 || batch.Incarnation == 0 {
		reply(http.StatusBadRequest, nil)
		return
	}
	if batch.FencingToken < m.fencingToken || batch.Incarnation != m.incarnation {
		reply(http.StatusConflict, m.buildReport())
		return
	}
	m.fencingToken = batch.FencingToken
	m.executeCommands(batch.Commands)
	reply(http.StatusOK, m.buildReport())
}

// findAttempt returns the attempt of a task with the given number, or nil.
func (m *Machine) findAttempt(task string, number uint64) *taskAttempt {
	for _, attempt := range m.attempts {
		if attempt.String() == task && attempt.number == number {
			return attempt
		}
	}
	return nil
}

// executeCommands executes commands in order and reports whether any launched or stopped an
// attempt. Commands that were executed before have no effect.
func (m *Machine) executeCommands(commands []protocol.Command) (changed bool) {
	for _, command := range commands {
		attempt := m.findAttempt(command.Task, command.Attempt)
		switch command.Verb {
		case protocol.CommandLaunch:
			if attempt == nil {
				m.launch(command)
				changed = true
			}
		case protocol.CommandStop:
			if attempt != nil && attempt.state != protocol.TaskEnded {
				m.stopTask(attempt, command.GraceSeconds)
				changed = true
			}
		case protocol.CommandAcknowledge:
			if attempt != nil && attempt.state == protocol.TaskEnded {
				i := slices.Index(m.attempts, attempt)
				m.attempts = append(m.attempts[:i:i], m.attempts[i+1:]...)
			}
		}
	}
	return changed
}

// launch starts an attempt. If the machine can't run it, the attempt ends at once with the cause.
func (m *Machine) launch(command protocol.Command) {
	task, _ := agent.ParseTaskID(command.Task) // a malformed id yields an unknown job
	attempt := &taskAttempt{TaskID: task, number: command.Attempt}
	m.attempts = append(m.attempts, attempt)
	m.cluster.countLaunchAfterCancellation(task)
	job := m.cluster.jobByID(task.Job)
	if cause := m.refusalCause(attempt, job); cause != "" {
		attempt.state = protocol.TaskEnded
		attempt.cause = cause
		return
	}
	attempt.state = protocol.TaskPullingImage
	m.scheduleStep(attempt, env.Seconds(job.ImageGB/m.machineType.FetchGBPerSecond), func() { m.startTask(attempt, job) })
}

// refusalCause returns why the machine can't run an attempt that was just added, or "" if it can.
func (m *Machine) refusalCause(attempt *taskAttempt, job *protocol.Job) protocol.TerminationCause {
	if job == nil || attempt.Index >= job.Tasks {
		return protocol.CauseUnknownTask
	}
	free := m.machineType
	for _, other := range m.attempts {
		otherJob := m.cluster.jobByID(other.Job)
		if other == attempt || other.state == protocol.TaskEnded || otherJob == nil {
			continue
		}
		if other.TaskID == attempt.TaskID {
			return protocol.CauseOtherAttemptPresent
		}
		free.Cores -= otherJob.Cores
		free.MemoryGB -= otherJob.MemoryGB
		free.GPUs -= otherJob.GPUs
	}
	if free.Cores < job.Cores-roundingError || free.MemoryGB < job.MemoryGB-roundingError || free.GPUs < job.GPUs-roundingError {
		return protocol.CauseMachineFull
	}
	return ""
}

// stopTask stops an attempt. A running attempt takes a checkpoint first if its job takes
// checkpoints and the grace period is long enough.
func (m *Machine) stopTask(attempt *taskAttempt, graceSeconds *float64) {
	job := m.cluster.jobByID(attempt.Job)
	if attempt.state == protocol.TaskRunning && job.CheckpointInterval > 0 && graceSeconds != nil && *graceSeconds >= job.CheckpointDuration {
		attempt.state = protocol.TaskCheckpointing
		m.scheduleStep(attempt, env.Seconds(job.CheckpointDuration), func() {
			attempt.checkpointed = true
			m.endAttempt(attempt, protocol.CauseStopped)
		})
		return
	}
	if attempt.state == protocol.TaskCheckpointing && graceSeconds != nil && *graceSeconds > 0 {
		return // the attempt ends when its checkpoint is complete
	}
	m.endAttempt(attempt, protocol.CauseStopped)
}
