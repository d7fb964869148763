package protocol

import (
	"errors"
	"time"
)

// TaskState is the state of a task on its machine.
type TaskState string

// The states of tasks.
const (
	TaskPullingImage   TaskState = "pulling"
	TaskWaitingForGang TaskState = "waiting" // the task is ready, and waits for the other tasks of its gang
	TaskRunning        TaskState = "running"
	TaskCheckpointing  TaskState = "flushing" // the task is being stopped and saves a checkpoint
	TaskEnded          TaskState = "ended"    // TaskReport.Cause has the reason
)

// TerminationCause is the reason why a task has ended.
type TerminationCause string

// The causes of termination.
const (
	CauseDone           TerminationCause = "done"
	CauseStopped        TerminationCause = "halted"
	CauseGangMemberLost TerminationCause = "mates_gone"
	CauseGangIncomplete TerminationCause = "incomplete" // not all tasks of the gang were ready in time
	CauseError          TerminationCause = "error"

	// The causes below mean that the agent refused the launch.

	CauseMachineFull         TerminationCause = "full"    // the machine has too little free capacity for the task
	CauseOtherAttemptPresent TerminationCause = "busy"    // the machine has another attempt of the task
	CauseUnknownTask         TerminationCause = "unknown" // the agent knows of no job with this task
)

// TaskReport describes a task on a machine, as part of a Report.
type TaskReport struct {
	Task         string           `cbor:"piece"`
	Attempt      uint64           `cbor:"try"`
	State        TaskState        `cbor:"status"`
	Cause        TerminationCause `cbor:"cause"`
	Checkpointed bool             `cbor:"kept"`
}

// Report describes an agent's machine and the tasks on it. An agent sends a Report as its heartbeat
// (the body of POST /v1/report) and as its response to GET /status and POST /orders.
type Report struct {
	Machine          string       `cbor:"kiln"`
	Address          string       `cbor:"address"`
	Type             string       `cbor:"build"`
	Zone             string       `cbor:"yard"`
	Spot             bool         `cbor:"loaners"`
	Incarnation      uint64       `cbor:"shift"`
	Sequence         uint64       `cbor:"tally"`    // grows with each report of an incarnation
	FencingToken     uint64       `cbor:"baton"`    // the highest token that the agent has received
	PreemptionNotice *float64     `cbor:"warningS"` // seconds until preemption; nil: no notice
	Tasks            []TaskReport `cbor:"pieces"`
}

// An agent waits up to ReportTimeout for the response to its report. If none arrives, it waits for
// NextControllerDelay and sends the report to the next controller.
const (
	ReportTimeout       = 4 * time.Second
	NextControllerDelay = time.Second
)

// maxNoticeSeconds bounds a preemption notice so that it fits in a time.Duration.
const maxNoticeSeconds = 1e9

// The errors of Report.Validate. Their texts are sent to agents and use the protocol's names.
var (
	ErrNoMachine     = errors.New("no machine")
	ErrNoAttributes  = errors.New("no address, type or zone")
	ErrNoIncarnation = errors.New("no session")
	ErrInvalidNotice = errors.New("warningS is not a time")
)

// Validate returns an error if the report lacks a required field or has an invalid preemption
// notice.
func (r *Report) Validate() error {
	switch {
	case r.Machine == "":
		return ErrNoMachine
	case r.Address == "" || r.Type == "" || r.Zone == "":
		return ErrNoAttributes
	case r.Incarnation == 0:
		return ErrNoIncarnation
	case r.PreemptionNotice != nil && !isValidNotice(*r.PreemptionNotice):
		return ErrInvalidNotice
	}
	return nil
}

// isValidNotice reports whether a preemption notice is a valid duration. NaN is not valid.
func isValidNotice(seconds float64) bool { return seconds >= 0 && seconds < maxNoticeSeconds }

// IsNewerThan reports whether the agent made this report after the one with the given incarnation
// and sequence number.
func (r *Report) IsNewerThan(incarnation, sequence uint64) bool {
	if r.Incarnation != incarnation {
		return r.Incarnation > incarnation
	}
	return r.Sequence > sequence
}

// CommandVerb is the action of a command.
type CommandVerb string

// The verbs of commands.
const (
	CommandLaunch      CommandVerb = "launch"
	CommandStop        CommandVerb = "halt" // stop the task; it gets a grace period to save a checkpoint
	CommandAcknowledge CommandVerb = "reap" // the end of the attempt is stored, so the agent may forget the attempt
)

// Command tells an agent to launch, stop or acknowledge one attempt of a task.
type Command struct {
	Verb         CommandVerb `cbor:"verb"`
	Task         string      `cbor:"piece"`
	Attempt      uint64      `cbor:"try"`
	GraceSeconds *float64    `cbor:"leewayS,omitempty"`
}

// commandOverhead is the maximum size of an encoded command without the job's ID, in the JSON form.
const commandOverhead = 97

// CommandSize returns the maximum encoded size of a command about a task of a job, in bytes.
func CommandSize(job string) int { return len(job) + commandOverhead }

// CommandBatch is the response to a report, and the body of POST /orders. Incarnation is set only in
// POST /orders.
type CommandBatch struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"shift,omitempty"`
	Commands     []Command `cbor:"orders"`
}
