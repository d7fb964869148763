package agent

import (
	"time"

	"curlewspool/internal/protocol"
)

// This file tells a machine that hears this controller from one that is deaf: its
// reports arrive, but answers and orders do not reach it. Reports alone prove
// nothing of that: a deaf machine goes from controller to controller with them,
// and would be given work, and counted as renewed, at each of its rounds.
//
// Evidence that it hears is what can only follow from something that we sent: an
// answer to our orders, a token of ours that comes back, a launch or a reap that
// took effect, or a posted report that is the very next after one that was answered
// (who gets no answer goes to the next controller instead, so that the next to come
// here is a later one).

// reachability is what is known of that.
type reachability struct {
	reachable          bool
	suspectedSince     time.Duration // since when a report showed that our answer was not taken; 0: none did
	precedingSequence  uint64        // number of the latest message that its next posted report is to follow; 0: not known
	answeredSequence   uint64        // number of its newest report that was answered
	highestToken       uint64        // the highest it showed
	unansweredCommands int           // orders without an answer since the last evidence
	probeNeeded        bool          // a report came that proves nothing: empty orders are to tell
}

// IsReachable tells whether what is sent to the machine reaches it, as far as its latest
// report tells. One that does not is given nothing new.
func (m *Machine) IsReachable() bool { return m.reachability.reachable }

// unansweredCommandLimit is how many orders must have remained without an answer, beside an
// answer that was not taken, before a machine counts as deaf. Each waits for as
// long as a call may take.
const unansweredCommandLimit = 2

// IsUnreachable tells whether it has shown that it hears nothing: neither an answer to its
// report nor orders. Its reports are not answered any more, so that its lease ends
// for certain although an answer may now and then get through; that it hears
// again is told by empty orders, which renew nothing.
func (m *Machine) IsUnreachable() bool {
	return !m.reachability.reachable && m.reachability.suspectedSince > 0 && m.reachability.unansweredCommands >= unansweredCommandLimit
}

// UnreachableSince is when its reports first showed that; 0: they did not.
func (m *Machine) UnreachableSince() time.Duration {
	if !m.IsUnreachable() {
		return 0
	}
	return m.reachability.suspectedSince
}

// confirmReachable: something that we sent took effect.
func (m *Machine) confirmReachable() {
	if !m.reachability.reachable {
		m.MarkChanged()
	}
	m.reachability.reachable, m.reachability.suspectedSince, m.reachability.unansweredCommands, m.reachability.probeNeeded = true, 0, 0, false
}

// suspectUnreachable: a report shows that our answer to the one before was not taken, or that
// nothing is known of the session that it is from.
func (m *Machine) suspectUnreachable(now time.Duration, proven bool) {
	if m.reachability.reachable {
		m.MarkChanged()
	}
	m.reachability.reachable, m.reachability.probeNeeded = false, true
	if proven && m.reachability.suspectedSince == 0 {
		m.reachability.suspectedSince = max(now, 1)
		m.reachability.unansweredCommands = min(m.reachability.unansweredCommands, unansweredCommandLimit-1) // those before may be of a cut
	}
}

// updateReachability draws the conclusions of a report that is newer than all before; fresh: of
// a session that was not known; showed: it shows that something of ours took
// effect; missing: one that a posted report shows did not.
func (m *Machine) updateReachability(seq, token uint64, posted, fresh, showed, missing bool, now time.Duration) {
	h := &m.reachability
	next := h.precedingSequence != 0 && seq == h.precedingSequence+1
	switch echo := token >= m.BaseToken && token > h.highestToken; {
	case !posted || showed || echo:
		m.confirmReachable()
	case fresh: // it kept no lease, or is new here
		m.suspectUnreachable(now, h.precedingSequence != 0)
	case h.precedingSequence != 0 && (!next || missing || token < m.BaseToken):
		m.suspectUnreachable(now, true)
	case next:
		m.confirmReachable()
	default:
		h.probeNeeded = !h.reachable
	}
	h.highestToken = max(h.highestToken, token)
	switch {
	case posted:
		h.precedingSequence = 0 // until it is answered
	case h.precedingSequence != 0:
		h.precedingSequence = seq
	}
}

// ResetIncarnation is told that the machine is back under its name, with a new life of its worker
// that counts sessions and messages from the beginning and has seen no token. (Asked
// and told by GET /status, whose answer is newer than the question; a late copy of an
// old report looks the same.) Orders of its old life that are on their way could be
// carried out by the new one, so what may be there counts as there until a report shows
// a token that is higher than all that were given, or for a lease from now: its session
// may carry them out, and began before now.
func (m *Machine) ResetIncarnation(now time.Duration) {
	m.FencingToken++
	m.BaseToken = m.FencingToken
	m.Reconciled, m.restarted = false, true
	m.Incarnation, m.Sequence, m.incarnationSince = 0, 0, now
	m.LastPossibleRenewal = max(m.LastPossibleRenewal, now)
	for _, attempt := range m.Attempts {
		attempt.launchIncarnation, attempt.launchSequence, attempt.acknowledgeIncarnation, attempt.acknowledgeSequence = 0, 0, 0, 0
	}
	m.reachability = reachability{probeNeeded: true}
	m.MarkChanged()
}

// isNewer tells whether a report is newer than all before. The highest token that a
// worker has seen only grows in its life, and a late copy of a report is as old as
// it was: what shows a lower token than was shown is a copy, or of another life;
// the first that shows a token of ours is newer than any from before, whatever
// they are numbered. (A new owner knows no number, and takes a copy as the first
// report; and a machine that is back counts from the beginning.)
func (m *Machine) isNewer(report *protocol.Report) bool {
	switch shown := m.reachability.highestToken; {
	case report.FencingToken < shown:
		return false
	case shown < m.BaseToken && report.FencingToken >= m.BaseToken:
		return true
	}
	return report.IsNewerThan(m.Incarnation, m.Sequence)
}

// ReportRejected notes that a posted report was not answered with 200; old: as it was not
// newer than what is known. It tells whether the report may be of another life: it
// is a late copy otherwise, or crossed an answer to orders.
func (m *Machine) ReportRejected(report *protocol.Report, outdated bool) (mayBeRestarted bool) {
	h := &m.reachability
	if outdated && (report.Incarnation < m.Incarnation || report.FencingToken < h.highestToken || report.Sequence <= h.answeredSequence) {
		return true
	}
	h.precedingSequence = 0
	return false
}

// ThrottleStatusProbe tells whether the machine was asked how it is less than a time ago, and
// notes that it is asked now if not.
func (m *Machine) ThrottleStatusProbe(now, interval time.Duration) bool {
	if m.lastStatusProbe > 0 && now-m.lastStatusProbe < interval {
		return true
	}
	m.lastStatusProbe = now
	return false
}
