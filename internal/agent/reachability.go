package agent

import (
	"time"

	"curlewspool/internal/protocol"
)

// reachability holds what is known about whether messages from this controller reach the
// agent. It detects an inbound partition, in which the agent's reports arrive although nothing
// reaches the agent. The arrival of reports does not show that the agent is reachable: an
// agent that gets no answer sends its report to one controller after another, and each of them
// would place work on the machine and count the machine's lease as renewed.
//
// Only the effect of a message proves that messages reach the agent. There are four such effects:
//
//   - The agent answers a request.
//   - A report shows a token of this controller for the first time.
//   - A launch or an acknowledgement has been executed.
//   - The sequence number of a posted report directly follows that of an answered one. An agent
//     that gets no answer sends its next report to another controller, so that the next report
//     to arrive here has a higher number.
type reachability struct {
	reachable          bool
	suspectedSince     time.Duration // when a report first showed that an answer was lost; 0: none has since the agent was last proven reachable
	precedingSequence  uint64        // sequence number that the agent's next posted report directly follows if the agent gets this controller's answers; 0: unknown
	answeredSequence   uint64        // sequence number of the newest report that was answered
	highestToken       uint64        // highest fencing token that a report showed
	unansweredCommands int           // consecutive direct commands without an answer
	probeNeeded        bool          // reachability is unproven: empty direct commands are to be sent to test it
}

// unansweredCommandLimit is the number of direct commands that must remain unanswered until their
// timeout before a machine counts as unreachable. In addition, a report must have shown that the
// agent did not receive an answer.
const unansweredCommandLimit = 2

// IsReachable reports whether messages have been proven to reach the machine, and no later report
// or lease expiry has made this uncertain. Nothing is launched on a machine that is not reachable.
func (m *Machine) IsReachable() bool { return m.reachability.reachable }

// IsUnreachable reports whether an answer to a report did not reach the machine and the machine did
// not answer direct commands (see unansweredCommandLimit). The controller then stops answering the
// machine's reports, so that the machine's lease provably expires even if an occasional answer
// could get through. Empty direct commands, which do not renew the lease, detect when the machine
// is reachable again.
//
// If both IsReachable and IsUnreachable return false, it is not known whether messages reach
// the machine.
func (m *Machine) IsUnreachable() bool {
	r := &m.reachability
	return !r.reachable && r.suspectedSince > 0 && r.unansweredCommands >= unansweredCommandLimit
}

// UnreachableSince returns when a report first showed that the machine did not receive an
// answer; 0 if the machine is not unreachable.
func (m *Machine) UnreachableSince() time.Duration {
	if !m.IsUnreachable() {
		return 0
	}
	return m.reachability.suspectedSince
}

// confirmReachable records that a message to the agent took effect.
func (m *Machine) confirmReachable() {
	r := &m.reachability
	if !r.reachable {
		m.MarkChanged()
	}
	r.reachable = true
	r.suspectedSince = 0
	r.unansweredCommands = 0
	r.probeNeeded = false
}

// suspectUnreachable records that it is no longer certain that messages reach the agent. proven
// is true if a report has shown that the agent did not receive this controller's previous answer.
func (m *Machine) suspectUnreachable(now time.Duration, proven bool) {
	r := &m.reachability
	if r.reachable {
		m.MarkChanged()
	}
	r.reachable = false
	r.probeNeeded = true
	if proven && r.suspectedSince == 0 {
		r.suspectedSince = max(now, 1)
		// Commands that got no answer earlier may have been lost in a short network fault,
		// so at least one more must fail before the machine counts as unreachable.
		r.unansweredCommands = min(r.unansweredCommands, unansweredCommandLimit-1)
	}
}

// updateReachability updates the reachability from a report that is newer than all earlier
// ones.
func (m *Machine) updateReachability(report *protocol.Report, evidence *reportEvidence, now time.Duration) {
	r := &m.reachability
	answered := r.precedingSequence != 0
	isNext := answered && report.Sequence == r.precedingSequence+1
	hasOurToken := report.FencingToken >= m.BaseToken
	tookToken := hasOurToken && report.FencingToken > r.highestToken
	switch {
	case evidence.origin == Requested || evidence.commandTookEffect || tookToken:
		m.confirmReachable()
	case evidence.newIncarnation: // the previous lease expired, or the machine is new to this controller
		m.suspectUnreachable(now, answered)
	case answered && (!isNext || evidence.launchMissing || !hasOurToken):
		m.suspectUnreachable(now, true)
	case isNext:
		m.confirmReachable()
	default:
		r.probeNeeded = !r.reachable
	}
	r.highestToken = max(r.highestToken, report.FencingToken)
	switch {
	case evidence.origin == Posted:
		r.precedingSequence = 0 // ReportAnswered sets it when this report is answered
	case r.precedingSequence != 0:
		r.precedingSequence = report.Sequence
	}
}

// Rejection says why a posted report is not answered with HTTP status 200.
type Rejection bool

// The reasons for a rejection.
const (
	Unanswerable Rejection = false // the answer would renew a lease that must not be renewed
	Outdated     Rejection = true  // the report is not newer than the newest one received
)

// ReportRejected records that a posted report is not answered with HTTP status 200. It returns true
// if the report is outdated and its incarnation, token or sequence number is one that a restarted
// agent could send. Any other outdated report is merely late, because a newer report arrived
// earlier in an answer to direct commands.
func (m *Machine) ReportRejected(report *protocol.Report, reason Rejection) (mayBeRestarted bool) {
	r := &m.reachability
	if reason == Outdated && (report.Incarnation < m.Incarnation || report.FencingToken < r.highestToken || report.Sequence <= r.answeredSequence) {
		return true
	}
	r.precedingSequence = 0
	return false
}

// ThrottleStatusProbe returns true if the machine's status was requested less than interval ago and
// must not be requested now. Otherwise, it records that the status is requested now.
func (m *Machine) ThrottleStatusProbe(now, interval time.Duration) bool {
	if m.lastStatusProbe > 0 && now-m.lastStatusProbe < interval {
		return true
	}
	m.lastStatusProbe = now
	return false
}
