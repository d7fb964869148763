package agent

import (
	"slices"
	"time"

	"curlewspool/internal/protocol"
)

const (
	// maxCommands is the maximum number of commands in a message.
	maxCommands = 400
	// maxCommandBytes is the maximum encoded size of the commands in a message. It leaves space for
	// the rest of the message.
	maxCommandBytes = protocol.MaxBodyBytes - 256
)

// messageSpace is what further commands of a message may take.
type messageSpace struct {
	commands int
	bytes    int
}

func newMessageSpace() messageSpace { return messageSpace{maxCommands, maxCommandBytes} }

// take takes the space of a command about an attempt. It returns false if the space does not suffice.
func (m *messageSpace) take(attempt *Attempt) bool {
	size := protocol.CommandSize(attempt.Job)
	if m.commands < 1 || m.bytes < size {
		return false
	}
	m.commands--
	m.bytes -= size
	return true
}

// stopRepeatInterval is the minimum time between direct commands to stop an attempt that
// has not ended (see isDirectStopDue).
const stopRepeatInterval = time.Second

// Delivery says how commands are sent to an agent. An answer to a report is processed within
// seconds or dropped, and it renews the machine's lease. Direct commands may be executed
// minutes later, and they do not renew the lease.
type Delivery bool

// The ways to send commands to an agent.
const (
	InAnswer Delivery = false // in the answer to the newest report
	Direct   Delivery = true  // as the body of POST /orders
)

// NextCommands returns the commands that are due and records them as sent. The message must
// carry the value that m.FencingToken has after the call. Without allowLaunch, launches are
// left out and all other commands are returned: a condition that holds back launches must not
// delay stops.
func (m *Machine) NextCommands(delivery Delivery, allowLaunch bool, now time.Duration) []protocol.Command {
	// The stops come first, so that the message's limits leave out other commands rather than stops.
	space := newMessageSpace()
	stops := m.stopCommands(delivery, &space, now)
	var acknowledgements, launches []protocol.Command
	var launched []*Attempt
	for attempt := range m.AllAttempts() {
		isAcknowledged := m.canAcknowledge(attempt)
		isLaunched := !isAcknowledged && allowLaunch && m.canLaunch(attempt, delivery, now)
		if (isAcknowledged || isLaunched) && !space.take(attempt) {
			break
		}
		switch {
		case isAcknowledged:
			acknowledgements = append(acknowledgements, m.acknowledge(attempt))
		case isLaunched:
			launches = append(launches, m.launch(attempt, delivery, now))
			launched = append(launched, attempt)
		}
	}
	// The token is recorded only now, because each acknowledgement above may have raised it.
	for _, attempt := range launched {
		attempt.launch.token = m.FencingToken
	}
	return slices.Concat(stops, acknowledgements, launches)
}

// stopCommands returns the commands to stop attempts, takes their space and records them as sent.
func (m *Machine) stopCommands(delivery Delivery, space *messageSpace, now time.Duration) []protocol.Command {
	var stops []protocol.Command
	for attempt := range m.AllAttempts() {
		// An answer renews the machine's lease. The home cluster relies on the rule that
		// an answer after the end of the remote lease stops all tasks under that lease,
		// however many there are.
		mustStop := delivery == InAnswer && attempt.remoteLeaseExpired(now)
		if mustStop && !attempt.HasEnded() && attempt.MayExist() {
			attempt.StopRequested = true
			attempt.GraceSeconds = 0
		}
		if attempt.needsStop() && (space.take(attempt) || mustStop) {
			stops = append(stops, attempt.stopCommand(now))
		}
	}
	return stops
}

// stopCommand returns the command to stop the attempt and records it as sent.
func (a *Attempt) stopCommand(now time.Duration) protocol.Command {
	a.stopSentAt = max(now, 1)
	graceSeconds := a.GraceSeconds
	return protocol.Command{
		Verb:         protocol.CommandStop,
		Task:         a.String(),
		Attempt:      a.Number,
		GraceSeconds: &graceSeconds,
	}
}

// canAcknowledge reports whether the agent may be told to forget the attempt. This must wait while
// direct commands may still be executed: if the agent executed a delayed copy of the launch after
// it had forgotten the attempt, it would start the task again.
func (m *Machine) canAcknowledge(attempt *Attempt) bool {
	return attempt.HasEnded() && attempt.Acknowledge && !m.CommandsUncertain()
}

// acknowledge returns the command to forget an ended attempt and records it as sent.
func (m *Machine) acknowledge(attempt *Attempt) protocol.Command {
	// The network may duplicate direct commands, even answered ones. If a duplicate of the
	// launch arrived after the agent had forgotten the attempt, the agent would start the task
	// again. The acknowledgement is therefore sent with a higher token than the launch had, so
	// that the agent rejects the duplicate. With an equal token, a duplicate that arrived after
	// the task had been stopped, acknowledged and started elsewhere made the task run twice.
	if attempt.launch.delivery == Direct && m.FencingToken <= attempt.launch.token {
		m.FencingToken = attempt.launch.token + 1
	}
	attempt.acknowledgement = m.newSendRecord()
	return protocol.Command{
		Verb:    protocol.CommandAcknowledge,
		Task:    attempt.String(),
		Attempt: attempt.Number,
	}
}

// canLaunch reports whether a message may launch the attempt. An attempt that needs a remote
// lease is not launched by a direct command, because the command may be executed after the end of
// the remote lease.
func (m *Machine) canLaunch(attempt *Attempt, delivery Delivery, now time.Duration) bool {
	if !attempt.isLaunchable() || !m.Reconciled || !m.IsReachable() {
		return false
	}
	return attempt.RemoteLease == nil || delivery == InAnswer && !attempt.remoteLeaseExpired(now)
}

// launch returns the command to launch an attempt and records it as sent. NextCommands adds
// the fencing token to the record.
func (m *Machine) launch(attempt *Attempt, delivery Delivery, now time.Duration) protocol.Command {
	attempt.launch.sendRecord = m.newSendRecord()
	attempt.launch.delivery = delivery
	if delivery == Direct {
		// The current incarnation may execute the launch. Unless its lease is renewed, it
		// ends within one lease duration from now.
		m.LastPossibleRenewal = max(m.LastPossibleRenewal, now)
	}
	return protocol.Command{
		Verb:    protocol.CommandLaunch,
		Task:    attempt.String(),
		Attempt: attempt.Number,
	}
}

// newSendRecord returns the record of a command that is sent now.
func (m *Machine) newSendRecord() sendRecord {
	return sendRecord{sent: true, incarnation: m.Incarnation, sequence: m.Sequence}
}

// StopsExceedAnswer reports whether more attempts must be stopped than one answer can stop. Such
// an answer would renew the machine's lease although some of these attempts go on running. No
// answer is then sent, and the stops are sent as direct commands, which do not renew the lease.
func (m *Machine) StopsExceedAnswer(now time.Duration) bool {
	space := newMessageSpace()
	for _, attempt := range m.Attempts {
		// The stops at the end of a remote lease are not limited.
		if attempt.needsStop() && !attempt.remoteLeaseExpired(now) && !space.take(attempt) {
			return true
		}
	}
	return false
}

// HasExpiredRemoteLease reports whether an answer would have to stop a hosted task because its
// remote lease is not valid. Tasks for which a stop is already requested do not count.
func (m *Machine) HasExpiredRemoteLease(now time.Duration) bool {
	for _, attempt := range m.Attempts {
		if attempt.remoteLeaseExpired(now) && !attempt.StopRequested && !attempt.HasEnded() && attempt.MayExist() {
			return true
		}
	}
	return false
}

// NeedsDirectCommands reports whether direct commands are to be sent now, without waiting for
// the next report. The reasons are to learn the state of the machine, to find out whether the
// machine is reachable, to stop an attempt and, with allowLaunch, to launch an attempt.
func (m *Machine) NeedsDirectCommands(allowLaunch bool, now time.Duration) bool {
	if m.commandsInFlight || m.Address == "" || now < m.commandsPausedUntil {
		return false
	}
	if !m.Reconciled || m.reachability.probeNeeded {
		return true
	}
	allowLaunch = allowLaunch && m.IsReachable()
	for _, attempt := range m.Attempts {
		if attempt.isDirectStopDue(now) {
			return true
		}
		if allowLaunch && attempt.isLaunchable() && attempt.RemoteLease == nil {
			return true
		}
	}
	return false
}

// ReportAnswered records that the newest report is answered with HTTP status 200 now, which
// renews the machine's lease.
func (m *Machine) ReportAnswered(now time.Duration) {
	m.LastPossibleRenewal = max(m.LastPossibleRenewal, now)
	m.reachability.precedingSequence = m.Sequence
	m.reachability.answeredSequence = m.Sequence
}

// CommandsSent records that direct commands are in flight.
func (m *Machine) CommandsSent() {
	m.commandsInFlight = true
	m.reachability.probeNeeded = false
}

// CommandsAnswered records that the direct commands in flight were executed or refused.
func (m *Machine) CommandsAnswered() { m.commandsInFlight = false }

// CommandsLost records that direct commands with the given token got no answer. The agent may
// still execute these commands until it has seen a higher token. The machine's fencing token is
// therefore raised above the given token.
func (m *Machine) CommandsLost(token uint64) {
	m.commandsInFlight = false
	m.uncertainToken = max(m.uncertainToken, token)
	m.FencingToken = max(m.FencingToken, token+1)
	m.reachability.unansweredCommands++
}

// CommandsInFlight reports whether direct commands have no answer yet.
func (m *Machine) CommandsInFlight() bool { return m.commandsInFlight }

// CommandsUncertain reports whether direct commands may still be executed. This is the case while
// they are in flight and, if they got no answer, until a report shows a higher token than theirs.
func (m *Machine) CommandsUncertain() bool { return m.commandsInFlight || m.uncertainToken != 0 }

// PauseCommands makes direct commands wait until the given time. It is called after the
// agent has refused direct commands or has not answered them.
func (m *Machine) PauseCommands(until time.Duration) { m.commandsPausedUntil = until }

// UnansweredCommands returns how many consecutive direct commands got no answer.
func (m *Machine) UnansweredCommands() int { return m.reachability.unansweredCommands }
