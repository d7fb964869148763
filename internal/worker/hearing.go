package worker

import (
	"time"

	"curlewspool/internal/wire"
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

// hearing is what is known of that.
type hearing struct {
	hears    bool
	unheard  time.Duration // since when a report showed that our answer was not taken; 0: none did
	follows  uint64        // number of the latest message that its next posted report is to follow; 0: not known
	answered uint64        // number of its newest report that was answered
	token    uint64        // the highest it showed
	misses   int           // orders without an answer since the last evidence
	ask      bool          // a report came that proves nothing: empty orders are to tell
}

// Hears tells whether what is sent to the machine reaches it, as far as its latest
// report tells. One that does not is given nothing new.
func (m *Machine) Hears() bool { return m.hearing.hears }

// deafMisses is how many orders must have remained without an answer, beside an
// answer that was not taken, before a machine counts as deaf. Each waits for as
// long as a call may take.
const deafMisses = 2

// Deaf tells whether it has shown that it hears nothing: neither an answer to its
// report nor orders. Its reports are not answered any more, so that its lease ends
// for certain although an answer may now and then get through; that it hears
// again is told by empty orders, which renew nothing.
func (m *Machine) Deaf() bool {
	return !m.hearing.hears && m.hearing.unheard > 0 && m.hearing.misses >= deafMisses
}

// DeafSince is when its reports first showed that; 0: they did not.
func (m *Machine) DeafSince() time.Duration {
	if !m.Deaf() {
		return 0
	}
	return m.hearing.unheard
}

// heard: something that we sent took effect.
func (m *Machine) heard() {
	if !m.hearing.hears {
		m.Touch()
	}
	m.hearing.hears, m.hearing.unheard, m.hearing.misses, m.hearing.ask = true, 0, 0, false
}

// unheard: a report shows that our answer to the one before was not taken, or that
// nothing is known of the session that it is from.
func (m *Machine) unheard(now time.Duration, proven bool) {
	if m.hearing.hears {
		m.Touch()
	}
	m.hearing.hears, m.hearing.ask = false, true
	if proven && m.hearing.unheard == 0 {
		m.hearing.unheard = max(now, 1)
		m.hearing.misses = min(m.hearing.misses, deafMisses-1) // those before may be of a cut
	}
}

// listen draws the conclusions of a report that is newer than all before; fresh: of
// a session that was not known; showed: it shows that something of ours took
// effect; missing: one that a posted report shows did not.
func (m *Machine) listen(seq, token uint64, posted, fresh, showed, missing bool, now time.Duration) {
	h := &m.hearing
	next := h.follows != 0 && seq == h.follows+1
	switch echo := token >= m.Base && token > h.token; {
	case !posted || showed || echo:
		m.heard()
	case fresh: // it kept no lease, or is new here
		m.unheard(now, h.follows != 0)
	case h.follows != 0 && (!next || missing || token < m.Base):
		m.unheard(now, true)
	case next:
		m.heard()
	default:
		h.ask = !h.hears
	}
	h.token = max(h.token, token)
	switch {
	case posted:
		h.follows = 0 // until it is answered
	case h.follows != 0:
		h.follows = seq
	}
}

// Reborn is told that the machine is back under its name, with a new life of its worker
// that counts sessions and messages from the beginning and has seen no token. (Asked
// and told by GET /status, whose answer is newer than the question; a late copy of an
// old report looks the same.) Orders of its old life that are on their way could be
// carried out by the new one, so what may be there counts as there until a report shows
// a token that is higher than all that were given, or for a lease from now: its session
// may carry them out, and began before now.
func (m *Machine) Reborn(now time.Duration) {
	m.Token++
	m.Base = m.Token
	m.Resolved, m.reborn = false, true
	m.Session, m.Seq, m.begun = 0, 0, now
	m.LastAnswer = max(m.LastAnswer, now)
	for _, run := range m.Runs {
		run.session, run.seq, run.reapS, run.reapSeq = 0, 0, 0, 0
	}
	m.hearing = hearing{ask: true}
	m.Touch()
}

// newer tells whether a report is newer than all before. The highest token that a
// worker has seen only grows in its life, and a late copy of a report is as old as
// it was: what shows a lower token than was shown is a copy, or of another life;
// the first that shows a token of ours is newer than any from before, whatever
// they are numbered. (A new owner knows no number, and takes a copy as the first
// report; and a machine that is back counts from the beginning.)
func (m *Machine) newer(r *wire.Report) bool {
	switch shown := m.hearing.token; {
	case r.Token < shown:
		return false
	case shown < m.Base && r.Token >= m.Base:
		return true
	}
	return r.Newer(m.Session, m.Seq)
}

// Refused notes that a posted report was not answered with 200; old: as it was not
// newer than what is known. It tells whether the report may be of another life: it
// is a late copy otherwise, or crossed an answer to orders.
func (m *Machine) Refused(r *wire.Report, old bool) (perhapsReborn bool) {
	h := &m.hearing
	if old && (r.Session < m.Session || r.Token < h.token || r.Seq <= h.answered) {
		return true
	}
	h.follows = 0
	return false
}

// Asked tells whether the machine was asked how it is less than a time ago, and
// notes that it is asked now if not.
func (m *Machine) Asked(now, every time.Duration) bool {
	if m.askedAt > 0 && now-m.askedAt < every {
		return true
	}
	m.askedAt = now
	return false
}
