package agent

import (
	"strconv"
	"strings"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
)

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string
	Index int
}

// String returns the ID as the protocol writes it, for example "job/3".
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses the result of TaskID.String. It returns false if s is malformed.
func ParseTaskID(s string) (TaskID, bool) {
	slash := strings.LastIndexByte(s, '/')
	if slash < 0 {
		return TaskID{}, false
	}
	index, err := strconv.Atoi(s[slash+1:])
	return TaskID{s[:slash], index}, err == nil && index >= 0
}

// AttemptID identifies one attempt of a task.
type AttemptID struct {
	TaskID
	Number uint64
}

// Attempt is one attempt of a task. The attempt exists on the machine, may exist there, or is to
// be launched there.
type Attempt struct {
	AttemptID
	State        protocol.TaskState // state in the newest report; "": never reported
	Cause        protocol.TerminationCause
	Checkpointed bool

	AwaitingRecord bool // the launch waits until the key-value store has a record of the attempt
	Acknowledge    bool // the outcome is recorded, so the agent may forget the attempt
	StopRequested  bool
	GraceSeconds   float64 // grace period of the requested stop
	PlacedAt       time.Duration
	StartedAt      time.Duration // when a report first showed the attempt running; 0: never
	Orphaned       bool          // a report listed the attempt, but it could not be adopted: it is stopped and acknowledged
	// RemoteLease limits how long a hosted task, which is a task of a partner cluster's job,
	// may run. It is nil for the tasks of this cluster's jobs.
	RemoteLease *remotelease.Validity

	stopSentAt      time.Duration // when a stop command was last sent; 0: none since the stop was requested or its grace period shortened
	launch          launchRecord
	acknowledgement sendRecord
}

// launchRecord describes the launch command of an attempt.
type launchRecord struct {
	sendRecord
	delivery Delivery
	token    uint64 // fencing token of the message with the command
}

// sendRecord holds whether a command was sent, and which report was the newest at that time.
// Only a newer report can show whether the command was executed.
type sendRecord struct {
	sent                  bool
	incarnation, sequence uint64
}

// predates returns true if the given report is newer than every report that was received before the
// command was sent.
func (s *sendRecord) predates(report *protocol.Report) bool {
	return report.IsNewerThan(s.incarnation, s.sequence)
}

// MayExist reports whether the attempt exists, or may exist, on the machine.
func (a *Attempt) MayExist() bool { return a.launch.sent || a.State != "" }

// HasEnded reports whether the attempt has ended on the machine.
func (a *Attempt) HasEnded() bool { return a.State == protocol.TaskEnded }

// remoteLeaseExpired reports whether the attempt needs a remote lease that is not valid. A remote
// lease is not valid if it has expired, was revoked or was never renewed.
func (a *Attempt) remoteLeaseExpired(now time.Duration) bool {
	return a.RemoteLease != nil && !a.RemoteLease.IsValid(now)
}

// needsStop reports whether the agent must be sent a command to stop the attempt.
func (a *Attempt) needsStop() bool {
	return a.StopRequested && !a.HasEnded() && a.MayExist()
}

// isDirectStopDue reports whether a direct command to stop the attempt is due. The first one is due
// at once. It is repeated after stopRepeatInterval, unless the agent has reported that the attempt
// is checkpointing or has ended.
func (a *Attempt) isDirectStopDue(now time.Duration) bool {
	if !a.needsStop() {
		return false
	}
	if a.stopSentAt == 0 {
		return true
	}
	return a.State != protocol.TaskCheckpointing && now-a.stopSentAt > stopRepeatInterval
}

// isLaunchable reports whether the attempt may be launched: it was not launched yet, is not to be
// stopped and does not wait for its record.
func (a *Attempt) isLaunchable() bool {
	return !a.MayExist() && !a.StopRequested && !a.AwaitingRecord
}
