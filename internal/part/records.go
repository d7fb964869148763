package part

import (
	"fmt"
	"log/slog"
	"sort"
	"time"

	"curlewspool/internal/ledger"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
	"curlewspool/internal/world"
)

// This file writes what the ledger keeps of the part's jobs.

// ProgressKey is where this part's progress of a job is kept.
func ProgressKey(id string, part int) string { return fmt.Sprintf("a/p/%s/%d", id, part) }

// maybeFinish writes the job's end when every task is done.
func (p *Part) maybeFinish(w *Work) {
	if w.left > 0 || w.ending || w.service() {
		return
	}
	w.ending = true
	id := w.Rec.Job.ID
	l := p.h.Ledger()
	l.Write(ledger.Urgent, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			if p.Works[id] != w {
				return nil, nil
			}
			return []wire.Cond{p.guard(), {Key: JobKey(id), Stamp: w.Stamp}, {Key: FinalKey(id)}},
				[]wire.Op{{Put: FinalKey(id), Value: wire.Encode(&Final{W: nonce, Status: wire.Done, Tasks: w.Rec.Job.Tasks, At: p.h.Wall()})},
					{Delete: JobKey(id)}}
		},
		Done: func(ok bool, _ uint64) {
			w.ending = false
			if ok {
				slog.Info("part: job done", "part", p.K, "job", id)
			} else if p.Works[id] == w {
				w.notTo = p.h.Now() + p.report()/4 // the tick tries again
			}
		},
	})
}

// saveEvery spaces the writes of a job's progress, so that all of this part's
// together use at most a quarter of a member's share of the state's writes.
func (p *Part) saveEvery(active int) time.Duration {
	s := p.h.Settings()
	share := s.Deployment.State.WriteRPS / 4 / float64(max(1, len(s.Names())))
	return max(p.report(), world.Seconds(float64(active)/share))
}

func (p *Part) writeProgress(w *Work, now, every time.Duration) {
	if w.held && !w.unseen {
		p.store(w, ledger.Soon)
	}
	if !w.dirty || w.ending || w.anywhere() && !w.mistaken {
		return
	}
	// All our tasks are done, others run elsewhere: they wait for our word.
	switch last := w.doneMine == w.mine && w.left > 0; {
	case last:
		p.store(w, ledger.Urgent)
	case w.writtenAt == 0 || now-w.writtenAt >= every:
		p.store(w, ledger.Later)
	}
}

// store writes what is done of a job and the machines it may be on. Runs that
// the ledger does not cover wait for it.
func (p *Part) store(w *Work, urgency int) {
	if w.asked[urgency] || w.writing {
		return
	}
	w.asked[urgency] = true
	id := w.Rec.Job.ID
	key := ProgressKey(id, p.K)
	l := p.h.Ledger()
	built := false
	var ended []*worker.Run
	var next *reach
	l.Write(urgency, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			if p.Works[id] != w || w.writing && !built || !built && !w.dirty && !w.held {
				return nil, nil
			}
			built, w.writing, w.dirty, w.writtenAt = true, true, false, p.h.Now()
			ended = append(ended[:0], w.ended...)
			limit := p.listLimit()
			pr := &Progress{W: nonce, Done: w.ranges(p.K, limit), Running: w.nplaced, Against: p.blame.Against(id)}
			next = p.reachOf(w, limit)
			pr.All = next.all
			for m := range next.on {
				pr.On = append(pr.On, m)
			}
			sort.Strings(pr.On)
			w.next = next
			return []wire.Cond{p.guard(), l.Stamp(key)}, []wire.Op{{Put: key, Value: wire.Encode(pr)}}
		},
		Done: func(ok bool, _ uint64) {
			w.asked[urgency] = false
			if !built { // another one said it
				return
			}
			w.writing, w.next = false, nil
			if !ok {
				w.dirty = true
				return // the tick tries again
			}
			w.stored = *next
			for _, run := range ended {
				run.Reap = true
			}
			w.ended = w.ended[len(ended):]
			p.unhold(w)
			if w.held {
				p.store(w, ledger.Soon)
			}
		},
	})
}

// listLimit is what a list of done tasks, or of machines, may take of a value,
// in bytes.
func (p *Part) listLimit() int { return int(p.h.Settings().Deployment.State.ValueKB * 1024 * 0.35) }

// reachOf lists the machines that a job is, may be or may soon be on: while
// some of it is queued all that could take it, so that not every start needs a
// write of its own.
func (p *Part) reachOf(w *Work, limit int) *reach {
	if w.anywhere() {
		return &reach{all: true}
	}
	r := &reach{on: map[string]bool{}}
	for _, pl := range w.runs {
		r.on[pl.m.ID] = true
	}
	for _, m := range w.strays {
		r.on[m.ID] = true
	}
	more := w.idle > 0 && !w.gang()
	now := p.h.Now()
	for _, m := range p.machines() {
		if !m.Resolved && w.stored.has(m.ID) || more && p.usable(m, now) && p.allowed(m, &w.Rec.Job) {
			r.on[m.ID] = true
		}
	}
	size := 0
	for id := range r.on {
		size += len(id) + 3
	}
	if size > limit {
		return &reach{all: true}
	}
	return r
}

// unhold lets runs start that the ledger covers now.
func (p *Part) unhold(w *Work) {
	if !w.held {
		return
	}
	w.held = false
	for _, pl := range w.placements() {
		switch {
		case !pl.run.Hold:
		case w.covers(pl.m.ID):
			pl.run.Hold = false
			p.press(pl.m)
		default:
			w.held = true
		}
	}
}
