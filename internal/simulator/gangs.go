package simulator

import (
	"strconv"
	"time"

	"curlewspool/internal/protocol"
)

// gangCheckInterval is the interval at which a running gang is checked for lost members.
const gangCheckInterval = 500 * time.Millisecond

// gangMember is the attempt of one task of a gang and the machine that runs it.
type gangMember struct {
	machine *Machine
	attempt *taskAttempt
}

// gangMembers returns the gang's attempts that have the given number and for which include
// returns true.
func (c *Cluster) gangMembers(job *protocol.Job, number uint64, include func(*taskAttempt) bool) (members []gangMember) {
	for _, id := range c.machineIDs() {
		machine := c.Machines[id]
		for _, attempt := range machine.attempts {
			if attempt.Job == job.ID && attempt.number == number && include(attempt) {
				members = append(members, gangMember{machine, attempt})
			}
		}
	}
	return members
}

func (a *taskAttempt) isWaitingForGang() bool { return a.state == protocol.TaskWaitingForGang }

func (a *taskAttempt) isPresent() bool { return a.present }

// startGang starts an attempt of a gang once all its tasks are waiting.
func (c *Cluster) startGang(job *protocol.Job, number uint64) {
	members := c.gangMembers(job, number, (*taskAttempt).isWaitingForGang)
	if len(members) < job.Tasks {
		return
	}
	c.Trace("  gang %s runs with %s tasks", job.ID, strconv.Itoa(len(members)))
	runtime := ActualRuntime(job, 0)
	for _, member := range members {
		member.attempt.step++ // cancels the timeout for the missing members
		member.attempt.state = protocol.TaskRunning
		if c.hasResult(member.attempt) {
			runtime = 0
			member.attempt.resultExisted = true
		}
		member.machine.reportSoon()
	}
	c.monitorGang(job, number, runtime)
}

// monitorGang ends all members of a gang when its runtime has passed or a member is lost.
func (c *Cluster) monitorGang(job *protocol.Job, number uint64, runtime time.Duration) {
	started := c.now
	var check func()
	check = func() {
		members := c.gangMembers(job, number, (*taskAttempt).isPresent)
		switch {
		case len(members) == 0:
		case len(members) < job.Tasks:
			endGang(members, protocol.CauseGangMemberLost)
		case c.now-started >= runtime:
			endGang(members, protocol.CauseDone)
		default:
			c.after(gangCheckInterval, check)
		}
	}
	c.after(gangCheckInterval, check)
}

func endGang(members []gangMember, cause protocol.TerminationCause) {
	for _, member := range members {
		member.machine.endAttempt(member.attempt, cause)
	}
}
