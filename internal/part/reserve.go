package part

import (
	"math"
	"sort"
	"time"

	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
)

// This file reserves room for the head, and stops others for it.

// reserve finds where the head can start at the earliest and marks it; work
// of lower priority is stopped if that lets it start now.
func (p *Part) reserve(w *Work, rooms []*room, now time.Duration) bool {
	j := &w.Rec.Job
	need := 1
	if w.gang() {
		need = j.Tasks
	}
	type option struct {
		r    *room
		at   time.Duration
		n    int
		c, g float64
		mem  float64
	}
	var options []option
	for _, r := range rooms {
		if !p.allowed(r.m, j) || now < w.avoid[r.m.ID] || r.m.sick {
			continue
		}
		type end struct {
			at  time.Duration
			job *wire.Job
		}
		var ends []end
		for _, run := range r.m.Runs {
			o := p.Works[run.Job]
			if run.Over() || o == nil {
				continue
			}
			ends = append(ends, end{p.endOf(run, &o.Rec.Job, now), &o.Rec.Job})
		}
		sort.Slice(ends, func(a, b int) bool { return ends[a].at < ends[b].at })
		c, g, mem, at := r.cores, r.gpus, r.mem, now
		for k := 0; ; k++ {
			n := 0
			for n < need && c-float64(n)*j.Cores+eps >= j.Cores && g-float64(n)*j.GPUs+eps >= j.GPUs && mem-float64(n)*j.Memory+eps >= j.Memory {
				n++
			}
			if n > 0 && (len(options) == 0 || options[len(options)-1].r != r || n > options[len(options)-1].n) {
				options = append(options, option{r, at, n, c, g, mem})
			}
			if n >= need || k >= len(ends) {
				break
			}
			c += ends[k].job.Cores
			g += ends[k].job.GPUs
			mem += ends[k].job.Memory
			at = ends[k].at
		}
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].at < options[b].at })
	// The earliest moment at which enough is free, in one zone if it must be.
	var best map[*room]option
	var start time.Duration
	for _, zone := range zonesFor(j, rooms) {
		have, at, set := 0, now, map[*room]option{}
		there, on := map[string]int{}, map[*room]int{}
		for _, o := range options {
			if zone != "" && o.r.m.Zone != zone {
				continue
			}
			n := o.n - on[o.r]
			if j.Spread {
				n = min(n, Half(j)-there[o.r.m.Zone])
			}
			if n <= 0 {
				continue
			}
			have += n
			on[o.r] += n
			there[o.r.m.Zone] += n
			set[o.r] = o
			at = max(at, o.at)
			if have >= need {
				break
			}
		}
		if have >= need && (best == nil || at < start) {
			best, start = set, at
		}
	}
	if best == nil {
		return p.preempt(w, rooms, need, now, nil)
	}
	w.starts = start
	// What is borrowed gives way to a job of this cluster that would wait.
	if p.borrowed > 0 && start > now && p.preempt(w, rooms, need, now, (*Work).borrowed) {
		return true
	}
	fetch := time.Duration(0)
	for r := range best {
		fetch = max(fetch, p.fetch(r, j))
	}
	if p.tooLate(w, start, now, fetch) && p.preempt(w, rooms, need, now, nil) {
		return true
	}
	for r, o := range best {
		r.reserved, r.at = true, o.at
		r.spareC = o.c - float64(o.n)*j.Cores
		r.spareG = o.g - float64(o.n)*j.GPUs
		r.spareM = o.mem - float64(o.n)*j.Memory
	}
	return true
}

// zonesFor lists the zones to try one by one for a job that may only be in
// one; else one empty name, for all of them.
func zonesFor(j *wire.Job, rooms []*room) []string {
	if !j.OneZone {
		return []string{""}
	}
	var zones []string
	for _, r := range rooms {
		if !contains(zones, r.m.Zone) {
			zones = append(zones, r.m.Zone)
		}
	}
	return zones
}

// tooLate tells whether starting at the given time, and fetching the image then,
// misses what is expected of the job. If it does not, stopping others would only
// cost their work. The time follows from estimates, which are often too low; so
// what waits is not left to them beyond the last moment at which stopping others,
// who save first, would still be in time. (Gangs used to be let wait for ends
// that did not come, and stopped others when they were late themselves.)
func (p *Part) tooLate(w *Work, start, now, fetch time.Duration) bool {
	j := &w.Rec.Job
	age := p.h.Wall() - w.Rec.At
	wait := age + (start - now).Seconds() + fetch.Seconds()
	// A pass may be half a report away, and the word that they have saved.
	last := func() float64 { return age + p.longestSave(j.Rank) + fetch.Seconds() + p.report().Seconds() }
	expected := false
	for _, o := range p.h.Settings().Deployment.Objectives {
		if o.Class == j.Class && o.Kind == "wait" {
			expected = true
			if wait > o.Within || start > now && last() > o.Within {
				return true
			}
		}
	}
	for _, d := range p.h.Deadlines(j) {
		expected = true
		if wait+j.Estimate > d {
			return true
		}
	}
	return !expected && (start-now).Seconds() > j.Estimate/2 || p.guaranteed(j.Team)
}

// longestSave is how long work of lower ranks that is placed takes to save, in
// seconds.
func (p *Part) longestSave(rank int) (save float64) {
	for _, o := range p.works() {
		if o.nplaced > 0 && o.Rec.Job.Rank < rank {
			save = max(save, o.Rec.Job.Save)
		}
	}
	return save
}

// preempt stops work that may be stopped for w (PROTOCOL, "Preemption") if
// that frees room for the tasks it needs. While victims save, their room
// stays reserved for w. only: of what may be stopped, that; nil: all.
func (p *Part) preempt(w *Work, rooms []*room, need int, now time.Duration, only func(*Work) bool) bool {
	j := &w.Rec.Job
	entitled := p.guaranteed(j.Team)
	type plan struct {
		r       *room
		victims []*placement
		lost    float64
	}
	var plans []plan
	for _, r := range rooms {
		if !p.allowed(r.m, j) || p.kept(r, w, now) || now < w.avoid[r.m.ID] || r.m.sick {
			continue
		}
		var vs []*placement
		for run := range r.m.All() {
			o := p.Works[run.Job]
			if o == nil || run.Over() || o == w || only != nil && !only(o) || p.justBegun(o, now) {
				continue
			}
			if o.Rec.Job.Rank < j.Rank || entitled && p.borrows(o.Rec.Job.Team, j.Team) {
				vs = append(vs, &placement{r.m, run})
			}
		}
		lost := func(v *placement) float64 {
			return stopLoses(v.run, &p.Works[v.run.Job].Rec.Job, now)
		}
		sort.SliceStable(vs, func(a, b int) bool { return lost(vs[a]) < lost(vs[b]) })
		c, g, mem := r.cores, r.gpus, r.mem
		pl := plan{r: r}
		for _, v := range vs {
			if c+eps >= j.Cores && g+eps >= j.GPUs && mem+eps >= j.Memory {
				break
			}
			o := &p.Works[v.run.Job].Rec.Job
			c, g, mem = c+o.Cores, g+o.GPUs, mem+o.Memory
			pl.victims = append(pl.victims, v)
			pl.lost += lost(v)
		}
		if c+eps >= j.Cores && g+eps >= j.GPUs && mem+eps >= j.Memory {
			plans = append(plans, pl)
		}
	}
	sort.SliceStable(plans, func(a, b int) bool { return plans[a].lost < plans[b].lost })
	var chosen []plan
	least := math.Inf(1)
	for _, zone := range zonesFor(j, rooms) {
		var set []plan
		lost, there := 0.0, map[string]int{}
		for _, pl := range plans {
			if len(set) < need && (zone == "" || pl.r.m.Zone == zone) && (!j.Spread || there[pl.r.m.Zone] < Half(j)) {
				set = append(set, pl)
				there[pl.r.m.Zone]++
				lost += pl.lost
			}
		}
		if len(set) == need && lost < least {
			chosen, least = set, lost
		}
	}
	any := false
	for _, pl := range chosen {
		for _, v := range pl.victims {
			any = true
			if !v.run.Halt {
				p.stopRun(p.Works[v.run.Job], v, "preempted by "+j.ID)
			}
		}
		pl.r.reserved, pl.r.at = true, now
		pl.r.spareC, pl.r.spareG, pl.r.spareM = 0, 0, 0
	}
	return any
}

// stopLoses is how many core-seconds stopping a run costs: its save, or all that it
// has done.
func stopLoses(run *worker.Run, j *wire.Job, now time.Duration) float64 {
	if run.Began == 0 || run.Halt {
		return 0
	}
	if j.Mark > 0 {
		return j.Save * j.Cores
	}
	return (now - run.Began).Seconds() * j.Cores
}

// borrows: the team runs more here than its guarantee.
func (p *Part) borrows(team, other string) bool {
	if team == other {
		return false
	}
	t := p.h.Settings().Team(team)
	var c, g float64
	for _, w := range p.Works {
		if w.Rec.Job.Team == team {
			c += w.Rec.Job.Cores * float64(w.nplaced)
			g += w.Rec.Job.GPUs * float64(w.nplaced)
		}
	}
	return t == nil || c > t.Cores+eps || g > t.GPUs+eps
}
