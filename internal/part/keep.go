package part

import (
	"time"

	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// This file says which machines are kept for large jobs, and what a machine costs a
// task.

// kept: a machine on which one of the large shapes seen lately could start now
// is not cut up for small tasks, but for what the large one would leave free,
// and for work that it may stop without loss.
//
// Not from work of which nothing has started for so long that a machine rented
// for it would have come or been given up: where all machines have the large
// shape's size, and those that are there seem enough to whoever rents, it would
// wait for ever.
func (p *Part) kept(r *room, w *Work, now time.Duration) bool {
	return !p.stalled(w, r.t, 1, now) && kept(p.h, r, &w.Rec.Job)
}

// stalled: nothing of the work has started here for some times the wait for a
// machine of the type.
func (p *Part) stalled(w *Work, t *wire.MachineType, times float64, now time.Duration) bool {
	return now-max(w.queuedAt, w.startedAt) > world.Seconds(times*t.Boot*p.h.Settings().Rent.LateBoots)
}

func kept(h Host, r *room, j *wire.Job) bool {
	if r.m.Spot {
		return false
	}
	if j.Spot && !r.m.rec.Own && h.Spared() {
		return true // it is to become empty, and to be returned
	}
	for _, s := range h.Large() {
		l := &s.Job
		if h.Now()-s.Seen > forLarge*idleKept(h, r.m.rec.Own, r.t) || 2*l.Cores <= r.t.Cores || 2*j.Cores >= l.Cores || l.Rank < j.Rank || !Allows(l, r.t, r.m.Zone, r.m.Spot) {
			continue
		}
		if j.Rank < l.Rank && j.Mark > 0 && givesWay(h, r, j, l) {
			continue
		}
		after := *r
		after.take(j)
		if !after.fits(l) && r.largeFits(l) {
			return true
		}
	}
	return false
}

// givesWay: work that saves is off a machine in time for a large job that comes
// then to have its image and to start as it is expected to. (Guests' tasks that take
// 3 s to save had gangs wait 8 s that are expected to start within 6.)
func givesWay(h Host, r *room, j, l *wire.Job) bool {
	s := h.Settings()
	wait := j.Save + s.Deployment.Workers.Report
	if r.t.Fetch > 0 {
		wait += l.ImageGb / r.t.Fetch
	}
	for _, o := range s.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == l.Class && wait > o.Within {
			return false
		}
	}
	return true
}

// largeFits tells whether l could start now, or could once what it may stop
// without loss is stopped.
func (r *room) largeFits(l *wire.Job) bool {
	free := r.freed()
	return free.fits(l)
}

// freed is the room once what may be stopped without loss is.
func (r *room) freed() room {
	free := *r
	free.cores, free.gpus, free.mem = r.cores+r.softC, r.gpus+r.softG, r.mem+r.softM
	free.softC, free.softG, free.softM = 0, 0, 0
	return free
}

// riskOfSpot is the share of a run that is reckoned as lost with spot machines
// for work that saves nothing: enough to choose an ordinary machine that is
// there anyway, not one that could be returned.
const riskOfSpot = 0.1

// cost orders the machines for a task, in seconds: the fetch it would wait
// for, and small leanings to spot machines, to small ones and to ones that
// are in use already.
func (p *Part) cost(r *room, j *wire.Job) float64 {
	c := p.fetch(r, j).Seconds()
	report := p.h.Settings().Deployment.Workers.Report
	switch {
	case !j.Spot:
	case !r.m.Spot && !r.m.rec.Own:
		c += 5 * report // a rented one in use for it cannot be returned
	case r.m.Spot && j.Mark <= 0:
		c += riskOfSpot * j.Estimate // all its work is lost if the machine is taken
	}
	if r.cores >= r.t.Cores {
		c += report
	}
	c += report * r.cores / (r.t.Cores + 1)
	return c + 0.01*r.t.Cores
}
