package agent

import (
	"math"
	"time"
)

// LeaseExpired reports whether everything that was on the machine is provably gone. lease
// is the duration of a machine's lease, drift the bound on the error of each clock; a
// hundredth of the lease is added as a margin.
func (m *Machine) LeaseExpired(now, lease time.Duration, drift float64) bool {
	return now > m.LastPossibleRenewal+time.Duration(float64(lease)*(1+3*drift))+lease/100
}

// ExpireLease records that the lease has expired: each attempt that may have been there is
// gone, and later messages of that incarnation count for nothing.
func (m *Machine) ExpireLease(now time.Duration) []Event {
	m.Reconciled = true
	m.restarted = false
	m.uncertainToken = 0
	if m.incarnationSince <= m.LastPossibleRenewal {
		m.Sequence = math.MaxUint64
	} // else no report of this incarnation was answered, so the lease was not its own
	m.suspectUnreachable(now, false)
	m.reachability.probeNeeded = false
	m.reachability.precedingSequence = 0
	m.MarkChanged()
	var events []Event
	for attempt := range m.AllAttempts() {
		if !attempt.MayExist() && !attempt.StopRequested {
			continue
		}
		delete(m.Attempts, attempt.AttemptID)
		if !attempt.HasEnded() {
			events = append(events, Event{attempt, AttemptLost})
		}
	}
	return events
}

// ResetIncarnation records that the machine has restarted under its ID, with an agent that
// counts incarnations and messages from the beginning and has seen no token. (Found by
// GET /status, whose answer is newer than the question; a late copy of an old report looks
// the same.)
//
// The new agent could execute commands to its predecessor that are in flight. An attempt
// that may exist therefore counts as existing until a report shows a token that is higher
// than all that were sent, or for one lease from now: the incarnation that may execute the
// commands began before now.
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
