package part

import (
	"log/slog"
	"math"
	"sort"
	"time"

	"curlewspool/internal/ledger"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
	"curlewspool/internal/world"
)

// Pass starts what can be started: the head and everything that does not
// delay it.
func (p *Part) Pass() {
	now := p.h.Now()
	p.lastPass, p.dirty = now, false
	if !p.h.MayLaunch() {
		return
	}
	q := p.queue(now)
	rooms := p.rooms(now)
	p.head = nil
	defer func() {
		for _, m := range p.Machines {
			m.reserved = nil
		}
		for _, r := range rooms {
			if r.reserved {
				r.m.reserved = r
			}
		}
	}()
	for _, w := range q {
		j := &w.Rec.Job
		full := p.start(w, rooms, now)
		if full || p.head != nil || w.mistaken {
			continue
		}
		if w.borrowed() {
			w.why = "borrowed: starts in room that nothing of this cluster waits for"
			continue
		}
		// The head: reserve what it needs at the earliest time.
		p.head = w
		w.why = "is the head and waits for room"
		if c, g := p.allowance(j.Team); c < j.Cores || g < j.GPUs {
			w.why, p.head = "its team's limit is reached", nil
			continue
		}
		if !p.reserve(w, rooms, now) {
			p.head = nil // no machine here can ever take it
			w.why = "no machine of this part can take it"
		}
	}
	p.makeRoom(q, rooms, now)
}

// fill starts on one machine what may start there, in order and without
// delaying the head of the last pass. A gang is left to the next pass.
func (p *Part) fill(m *Machine) {
	now := p.h.Now()
	free := p.roomOf(m, now)
	if free == nil || free.cores <= eps || !p.h.MayLaunch() {
		return
	}
	r := *free
	if m.reserved != nil {
		r.reserved, r.at = true, m.reserved.at
		r.spareC, r.spareG, r.spareM = m.reserved.spareC, m.reserved.spareG, m.reserved.spareM
	}
	rooms := []*room{&r}
	for _, w := range p.queue(now) {
		if r.cores <= eps {
			return
		}
		if w.Rec.Job.Tasks > 1 && (w.gang() || w.Rec.Job.OneZone) {
			if p.head == nil {
				return // it may be the head: the next pass tells
			}
			continue
		}
		was := r.reserved
		r.reserved = was && w != p.head
		p.start(w, rooms, now)
		r.reserved = was
	}
}

// start starts as much of w as fits; true if nothing of it is left waiting.
func (p *Part) start(w *Work, rooms []*room, now time.Duration) bool {
	j := &w.Rec.Job
	n := w.idle
	tc, tg := p.allowance(j.Team)
	if j.Cores > 0 {
		n = int(min(float64(n), math.Floor(tc/j.Cores+eps)))
	}
	if j.GPUs > 0 {
		n = int(min(float64(n), math.Floor(tg/j.GPUs+eps)))
	}
	if w.mistaken && !w.gang() {
		n = min(n, 1)
	}
	if n <= 0 || w.gang() && n < j.Tasks {
		w.why = "its team's limit is reached"
		return false
	}
	fits := make([]*room, 0, len(rooms))
	total := 0
	for _, r := range rooms {
		if r.fits(j) && !p.untried(r.m, w, now) && now >= w.avoid[r.m.ID] && p.allowed(r.m, j) && p.backfills(r, j, now) && !p.kept(r, w, now) {
			fits = append(fits, r)
			total++
		}
	}
	if total == 0 {
		w.why = "no room"
		return false
	}
	for _, r := range fits {
		r.cost = p.cost(r, j)
	}
	sort.SliceStable(fits, func(a, b int) bool { return fits[a].cost < fits[b].cost })
	plan := p.plan(w, fits, n, now)
	if len(plan) == 0 || w.gang() && len(plan) < j.Tasks {
		w.why = "no room for the whole gang"
		return false
	}
	if w.gang() || w.try == 0 {
		p.tries++
		w.try = p.Token<<20 + p.tries
	}
	if p.toBegin(w, p.h.Wall()-w.Rec.At) > 0 {
		w.begunTo = now + world.Seconds(p.h.Settings().Score.Begin/8) + p.fetch(plan[0], j)
	}
	w.startedAt = now
	for k, i := range w.nextIdle(p.K, len(plan)) {
		r := plan[k]
		t := worker.Task{Job: j.ID, Index: i}
		p.tries++
		try := w.try
		if !w.gang() {
			try = p.Token<<20 + p.tries
		}
		hold := !w.covers(r.m.ID)
		run := r.m.Place(t, try, hold, now)
		run.Permit = w.permit
		w.runs[t] = &placement{r.m, run}
		w.set(i, placed)
		w.held = w.held || hold
	}
	if w.held && !w.unseen {
		p.store(w, ledger.Soon)
	}
	for _, r := range plan {
		p.press(r.m)
	}
	slog.Debug("part: starts", "part", p.K, "job", j.ID, "tasks", len(plan), "left", w.idle)
	w.why = "no room for more"
	return w.idle == 0
}

// plan chooses a room for each of up to n tasks, observing together and
// apart. Rooms given are taken from.
func (p *Part) plan(w *Work, fits []*room, n int, now time.Duration) []*room {
	j := &w.Rec.Job
	inZone := map[string]int{}
	zone := ""
	if j.OneZone || j.Spread {
		for _, pl := range w.runs {
			inZone[pl.m.Zone]++
			zone = pl.m.Zone
		}
	}
	try := func(only string) (plan []*room, undo func()) {
		count := map[string]int{}
		for z, c := range inZone {
			count[z] = c
		}
		for _, r := range fits {
			if only != "" && r.m.Zone != only {
				continue
			}
			one := r.m.sick // see fault.go
			for k := 0; len(plan) < n && !(one && k > 0) && r.fits(j) && p.backfills(r, j, now) && !p.kept(r, w, now); k++ {
				if j.Spread && count[r.m.Zone] >= Half(j) {
					break
				}
				count[r.m.Zone]++
				r.take(j)
				r.spareC -= j.Cores
				r.spareG -= j.GPUs
				r.spareM -= j.Memory
				plan = append(plan, r)
			}
		}
		return plan, func() {
			for _, r := range plan {
				r.cores += j.Cores
				r.gpus += j.GPUs
				r.mem += j.Memory
				r.spareC += j.Cores
				r.spareG += j.GPUs
				r.spareM += j.Memory
			}
		}
	}
	if !j.OneZone {
		plan, undo := try("")
		if w.gang() && len(plan) < n {
			undo()
			return nil
		}
		return plan
	}
	zones := []string{zone}
	if zone == "" {
		zones = zones[:0]
		for _, r := range fits {
			if !contains(zones, r.m.Zone) {
				zones = append(zones, r.m.Zone)
			}
		}
	}
	best, size := "", 0
	for _, z := range zones {
		plan, undo := try(z)
		undo()
		if len(plan) > size {
			best, size = z, len(plan)
		}
	}
	if size == 0 || w.gang() && size < n {
		return nil
	}
	plan, _ := try(best)
	return plan
}

// backfills tells whether a start on r does not delay the head.
func (p *Part) backfills(r *room, j *wire.Job, now time.Duration) bool {
	if !r.reserved {
		return true
	}
	if now+p.fetch(r, j)+p.estimate(j) <= r.at {
		return true
	}
	return r.spareC+eps >= j.Cores && r.spareG+eps >= j.GPUs && r.spareM+eps >= j.Memory
}

func (p *Part) fetch(r *room, j *wire.Job) time.Duration {
	if r.m.images[j.Image] || r.t.Fetch <= 0 {
		return 0
	}
	return world.Seconds(j.ImageGb / r.t.Fetch)
}
