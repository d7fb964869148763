package part

import (
	"log/slog"
	"time"

	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
)

// This file says what follows from failures (see package blame). A job that is likely
// mistaken has one task at a time tried, ever more rarely, in room that nothing else
// waits for: it is never the head, stops nothing, moves nowhere, and nothing is rented
// for it. A machine that is likely sick takes one task at a time, of a job that did
// not fail there; it is returned when it is surely sick.

// failed: a task ended with an error.
func (p *Part) failed(w *Work, m *Machine, now time.Duration) {
	id := w.Rec.Job.ID
	m.failedAt = now
	w.failedOn[m.ID]++
	// Elsewhere first; a machine that fails all it starts would otherwise get the
	// job's tasks again and again, being always free.
	w.avoid[m.ID] = now + p.report()<<min(w.failedOn[m.ID], 6)
	p.blame.Failed(id, m.ID)
	if m.sick {
		m.tryAt = now + p.report()
	}
	if w.mistaken {
		w.probes++
		w.notTo = now + p.report()<<min(w.probes, 5)
	}
	p.judge(now)
}

// endedWell: a task ended without error. One that began there after the last
// failure proves the machine well.
func (p *Part) endedWell(w *Work, m *Machine, run *worker.Run) {
	p.blame.Works(w.Rec.Job.ID)
	if run.Placed > m.failedAt && m.failedAt > 0 {
		p.blame.Well(m.ID)
		m.failedAt = 0
	}
}

// hearAgainst takes what the owner of part k holds against a job; of this part, the
// owner before. (Heard from him like from another, it was gone with the first record
// that the new owner wrote, and all the job's tasks were tried once more.)
func (p *Part) hearAgainst(w *Work, k int, odds float64) {
	if k == p.K {
		if w.writtenAt == 0 {
			p.blame.Inherit(w.Rec.Job.ID, odds)
		}
		return
	}
	if w.against[k] == odds {
		return
	}
	w.against[k] = odds
	sum := 0.0
	for _, o := range w.against {
		sum += o
	}
	p.blame.Hear(w.Rec.Job.ID, sum)
}

// judge draws the conclusions for all that anything is held against.
func (p *Part) judge(now time.Duration) {
	s := &p.h.Settings().Blame
	jobs, machines := p.blame.Suspects()
	for _, id := range jobs {
		w := p.Works[id]
		if w == nil {
			p.blame.Over(id) // of a job that this part no longer has
			continue
		}
		if w.left < w.Rec.Job.Tasks || w.service() && w.began > 0 && now-w.began > p.lease() {
			p.blame.Works(id)
		}
		switch likely := p.blame.Job(id); {
		case !w.mistaken && likely >= s.Hold:
			w.mistaken, w.dirty = true, true // its other owners, and the next, are to know
			if len(w.failedOn) == 0 && w.nplaced == 0 {
				// By what others hold against it, who try it, or did before a restart.
				w.probes = heardProbes
				w.notTo = now + p.report()<<heardProbes
			}
			slog.Info("part: job fails on every machine", "part", p.K, "job", id, "machines", len(w.failedOn), "likely", likely)
			p.callOff(w)
		case w.mistaken && likely < 0.5:
			w.mistaken, w.probes, w.dirty = false, 0, true
			slog.Info("part: job is all right", "part", p.K, "job", id, "likely", likely)
		}
	}
	for _, id := range machines {
		m := p.Machines[id]
		if m == nil {
			continue
		}
		likely := p.blame.Machine(id)
		if sick := likely >= 0.5; sick != m.sick {
			m.sick = sick
			p.dirty = true
			slog.Info("part: machine is in doubt", "part", p.K, "machine", id, "sick", sick, "likely", likely)
		}
		if likely >= s.Return {
			p.retire(m, "faulty")
		}
	}
}

// heardProbes is how many failed tries a job counts as having had that is mistaken by
// the word of others alone. (After a restart of all controllers each part tried each
// such job at once, as if it were the first time.)
const heardProbes = 2

// callOff takes back what of a mistaken job has not begun to run: it holds room and
// fetches images for nothing. What runs fails soon, or shows that it was not.
func (p *Part) callOff(w *Work) {
	if w.gang() {
		return // as a whole, when its tasks fail
	}
	for _, pl := range w.placements() {
		if pl.run.Began == 0 && pl.run.State != wire.Running && !pl.run.Halt {
			p.stopRun(w, pl, "its job fails on every machine")
		}
	}
}

// untried: a gang is not to be what a machine in doubt is tried with, unless it should
// have begun, and nothing has failed there for a lease: perhaps nothing else comes that
// could be tried. (Random day 5110: a machine that had been faulty for 15 s was in doubt
// for ever, as no single task came any more, and a gang, for which it counted as room,
// waited for ever beside free machines of other parts.)
func (p *Part) untried(m *Machine, w *Work, now time.Duration) bool {
	return m.sick && w.gang() && (now-m.failedAt < p.lease() || p.toBegin(w, p.h.Wall()-w.Rec.At) <= 0)
}

// onTrial: nothing more is to start on a machine that is likely sick, as a task is
// being tried there or the next try is not due.
func (m *Machine) onTrial(now time.Duration) bool {
	if !m.sick {
		return false
	}
	for _, run := range m.Runs {
		if !run.Over() {
			return true
		}
	}
	return now < m.tryAt
}
