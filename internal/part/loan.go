package part

import (
	"log/slog"
	"slices"
	"time"

	"curlewspool/internal/ledger"
	"curlewspool/internal/loan"
	"curlewspool/internal/mesh"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
	"curlewspool/internal/world"
)

// What a part does for jobs that run in another cluster than their own: it
// lends chunks of its own, and minds what it runs for partners
// (docs/federation.md).

// BorrowedRank is below every rank that users may give: all own work may stop
// borrowed work, and comes before it in the queue.
const BorrowedRank = -1

func (w *Work) borrowed() bool { return w.Rec.Loan != nil }

// Order is a leader's wish that a chunk be lent.
type Order struct {
	Job   string
	Chunk int
	Away  Away // To, By, Offer, Why, TermMs and LeaseMs are set
}

// LendOut writes that a chunk is at a partner. From then on nothing of it
// starts here. Only the chunk's owner knows that none of it is, or may be, on a
// machine, so only he writes it, and only then may the partner be asked to act.
func (p *Part) LendOut(o *Order) {
	now := p.h.Now()
	w := p.Works[o.Job]
	if w == nil || w.borrowed() || w.moving || o.Chunk < 0 || o.Chunk >= len(w.Rec.Parts) || !p.h.MayLaunch() || !p.untouched(w, o.Chunk) ||
		!slices.Contains(p.queue(now), w) { // in the queue: nothing of it may be on a silent machine
		return
	}
	id, l := o.Job, p.h.Ledger()
	var a Away
	w.moving = true
	l.Write(ledger.Soon, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			if p.Works[id] != w || !p.untouched(w, o.Chunk) {
				return nil, nil
			}
			rec := *w.record
			rec.W = nonce
			rec.Parts = append([]int(nil), rec.Parts...)
			rec.Parts[o.Chunk] = Lent
			rec.LoanNo++
			a = o.Away
			a.Chunk, a.No, a.At = o.Chunk, rec.LoanNo, p.h.Wall()
			from, to := rec.Span(o.Chunk)
			a.First = from
			rec.Away = append(append([]Away(nil), rec.Away...), a)
			rec.Done = MergeRanges(0, rec.Done, w.doneIn(from, to))
			b := wire.Encode(&rec)
			if len(b) > p.h.Settings().MostRecord() {
				return nil, nil
			}
			return []wire.Cond{p.guard(), {Key: JobKey(id), Stamp: w.Stamp}}, []wire.Op{{Put: JobKey(id), Value: b}}
		},
		Done: func(ok bool, _ uint64) {
			w.moving = false
			p.dirty = true
			if !ok {
				return
			}
			slog.Info("part: chunk lent", "job", id, "chunk", o.Chunk, "part", p.K, "to", a.To, "loan", a.No, "why", a.Why)
			p.leave(w)
		},
	})
}

// leave forgets a job that has no chunk here any more.
func (p *Part) leave(w *Work) {
	if w.mine == 0 && len(w.runs) == 0 && len(w.ended) == 0 && len(w.strays) == 0 && !w.writing && p.Works[w.Rec.Job.ID] == w {
		p.forget(w)
	}
}

// untouched: the chunk is here, with something to do, and none of it is, or is
// about to be, on a machine.
func (p *Part) untouched(w *Work, c int) bool {
	if w.Rec.Parts[c] != p.K || w.gang() && (w.nplaced > 0 || w.broken || w.halting) {
		return false
	}
	n, on := w.chunk(c)
	return !on && n > 0
}

// doneIn lists the done tasks from one up to another, the latter not included.
func (w *Work) doneIn(from, to int) (out [][2]int) {
	for i := from; i < to; i++ {
		if w.state[i] == done {
			out = append(out, [2]int{i, i})
		}
	}
	return out
}

// MergeRanges sorts ranges (ends included) and joins those that meet; the
// longest most of them if most is not 0: a task that is left out is only run
// again. The lists stay as they are.
func MergeRanges(most int, lists ...[][2]int) (out [][2]int) {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b [2]int) int { return a[0] - b[0] })
	for _, x := range all {
		if x[1] < x[0] {
			continue
		}
		if n := len(out); n > 0 && x[0] <= out[n-1][1]+1 {
			out[n-1][1] = max(out[n-1][1], x[1])
		} else {
			out = append(out, x)
		}
	}
	if most > 0 && len(out) > most {
		slices.SortStableFunc(out, func(a, b [2]int) int { return b[1] - b[0] - (a[1] - a[0]) })
		out = out[:most]
	}
	return out
}

// permitted tells whether a borrowed job may start here; why not is noted.
func (p *Part) permitted(w *Work, now time.Duration) bool {
	switch l := w.Rec.Loan; {
	case l.Ending || w.over:
		w.why = "borrowed: is given back"
	case w.permit.Left(now) < p.report():
		// A start goes out with the next report's answer, not before.
		w.why = "borrowed: waits for its home's word"
	default:
		return true
	}
	return false
}

// Loans lists the borrowed jobs here, with their permits.
func (p *Part) Loans(f func(rec *JobRecord, permit *loan.Permit)) {
	for _, w := range p.works() {
		if w.borrowed() && w.mine > 0 {
			f(w.Rec, w.permit)
		}
	}
}

// mindLoan stops what may not go on, and gives back what is to be given back.
func (p *Part) mindLoan(w *Work, now time.Duration) {
	l := w.Rec.Loan
	term := time.Duration(l.TermMs) * time.Millisecond
	if w.nplaced > 0 {
		w.placedAt = now
	}
	left := w.permit.Left(now)
	switch {
	case left == 0 && p.young(now):
	case left == 0:
		p.clearLoan(w, 0)
	case l.Ending || w.over:
		p.clearLoan(w, w.Rec.Job.Save)
	case w.Rec.Job.Mark > 0 && left < min(world.Seconds(w.Rec.Job.Save)+2*p.report(), term/2):
		// Home is silent: what can be saved is saved before it must be gone.
		for _, pl := range w.placements() {
			if !pl.run.Halt && pl.run.Began > 0 {
				p.stopRun(w, pl, "its home is silent")
			}
		}
	}
	// A job that has moved on to another part may linger here while a write is
	// under way; what is left of it elsewhere is not known here.
	if w.mine == 0 {
		return
	}
	// No room for it, or not a word from home, for long: it may go elsewhere.
	late := now-w.placedAt > term && left > 0 || now-w.placedAt > 10*term
	if l.Ending || w.over || l.Recall || late {
		p.giveBack(w)
	}
}

// young: the part was taken over a moment ago, and the homes of what is borrowed
// have hardly been asked yet. An answer to a report would have to stop their
// work, though they may be about to say that it goes on; none is given for that
// long, which costs a machine a tenth of its lease at most.
func (p *Part) young(now time.Duration) bool {
	return now < p.since+world.Seconds(p.h.Settings().Deployment.Workers.Lease)/10
}

// Unanswered tells whether the machine's report is better answered a little later.
func (p *Part) Unanswered(m *Machine, now time.Duration) bool {
	return p.borrowed > 0 && p.young(now) && m.Unpermitted(now)
}

// clearLoan stops all of a borrowed job, with the time to save if there is any.
func (p *Part) clearLoan(w *Work, save float64) {
	for _, pl := range w.placements() {
		switch {
		case pl.run.Halt && (save > 0 || pl.run.Grace == 0):
		case save > 0 && w.Rec.Job.Mark > 0:
			p.stopRun(w, pl, "borrowed: is given back")
		case pl.m.Stop(pl.run, 0):
			p.release(w, pl.run)
		default:
			p.press(pl.m)
		}
	}
}

// cleared: nothing of the job is, or may be, on any machine of the part.
func (p *Part) cleared(w *Work) bool {
	if w.nplaced > 0 || len(w.runs) > 0 || w.writing || w.moving {
		return false
	}
	if p.strayed(w) {
		return false
	}
	for _, m := range p.machines() {
		if !m.Resolved && w.stored.has(m.ID) {
			return false
		}
		for run := range m.All() {
			if run.Job == w.Rec.Job.ID && !run.Over() && run.MayBeThere() {
				return false
			}
		}
	}
	return true
}

// giveBack writes the durable word that nothing of the loan is left here, if
// that is so, with the tasks that are done. Only the owner of its part knows.
func (p *Part) giveBack(w *Work) {
	if w.ending || w.left == 0 || !p.cleared(w) {
		return
	}
	w.ending = true
	id := w.Rec.Job.ID
	p.h.Ledger().Write(ledger.Soon, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			if p.Works[id] != w || w.mine == 0 || !p.cleared(w) {
				return nil, nil
			}
			f := &Final{W: nonce, Status: wire.Withdrawn, Tasks: w.Rec.Job.Tasks, At: p.h.Wall(), Done: w.ranges(p.K, p.listLimit())}
			return []wire.Cond{p.guard(), {Key: JobKey(id), Stamp: w.Stamp}, {Key: FinalKey(id)}},
				[]wire.Op{{Put: FinalKey(id), Value: wire.Encode(f)}, {Delete: JobKey(id)}}
		},
		Done: func(ok bool, _ uint64) {
			w.ending = false
			if ok {
				slog.Info("part: loan given back", "part", p.K, "job", id, "done", w.doneMine, "of", w.mine)
			}
		},
	})
}

// RoomFor counts the tasks of a job that would start in a free room now; beside:
// in what is not kept for large jobs.
func RoomFor(h Host, j *wire.Job, f *mesh.Room, beside bool) int {
	t := h.TypeOf(f.Type)
	if !Allows(j, t, f.Zone, f.Spot) || beside && kept(h, &room{m: &Machine{Machine: &worker.Machine{Zone: f.Zone, Spot: f.Spot}, rec: MachineRecord{Own: f.Own}}, t: t,
		cores: f.Cores, gpus: f.Gpus, mem: f.MemoryGb}, j) {
		return 0
	}
	return (&wire.MachineType{Cores: f.Cores, GPUs: f.Gpus, Memory: f.MemoryGb}).Fits(j, j.Tasks)
}

// Permitted notes that the home of a borrowed job lets it go on: it may start
// at once.
func (p *Part) Permitted(id string) {
	if w := p.Works[id]; w != nil && w.idle > 0 {
		p.dirty, p.lastPass = true, 0
	}
}

// EndLoan stops a borrowed job: its home says that it is over there.
func (p *Part) EndLoan(id string) {
	if w := p.Works[id]; w != nil && w.borrowed() && !w.over {
		w.over = true
		slog.Info("part: a loan is over at its home", "part", p.K, "job", id)
	}
}
