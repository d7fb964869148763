package agent

import (
	"math"
	"time"
)

// LeaseExpired reports whether the machine's lease has expired beyond doubt, so that all
// attempts that were on the machine have terminated. lease is the duration of a machine's
// lease, and drift is the maximum rate error of each clock, as a fraction. The lease is
// extended by three times the drift, and a hundredth of the lease is added as a margin.
func (m *Machine) LeaseExpired(now, lease time.Duration, drift float64) bool {
	return now > m.LastPossibleRenewal+time.Duration(float64(lease)*(1+3*drift))+lease/100
}

// ExpireLease records that the lease has expired. It removes every attempt that may have been
// on the machine, and makes ApplyReport ignore later reports of the incarnation that held the
// lease. For each removed attempt that is not known to have ended, it returns an AttemptLost event.
func (m *Machine) ExpireLease(now time.Duration) []Event {
	m.Reconciled = true
	m.restarted = false
	m.uncertainToken = 0
	if m.incarnationSince <= m.LastPossibleRenewal {
		m.Sequence = math.MaxUint64
	} // Otherwise, an earlier incarnation held the lease, and reports of the current one stay valid.
	m.suspectUnreachable(now, false)
	m.reachability.probeNeeded = false
	m.reachability.precedingSequence = 0
	m.MarkChanged()
	var events []Event
	for attempt := range m.AllAttempts() {
		if !attempt.MayExist() && !attempt.StopRequested {
			continue
		}
		m.Forget(attempt)
		if !attempt.HasEnded() {
			events = append(events, Event{attempt, AttemptLost})
		}
	}
	return events
}

// ResetIncarnation records that the machine has restarted under the same ID. Its new agent
// counts incarnations and reports from the beginning and has seen no fencing token. A restart
// is detected by the answer to a request such as GET /status, as that answer is newer than
// the request. A posted report is not enough: a delayed copy of an old report looks the same.
//
// The new agent could execute commands that were sent to its predecessor and are still in
// flight. An attempt that may exist is therefore kept until a report shows a higher token than
// any that was sent, or until one lease duration has passed from now. After that time, an agent
// that started before now and whose lease was not renewed has stopped all its tasks.
func (m *Machine) ResetIncarnation(now time.Duration) {
	m.FencingToken++
	m.BaseToken = m.FencingToken
	m.Reconciled = false
	m.restarted = true
	m.Incarnation = 0
	m.Sequence = 0
	m.incarnationSince = now
	m.LastPossibleRenewal = max(m.LastPossibleRenewal, now)
	for _, attempt := range m.Attempts {
		attempt.launch.incarnation, attempt.launch.sequence = 0, 0
		attempt.acknowledgement.incarnation, attempt.acknowledgement.sequence = 0, 0
	}
	m.reachability = reachability{probeNeeded: true}
	m.MarkChanged()
}
