package part

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
	"curlewspool/internal/world"
)

// This file follows the runs of tasks: what workers say of them, what is stopped.

// Report takes a worker's report; false if it is outdated.
func (p *Part) Report(m *Machine, r *wire.Report, posted bool) bool {
	was := m.Resolved
	events, ok := m.Machine.Report(r, p.h.Now(), posted)
	if !ok {
		return false
	}
	if m.Resolved != was {
		p.dirty = true
		slog.Debug("part: machine known", "part", p.K, "machine", m.ID, "runs", len(m.Runs))
	}
	p.handle(m, events)
	if !m.Hears() {
		p.takeOff(m, false)
	}
	return true
}

// takeOff gives what was placed on a machine that does not hear, and is surely not
// there, back to the queue. A gang is not broken for one answer that was lost: its
// tasks stay until the machine is known to be deaf.
func (p *Part) takeOff(m *Machine, gangs bool) {
	for run := range m.All() {
		w := p.Works[run.Job]
		if run.MayBeThere() || w != nil && w.gang() && !gangs {
			continue
		}
		m.Drop(run)
		if w != nil {
			slog.Info("part: does not hear, its task goes elsewhere", "part", p.K, "machine", m.ID, "task", run.String())
			p.release(w, run)
		}
	}
}

func (p *Part) handle(m *Machine, events []worker.Event) {
	for _, e := range events {
		p.dirty = true
		switch e.Kind {
		case worker.Appeared:
			p.appeared(m, e.Run)
		case worker.Started:
			if w := p.Works[e.Run.Job]; w != nil && w.began == 0 {
				w.began = p.h.Now()
				w.dirty = true
			}
			m.images[p.image(e.Run.Job)] = true
		case worker.Finished:
			p.finished(m, e.Run)
		case worker.Vanished:
			p.gone(m, e.Run)
		}
	}
	if len(events) > 0 && len(m.Runs) == 0 {
		m.idleAt = p.h.Now()
	}
}

func (p *Part) image(job string) string {
	if w := p.Works[job]; w != nil {
		return w.Rec.Job.Image
	}
	return ""
}

// appeared: an earlier owner launched it. It is adopted if the task is ours
// and nowhere else; otherwise it must go.
func (p *Part) appeared(m *Machine, run *worker.Run) {
	w := p.Works[run.Job]
	ours := w != nil && run.Index < w.Rec.Job.Tasks && w.Rec.PartOf(run.Index) == p.K
	if ours && run.Over() && run.Cause == wire.Done {
		if w.state[run.Index] == placed {
			if pl := w.runs[run.Task]; pl != nil {
				pl.m.Stop(pl.run, 0)
				delete(w.runs, run.Task)
			}
		}
		p.taskDone(w, run)
		return
	}
	if !ours || w.state[run.Index] != idle || w.gang() && w.try != 0 && w.try != run.Try {
		run.Foreign = true
		if run.Over() {
			run.Reap = true
		} else {
			if ours {
				w.strays[run] = m
			}
			slog.Info("part: unexpected task is halted", "part", p.K, "machine", m.ID, "task", run.String(), "live", w != nil)
			m.Stop(run, 0)
			p.press(m)
		}
		return
	}
	if run.Over() {
		run.Reap = true
		return
	}
	w.set(run.Index, placed)
	run.Permit = w.permit
	w.runs[run.Task] = &placement{m, run}
	if w.gang() {
		w.try = run.Try
	}
	if run.State == wire.Flushing { // an earlier owner is stopping it
		run.Halt, run.Grace = true, w.Rec.Job.Save
		w.halting = true
	}
}

func (p *Part) finished(m *Machine, run *worker.Run) {
	w := p.Works[run.Job]
	if run.Foreign || w == nil {
		run.Reap = true
		return
	}
	if run.Cause == wire.Done {
		if run.Began > 0 {
			p.learn(&w.Rec.Job, p.h.Now()-run.Began)
		}
		p.endedWell(w, m, run)
		p.taskDone(w, run)
		return
	}
	run.Reap = true
	slog.Info("part: task ended", "part", p.K, "machine", m.ID, "task", run.String(), "cause", run.Cause, "saved", run.Saved)
	now := p.h.Now()
	switch run.Cause {
	case wire.Failed:
		p.failed(w, m, now)
	case wire.Full, wire.Busy:
		m.fullTo = now + p.report()
	case wire.Unknown:
		w.notTo = now + p.report()
	}
	p.release(w, run)
}

// learn follows how far owners' estimates of a class are off.
func (p *Part) learn(j *wire.Job, took time.Duration) {
	if j.Estimate <= 0 {
		return
	}
	r := min(max(took.Seconds()/j.Estimate, 0.1), 10)
	if c, ok := p.corr[j.Class]; ok {
		r = c + (r-c)/20
	}
	p.corr[j.Class] = r
}

// gone: the run is not there any more and left no end.
func (p *Part) gone(m *Machine, run *worker.Run) {
	w := p.Works[run.Job]
	if run.Foreign || w == nil {
		return
	}
	slog.Info("part: task lost", "part", p.K, "machine", m.ID, "task", run.String())
	p.release(w, run)
}

// release returns a task to the queue after its run ended without result.
func (p *Part) release(w *Work, run *worker.Run) {
	pl := w.runs[run.Task]
	if pl == nil || pl.run != run {
		return
	}
	delete(w.runs, run.Task)
	w.set(run.Index, idle)
	if w.gang() {
		w.broken = true
		p.clearGang(w)
	}
	p.dirty = true
}

// clearGang ends what is left of a failed attempt; the next one may only
// start when all of it is gone.
func (p *Part) clearGang(w *Work) {
	for _, pl := range w.placements() {
		if w.halting && pl.run.Halt {
			continue
		}
		if pl.m.Stop(pl.run, 0) {
			delete(w.runs, pl.run.Task)
			w.set(pl.run.Index, idle)
			continue
		}
		p.press(pl.m)
	}
	if w.nplaced == 0 {
		w.broken, w.halting, w.try = false, false, 0
	}
}

func (w *Work) placements() []*placement {
	out := make([]*placement, 0, len(w.runs))
	for _, pl := range w.runs {
		out = append(out, pl)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].run.Index < out[j].run.Index })
	return out
}

func (p *Part) taskDone(w *Work, run *worker.Run) {
	delete(w.runs, run.Task)
	w.set(run.Index, done)
	w.dirty = true
	w.ended = append(w.ended, run)
	if w.gang() { // they complete together
		for i := range w.state {
			w.set(i, done)
		}
	}
	p.dirty = true
	p.maybeFinish(w)
}

// stopRun stops a task in an orderly way; a gang as a whole.
func (p *Part) stopRun(w *Work, pl *placement, why string) {
	list := []*placement{pl}
	if w.gang() {
		// Its other tasks may be listed to be stopped, too: the first may have ended
		// the attempt, if none of it had been launched. (It then counted as halting
		// for ever: one of 1,050 random days.)
		if cur := w.runs[pl.run.Task]; w.halting || cur == nil || cur.run != pl.run {
			return
		}
		w.halting = true
		list = w.placements()
	}
	for _, o := range list {
		grace := 0.0
		if w.Rec.Job.Mark > 0 {
			grace = w.Rec.Job.Save + 1
		}
		slog.Info("part: task is stopped", "part", p.K, "machine", o.m.ID, "task", o.run.String(), "why", why)
		if o.m.Stop(o.run, grace) {
			p.release(w, o.run)
			continue
		}
		p.press(o.m)
	}
}

// estimate is the expected run time of a task, corrected by what its class
// showed.
func (p *Part) estimate(j *wire.Job) time.Duration {
	if j.Shape == wire.Service {
		return math.MaxInt64 / 4
	}
	c, ok := p.corr[j.Class]
	if !ok {
		c = 1
	}
	return world.Seconds(max(j.Estimate, 1) * c)
}
