package part

import (
	"log/slog"
	"math"
	"slices"
	"sort"
	"time"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/ledger"
	"curlewspool/internal/mesh"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
	"curlewspool/internal/world"
)

// room is what is free on a machine during one pass.
type room struct {
	m                *Machine
	t                *wire.MachineType
	cores, gpus, mem float64
	reserved         bool
	cost             float64       // of the job looked at
	at               time.Duration // when the head is to start here
	spareC, spareG   float64       // what the head leaves at that time
	spareM           float64
	// held by work of the lowest rank that loses nothing when it is stopped
	softC, softG, softM float64
	unknown             bool // a run is of a job that is over: it goes soon
	hard                bool // a run is of a job that spot machines do not do for
}

const eps = 1e-9

func (r *room) fits(j *wire.Job) bool {
	return r.cores+eps >= j.Cores && r.gpus+eps >= j.GPUs && r.mem+eps >= j.Memory
}

func (r *room) take(j *wire.Job) {
	r.cores -= j.Cores
	r.gpus -= j.GPUs
	r.mem -= j.Memory
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Allows tells whether a job may run on machines of a type, zone and kind.
func Allows(j *wire.Job, t *wire.MachineType, zone string, spot bool) bool {
	return t != nil && (j.Types == nil || contains(j.Types, t.Name)) && (j.Zone == "" || j.Zone == zone) &&
		(!spot || j.Spot) && j.Cores <= t.Cores && j.GPUs <= t.GPUs && j.Memory <= t.Memory
}

func (p *Part) allowed(m *Machine, j *wire.Job) bool {
	return Allows(j, p.h.TypeOf(m.Type), m.Zone, m.Spot)
}

// usable tells whether a machine may get more to do.
func (p *Part) usable(m *Machine, now time.Duration) bool {
	return m.Resolved && m.Session > 0 && !m.lending && !m.draining && now >= m.lent && m.retiring == "" && !m.Noticed && now >= m.fullTo &&
		now-m.LastHeard < 3*p.report()
}

func (p *Part) rooms(now time.Duration) []*room {
	out := make([]*room, 0, len(p.Machines))
	slab := make([]room, len(p.Machines))
	for _, m := range p.machines() {
		if r := p.roomOf(m, now); r != nil {
			slab[len(out)] = *r
			out = append(out, &slab[len(out)])
		}
	}
	return out
}

// roomOf works out what is free on a machine, if it may get more to do, anew
// only after its runs changed. The caller changes a copy only.
func (p *Part) roomOf(m *Machine, now time.Duration) *room {
	t := p.h.TypeOf(m.Type)
	if t == nil || !p.usable(m, now) {
		return nil
	}
	if m.onTrial(now) {
		return nil
	}
	r := &m.room
	if m.version != m.Version || r.t != t {
		m.version = m.Version
		*r = room{m: m, t: t, cores: t.Cores, gpus: t.GPUs, mem: t.Memory}
		for _, run := range m.Runs {
			if run.Over() {
				continue
			}
			w := p.Works[run.Job]
			if w == nil {
				r.unknown = true
				continue
			}
			r.take(&w.Rec.Job)
			r.hard = r.hard || !w.Rec.Job.Spot
			if w.Rec.Job.Rank <= 0 && w.Rec.Job.Mark > 0 {
				r.softC += w.Rec.Job.Cores
				r.softG += w.Rec.Job.GPUs
				r.softM += w.Rec.Job.Memory
			}
		}
	}
	if r.unknown {
		return nil
	}
	return r
}

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

// blocked: tasks of the job that are not seen may be on a silent machine, or on
// their way off another.
func (p *Part) blocked(w *Work, silent []*Machine) bool {
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
		if p.guaranteed(j.Team) {
			w.score += 1e9
		}
	}
	sort.SliceStable(q, func(i, k int) bool { return q[i].score > q[k].score })
	return q
}

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
		if r.fits(j) && !(r.m.sick && w.gang()) && now >= w.avoid[r.m.ID] && p.allowed(r.m, j) && p.backfills(r, j, now) && !p.kept(r, w, now) {
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
	if w.held {
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
			for k := 0; len(plan) < n && !(one && k > 0) && r.fits(j) && p.backfills(r, j, now) && !p.kept(r, w, now); {
				if j.Spread && count[r.m.Zone] >= Half(j) {
					break
				}
				k++
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
	free := *r
	free.cores += r.softC
	free.gpus += r.softG
	free.mem += r.softM
	return free.fits(l)
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
			if o == nil || run.Over() || o == w || only != nil && !only(o) {
				continue
			}
			if o.Rec.Job.Rank < j.Rank || entitled && p.borrows(o.Rec.Job.Team, j.Team) {
				vs = append(vs, &placement{r.m, run})
			}
		}
		lost := func(v *placement) float64 {
			o := &p.Works[v.run.Job].Rec.Job
			if v.run.Began == 0 || v.run.Halt {
				return 0
			}
			if o.Mark > 0 {
				return o.Save * o.Cores
			}
			return (now - v.run.Began).Seconds() * o.Cores
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

// --- what others are told, and moves ---

// freeTold bounds the free rooms told, largest first, so that a status stays
// a few KB with any number of machines.
const freeTold = 64

// Status is told to all members at each heartbeat.
func (p *Part) Status(top int) (*mesh.PartStatus, []*mesh.Gap) {
	now := p.h.Now()
	s := dispatch.NewSlots(top)
	var gaps []*mesh.Gap
	queued := 0
	for _, w := range p.works() {
		if w.idle == 0 || w.ending || w.borrowed() || w.mistaken {
			continue // nothing is rented, and no job goes elsewhere, for what is borrowed or fails
		}
		queued += w.idle
		s.Add(min(w.Rec.Rank, top), dispatch.Work(&w.Rec.Job, w.idle))
		if now >= w.notTo && len(gaps) < 64 && !w.broken && !w.halting {
			starts := 0.0
			if w.starts > now {
				starts = (w.starts - now).Seconds()
			}
			gaps = append(gaps, &mesh.Gap{StartsS: starts,
				Job: w.Rec.Job.ID, Tasks: int32(w.idle), WaitedS: (now - w.queuedAt).Seconds(),
				Part: int32(p.K), Short: int32(p.short(w, now))})
		}
	}
	out := &mesh.PartStatus{Part: int32(p.K), Load: s.Load}
	for _, c := range s.Count {
		out.Count = append(out.Count, int32(c))
	}
	for _, m := range p.machines() {
		if m.retiring != "" {
			out.Retiring = append(out.Retiring, m.ID)
		}
	}
	rooms := p.rooms(now)
	sort.SliceStable(rooms, func(a, b int) bool { return rooms[a].cores > rooms[b].cores })
	for _, r := range rooms {
		if r.cores <= eps || len(out.Free) >= freeTold {
			break
		}
		if r.m.reserved != nil || r.m.sick {
			continue // for the head; the others are free for what does not delay it
		}
		out.Free = append(out.Free, &mesh.Room{Type: r.m.Type, Zone: r.m.Zone, Spot: r.m.Spot, Cores: r.cores, Gpus: r.gpus, MemoryGb: r.mem,
			Machine: r.m.ID, Empty: len(r.m.Runs) == 0, Own: r.m.rec.Own, Whole: r.cores+r.softC >= r.t.Cores-eps})
	}
	slog.Debug("part: status", "part", p.K, "machines", len(p.Machines), "jobs", len(p.Works), "queued", queued, "free", out.Free, "head", p.head != nil)
	return out, gaps
}

// short counts the tasks of a gang for which the part's machines, were they
// empty, have no room: the leader has machines lent to the part.
func (p *Part) short(w *Work, now time.Duration) int {
	if !w.gang() {
		return 0
	}
	j := &w.Rec.Job
	zone := map[string]int{}
	for _, m := range p.machines() {
		t := p.h.TypeOf(m.Type)
		if !p.allowed(m, j) || m.retiring != "" || now-m.LastHeard > 3*p.report() || m.lent > now {
			continue
		}
		zone[m.Zone] += t.Fits(j, j.Tasks)
	}
	return max(0, j.Tasks-Holds(j, zone))
}

// Holds gives how many of a job's tasks may be together in the room that zones
// have: in the best of them for a job in one zone, at most half of the tasks (the
// larger half) in each for one apart. (Without the latter a gang apart went to and
// fro between parts of one zone each for ever, as each seemed to have room.)
func Holds(j *wire.Job, room map[string]int) int {
	sum, most := 0, 0
	for _, k := range room {
		most = max(most, k)
		if j.Spread {
			k = min(k, Half(j))
		}
		sum += k
	}
	if j.OneZone {
		return most
	}
	return sum
}

// Half is the most tasks that a job apart may have in one zone.
func Half(j *wire.Job) int { return (j.Tasks + 1) / 2 }

// Lend hands a machine over as soon as nothing is, or may be, on it.
func (p *Part) Lend(id string, to int) {
	now := p.h.Now()
	m := p.Machines[id]
	if m == nil || to == p.K || m.retiring != "" {
		return
	}
	m.lent = now + p.report() // nothing new; the leader asks again
	if len(m.Runs) > 0 || !m.Resolved || m.Doubtful() || m.lending {
		return
	}
	m.lending = true
	p.h.Reassign(id, to, p.guard,
		func() bool { return p.Machines[id] == m && len(m.Runs) == 0 && !m.Doubtful() },
		func(ok bool) {
			m.lending = false
			if ok {
				slog.Info("part: machine lent", "machine", id, "from", p.K, "to", to)
			}
		})
}

// Move hands a queued chunk to a part that has free room for it now, beside
// what its head is reserved; others are the parts' latest statuses. At most one
// move is under way.
func (p *Part) Move(others []*mesh.PartStatus) {
	now := p.h.Now()
	if !p.h.MayLaunch() {
		return
	}
	for _, w := range p.queue(now) {
		j := &w.Rec.Job
		if t := p.h.Settings().Team(j.Team); t != nil && t.Limited() {
			continue
		}
		if w.mistaken || now-w.queuedAt < p.report()/8 || w.borrowed() && now-w.queuedAt < 2*p.report() {
			continue // what is borrowed needs its home's word anew in another part
		}
		for c, k := range w.Rec.Parts {
			if k != p.K {
				continue
			}
			n, on := w.chunk(c)
			if on || n == 0 {
				continue
			}
			for _, o := range others {
				if int(o.Part) != p.K && p.roomFor(w, n, o, now) {
					p.move(w, c, int(o.Part))
					return
				}
			}
		}
	}
}

// roomFor counts the tasks that fit into another part's free room, and takes
// them from the copy of its status, so that the next move sees the rest.
func (p *Part) roomFor(w *Work, n int, o *mesh.PartStatus, now time.Duration) bool {
	j, zone := &w.Rec.Job, map[string]int{}
	for _, f := range o.Free {
		// Twice as long as it waits for kept machines here: it would else be sent
		// to and fro, each part having had no time to start it.
		t := p.h.TypeOf(f.Type)
		zone[f.Zone] += min(n, RoomFor(p.h, j, f, t == nil || !p.stalled(w, t, 2, now)))
	}
	fit := Holds(j, zone)
	want := n
	if !w.gang() {
		want = (n + 1) / 2
	}
	if fit < want {
		return false
	}
	left := n
	for _, f := range o.Free {
		k := min(RoomFor(p.h, j, f, false), left)
		f.Cores -= float64(k) * j.Cores
		f.Gpus -= float64(k) * j.GPUs
		f.MemoryGb -= float64(k) * j.Memory
		left -= k
	}
	return true
}

func (p *Part) move(w *Work, c, to int) {
	id := w.Rec.Job.ID
	w.moving = true
	l := p.h.Ledger()
	l.Write(ledger.Soon, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			if p.Works[id] != w || c >= len(w.Rec.Parts) || w.Rec.Parts[c] != p.K {
				return nil, nil
			}
			if _, on := w.chunk(c); on {
				return nil, nil
			}
			rec := *w.Rec
			rec.W = nonce
			rec.Parts = append([]int(nil), rec.Parts...)
			rec.Parts[c] = to
			return []wire.Cond{p.guard(), {Key: JobKey(id), Stamp: w.Stamp}}, []wire.Op{{Put: JobKey(id), Value: wire.Encode(&rec)}}
		},
		Done: func(ok bool, _ uint64) {
			w.moving = false
			p.dirty = true
			if ok {
				slog.Info("part: chunk moved to free room", "job", id, "chunk", c, "from", p.K, "to", to)
				p.leave(w)
			}
		},
	})
}

// Waiting says for each queued job why it waits.
func (p *Part) Waiting() map[string]string {
	out := map[string]string{}
	for id, w := range p.Works {
		if w.idle > 0 {
			out[id] = w.why
		}
	}
	return out
}
