package part

import (
	"math"
	"slices"
	"sort"
	"time"

	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
)

// This file orders what waits.

// Score is the weighted priority of a queued job (DESIGN; paper, section 4);
// deadlines are those of the job, see Host.Deadlines; short is the shortest
// queued estimate over its own.
// The weight of the user's priority is ours: PROTOCOL lets a higher one
// preempt, so it must also be ahead in the queue. Ours, too: of several
// deadlines the first that the job can still meet counts.
func Score(s *settings.ScoreSettings, j *wire.Job, deadlines []float64, age, short, estimate float64) float64 {
	v := s.Aging*age + s.Priority*float64(j.Rank)
	if estimate > 0 {
		v += s.Short * short
	}
	ends := age + estimate
	for _, due := range deadlines {
		if ends > due {
			continue // late
		}
		if from := due - s.K*estimate; ends > from && due > from {
			return v + s.DeadlineMin + (s.DeadlineMax-s.DeadlineMin)*(ends-from)/(due-from)
		}
		break
	}
	return v + s.DeadlineMin
}

// length is the estimate that the short-job term compares: of an array, what
// is queued of it here, since its user waits for the last task (ours).
func (w *Work) length() float64 {
	if w.gang() {
		return w.Rec.Job.Estimate
	}
	return w.Rec.Job.Estimate * float64(max(w.idle, 1))
}

// strayed: a run of the job that is not to be there has not gone yet.
func (p *Part) strayed(w *Work) bool {
	for run, m := range w.strays {
		if p.Machines[m.ID] == m && m.Runs[run.RunKey] == run && !run.Over() {
			return true
		}
		delete(w.strays, run)
	}
	return false
}

// silent lists the machines that have not answered this owner.
func (p *Part) silent() (out []*Machine) {
	for _, m := range p.machines() {
		if !m.Resolved {
			out = append(out, m)
		}
	}
	return out
}

// Silent counts them.
func (p *Part) Silent() int { return len(p.silent()) }

// DeafOnes names the machines that report and hear nothing.
func (p *Part) DeafOnes() []string {
	ids := []string{}
	for _, m := range p.machines() {
		if m.Deaf() {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// blocked: tasks of the job that are not seen may be on a silent machine, or on
// their way off another.
func (p *Part) blocked(w *Work, silent []*Machine) bool {
	if w.anywhere() && w.fresh {
		return p.strayed(w)
	}
	return slices.ContainsFunc(silent, func(m *Machine) bool { return w.stored.has(m.ID) }) || p.strayed(w)
}

// half: an earlier owner launched a part of a gang and was gone before the rest.
// What is there waits for peers that nobody starts, until gang_wait_s ends it. (35
// and 45 s at the users', who expect gangs to start within 6 and 20; found as a
// gang that stayed for ever in a stand-in without that time.)
func (p *Part) half(w *Work) bool {
	return w.gang() && !w.broken && !w.halting && w.nplaced > 0 && w.idle > 0 && !p.blocked(w, p.silent())
}

func (p *Part) queue(now time.Duration) []*Work {
	silent := p.silent()
	var q []*Work
	shortest := math.Inf(1)
	for _, w := range p.works() {
		switch {
		case w.idle == 0 || w.ending || w.moving:
			continue
		case p.blocked(w, silent):
			w.why = "may be on a machine that is silent"
			continue
		case w.borrowed() && !p.permitted(w, now):
			continue
		case now < w.notTo || w.mistaken && w.nplaced > 0:
			w.why = "its last start failed"
			if w.mistaken {
				w.why = "it fails on every machine: one task at a time is tried"
			}
			continue
		case w.gang() && (w.broken || w.halting || w.nplaced > 0):
			w.why = "its last attempt is being cleared"
			continue
		}
		q = append(q, w)
		if e := w.length(); e > 0 {
			shortest = min(shortest, e)
		}
	}
	s := &p.h.Settings().Score
	wall := p.h.Wall()
	for _, w := range q {
		j := &w.Rec.Job
		w.score = Score(s, j, p.h.Deadlines(j), wall-w.Rec.At, shortest/max(w.length(), 1e-9), j.Estimate)
		w.score += p.toBegin(w, wall-w.Rec.At)
		if p.guaranteed(j.Team) {
			w.score += 1e9
		}
	}
	sort.SliceStable(q, func(i, k int) bool { return q[i].score > q[k].score })
	return q
}

// toBegin is what a job gains of which nothing has started here, from a quarter to a
// half of the time within which jobs are to begin: by then it is ahead of all that
// came after it, and reserves as the head what others free. It stops nothing by this:
// its rank stays what it is. Once some of it has started it is like any other. (Tried
// until all of a class's largest arrays had started: a guest's 25,000 tasks of the
// lowest rank went ahead of members' arrays, which stopped them, 90,000 times.)
//
// The smallest exception that works for the users' rule that a class's largest jobs,
// too, begin within four minutes whatever comes meanwhile. (Incident inc-2185: a gang
// of three waited for 349 s behind arrays, a guest's array for 474 s.)
func (p *Part) toBegin(w *Work, age float64) float64 {
	if w.nplaced > 0 || w.doneMine > 0 || w.startedAt > 0 {
		return 0
	}
	s := &p.h.Settings().Score
	return s.BeginWeight * min(max(4*age/s.Begin-1, 0), 1)
}

// justBegun: a job that was late to begin is let run for an eighth of the time within
// which jobs are to begin. (The gang of five was stopped by the next small task of a
// higher rank, four seconds after it had begun at last.)
func (p *Part) justBegun(w *Work, now time.Duration) bool { return now < w.begunTo }

// guaranteed: a team whose unfinished jobs fit into its guarantee need not
// wait for others.
func (p *Part) guaranteed(team string) bool {
	t := p.h.Settings().Team(team)
	if t == nil || t.Cores <= 0 && t.GPUs <= 0 {
		return false
	}
	c, g := p.h.TeamDemand(team)
	return c <= t.Cores+eps && g <= t.GPUs+eps
}

// allowance is what a team may still start here; a team with a limit has all
// its jobs in one part.
func (p *Part) allowance(team string) (cores, gpus float64) {
	t := p.h.Settings().Team(team)
	cores, gpus = math.Inf(1), math.Inf(1)
	if t == nil || !t.Limited() {
		return cores, gpus
	}
	if t.CoresMax > 0 {
		cores = t.CoresMax
	}
	if t.GPUsMax > 0 {
		gpus = t.GPUsMax
	}
	for _, m := range p.Machines {
		if !m.Resolved {
			return 0, 0 // what it runs is not known
		}
		for _, run := range m.Runs {
			if run.Over() {
				continue
			}
			w := p.Works[run.Job]
			if w == nil {
				return 0, 0 // of a job that is over; whose is not known
			}
			if w.Rec.Job.Team == team {
				cores -= w.Rec.Job.Cores
				gpus -= w.Rec.Job.GPUs
			}
		}
	}
	return cores, gpus
}
