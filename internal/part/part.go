// Package part runs one part: its queue, its machines, and what is launched
// and halted there (DESIGN; paper, section 4, "Local-Scheduler").
package part

import (
	"log/slog"
	"sort"
	"time"

	"curlewspool/internal/blame"
	"curlewspool/internal/ledger"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/worker"
	"curlewspool/internal/world"
)

// Host is what a part needs of its controller.
type Host interface {
	Now() time.Duration
	Wall() float64
	Ledger() *ledger.Ledger
	Settings() *settings.Settings
	TypeOf(name string) *wire.MachineType
	Order(p *Part, m *Machine)
	// MayLaunch: the grant holds and the cache is recent.
	MayLaunch() bool
	// Wanted: work that waits anywhere could run on the machine; spot: also
	// work that a spot machine would do.
	Wanted(m *Machine, spot bool) bool
	// Large lists the shapes of single tasks and gangs seen lately, in any part.
	Large() map[string]Large
	// Spare: enough other whole machines of its type are there to be kept for
	// the job instead.
	Spare(m *Machine, j *wire.Job) bool
	// Spared: spot jobs are in time without ordinary machines that were rented.
	Spared() bool
	// Coming is this part's share of the cores that boot, and in how many seconds
	// they should be up.
	Coming() (cores, in float64)
	// Deadlines of a job, in seconds after its submission, in rising order.
	Deadlines(j *wire.Job) []float64
	// Inherit gives a job's record with what it takes over from jobs that wait for it; the
	// record itself if that is nothing.
	Inherit(rec *JobRecord) *JobRecord
	// TeamDemand is the cores and GPUs of a team's unfinished jobs.
	TeamDemand(team string) (cores, gpus float64)
	// Reassign gives a machine to another part while the guard holds and ok
	// says so, asked when the write is built.
	Reassign(id string, to int, guard func() wire.Cond, ok func() bool, done func(bool))
}

// Machine is a machine of the part.
type Machine struct {
	*worker.Machine
	rec      MachineRecord
	Here     time.Duration // since when it is in this part, under this owner
	room     room          // what is free, as of version
	version  uint64        // of the runs that room was worked out for
	reserved *room         // for the head, by the last pass
	retiring string
	idleAt   time.Duration // when it last became empty
	lent     time.Duration // being emptied for another part until then
	lending  bool
	draining bool
	fullTo   time.Duration // refused a start: nothing more before
	sick     bool          // likely: one task at a time is tried
	failedAt time.Duration // when a task failed here last
	tryAt    time.Duration // the next try, if it is sick
	images   map[string]bool
}

// Part is owned by this controller while the ledger says so.
type Part struct {
	K        int
	Token    uint64
	Machines map[string]*Machine
	Works    map[string]*Work

	h        Host
	guard    func() wire.Cond
	closed   bool
	bound    time.Duration // latest moment at which an earlier owner could answer
	tries    uint64
	dirty    bool
	softFree float64    // cores free on spot machines; negative: to be counted
	order    []*Machine // by name; nil: to be listed anew
	queued   []*Work    // all works by name; nil: to be listed anew
	borrowed int        // works that are borrowed
	unseen   int        // works that are
	since    time.Duration

	blame    *blame.Book
	head     *Work // it waits and is reserved for
	lastPass time.Duration
	corr     map[string]float64 // by class: seen run time over estimate
}

// Large is a shape of job whose tasks may fill most of a machine.
type Large struct {
	Job  wire.Job
	Seen time.Duration
}

// New takes a part over. bound is the latest moment at which an earlier owner
// may have renewed a worker's lease.
func New(k int, token uint64, h Host, guard func() wire.Cond, bound time.Duration) *Part {
	p := &Part{K: k, Token: token, Machines: map[string]*Machine{}, Works: map[string]*Work{}, h: h,
		bound: bound, since: h.Now(), dirty: true, corr: map[string]float64{},
		blame: blame.New(blame.Prior{Mistaken: h.Settings().Blame.Mistaken, Sick: h.Settings().Blame.Sick, Accident: h.Settings().Blame.Accident})}
	p.guard = func() wire.Cond {
		if p.closed {
			return wire.Cond{Key: guard().Key, Stamp: never}
		}
		return guard()
	}
	return p
}

// never is a stamp that no key has.
const never = 1<<63 - 1

// Close ends this tenure. What it still has waiting to be written must never
// be: if the same controller takes the part again, the new tenure's guard
// would let a record through that knows nothing of what ran meanwhile. (Seen
// on a simulated day: a machine's record lost a job that was on it, and the
// next owner started its tasks elsewhere.)
func (p *Part) Close() {
	p.closed = true
	p.Works, p.Machines = map[string]*Work{}, map[string]*Machine{}
	p.order, p.queued, p.head, p.borrowed, p.unseen = nil, nil, nil, 0, 0
}

// Renew gives the part a higher token, after a worker showed one.
func (p *Part) Renew(token uint64) {
	p.Token = token
	for _, m := range p.Machines {
		m.Token = max(m.Token, token)
		if !m.Resolved { // only what is made under the new token proves anything
			m.Base = token
		}
	}
}

// OnJob takes a live job's record (nil: the job is over).
func (p *Part) OnJob(id string, rec *JobRecord, stamp uint64) {
	p.dirty = true
	w := p.Works[id]
	if rec == nil {
		if w != nil {
			p.drop(w)
		}
		return
	}
	here := false
	for _, k := range rec.Parts {
		here = here || k == p.K
	}
	if w == nil {
		if !here {
			return
		}
		w = newWork(rec, stamp, p.h.Now())
		w.fresh = stamp > p.guard().Stamp
		if w.unseen = w.anywhere(); w.unseen {
			p.unseen++
		}
		p.Works[id], p.queued = w, nil
		if w.borrowed() {
			p.borrowed++
		}
		p.lastPass = 0 // the next tick sees it
		for _, m := range p.Machines {
			if m.room.unknown { // perhaps of this job
				m.version = 0
			}
		}
		slog.Debug("part: queued", "part", p.K, "job", id, "tasks", rec.Job.Tasks, "rank", rec.Rank)
	}
	w.record, w.Rec, w.Stamp = rec, p.h.Inherit(rec), stamp
	w.absorb(&Progress{Done: rec.Done}, p.K)
	w.recount(p.K)
	p.catchUp(w)
}

// Inherit takes over anew what a job has from those that wait for it.
func (p *Part) Inherit(id string) {
	if w := p.Works[id]; w != nil {
		w.Rec = p.h.Inherit(w.record)
		p.dirty = true
	}
}

// catchUp lets a single task start that may be anywhere, once all is known that was
// stored before its record. The answer to our own write of it comes earlier, and the
// part may have been taken from us before: the taker holds such a record, newer than
// its key, for one that no owner before can launch.
func (p *Part) catchUp(w *Work) {
	if w.unseen && p.h.Ledger().Passed(w.Stamp) {
		w.unseen, w.stored.all = false, true
		p.unseen--
		p.unhold(w)
	}
}

// CaughtUp is told that the cache has passed another revision.
func (p *Part) CaughtUp() {
	if p.unseen == 0 {
		return
	}
	for _, w := range p.works() {
		p.catchUp(w)
	}
}

// OnProgress takes the recorded progress of a job in part k.
func (p *Part) OnProgress(id string, k int, pr *Progress) {
	if w := p.Works[id]; w != nil && pr != nil {
		w.absorb(pr, p.K)
		p.hearAgainst(w, k, pr.Against)
		if k == p.K && !w.writing { // else the write's end says what is stored
			w.stored = reach{pr.All, map[string]bool{}}
			for _, m := range pr.On {
				w.stored.on[m] = true
			}
		}
		p.dirty = true
		p.maybeFinish(w)
	}
}

// OnMachine takes a machine's record; nil: the cloud has taken it away for
// certain, with all that was on it.
func (p *Part) OnMachine(id string, rec *MachineRecord) {
	p.dirty = true
	m := p.Machines[id]
	if rec == nil || rec.Part != p.K {
		if m != nil {
			delete(p.Machines, id)
			p.order = nil
			p.blame.Gone(id)
			for run := range m.All() {
				m.Drop(run)
				if !run.Over() {
					p.gone(m, run)
				}
			}
		}
		return
	}
	if m == nil {
		m = &Machine{Machine: worker.New(id, p.Token, max(p.bound, p.h.Now())),
			images: map[string]bool{}, idleAt: p.h.Now(), Here: p.h.Now()}
		m.Address, m.Type, m.Zone, m.Spot = rec.Address, rec.Type, rec.Zone, rec.Spot
		p.Machines[id], p.order = m, nil
	}
	m.rec = *rec
}

// drop removes a job that is over: whatever is there of it must go.
func (p *Part) drop(w *Work) {
	rec := *w.Rec // the cache may still have it: see node.calledOff
	rec.Parts = nil
	w.Rec = &rec
	for _, m := range p.machines() {
		for run := range m.All() {
			if run.Job != w.Rec.Job.ID {
				continue
			}
			run.Foreign = true
			m.Touch()
			if run.Over() {
				run.Reap = true
			} else {
				m.Stop(run, 0)
			}
		}
		p.press(m)
	}
	w.runs = map[worker.Task]*placement{}
	p.forget(w)
}

func (p *Part) forget(w *Work) {
	if p.Works[w.Rec.Job.ID] == w {
		if w.borrowed() {
			p.borrowed--
		}
		if w.unseen {
			p.unseen--
		}
	}
	delete(p.Works, w.Rec.Job.ID)
	p.blame.Over(w.Rec.Job.ID)
	p.queued = nil
	if p.head == w {
		p.head = nil
	}
}

func (p *Part) press(m *Machine) {
	if m.Pressing(p.h.MayLaunch(), p.h.Now()) {
		p.h.Order(p, m)
	}
}

// Bound is up to when an owner before may answer the part's machines.
func (p *Part) Bound() time.Duration { return p.bound }

// Since is when the part was taken over.
func (p *Part) Since() time.Duration { return p.since }

// machines lists them by name. The list is not changed in place.
func (p *Part) machines() []*Machine {
	if p.order == nil {
		p.order = make([]*Machine, 0, len(p.Machines))
		for _, m := range p.Machines {
			p.order = append(p.order, m)
		}
		sort.Slice(p.order, func(i, j int) bool { return p.order[i].ID < p.order[j].ID })
	}
	return p.order
}

func (p *Part) lease() time.Duration {
	return world.Seconds(p.h.Settings().Deployment.Workers.Lease)
}

func (p *Part) report() time.Duration {
	return world.Seconds(p.h.Settings().Deployment.Workers.Report)
}

// Settle starts what the latest events of a machine made possible there, so
// that the answer to its report brings the orders. A pass over all machines
// for each report would cost more than the report: it follows at a tick.
func (p *Part) Settle(m *Machine) {
	if p.dirty {
		p.fill(m)
	}
}

// passEvery spaces passes over all machines.
func (p *Part) passEvery() time.Duration { return p.report() / 8 }

// Tick does what time brings: progress writes, leases that end, machines to
// return. It is called a few times a second.
func (p *Part) Tick() {
	now := p.h.Now()
	active := 0
	for _, w := range p.works() {
		if w.dirty {
			active++
		}
	}
	every := p.saveEvery(active)
	p.judge(now)
	for _, w := range p.works() {
		if p.half(w) {
			slog.Info("part: half a gang is started anew", "part", p.K, "job", w.Rec.Job.ID, "there", w.nplaced)
			w.broken, p.dirty = true, true
			p.clearGang(w)
		}
		p.maybeFinish(w)
		p.writeProgress(w, now, every)
		if w.borrowed() {
			p.mindLoan(w, now)
		}
	}
	p.softFree = -1
	for _, m := range p.machines() {
		p.watch(m, now)
		p.press(m)
	}
	if now-p.lastPass >= p.passEvery() && (p.dirty || now-p.lastPass > p.report()/2) {
		p.Pass()
	}
}

// works lists them by name. The list is not changed in place.
func (p *Part) works() []*Work {
	if p.queued == nil {
		p.queued = make([]*Work, 0, len(p.Works))
		for _, w := range p.Works {
			p.queued = append(p.queued, w)
		}
		sort.Slice(p.queued, func(i, j int) bool { return p.queued[i].Rec.Job.ID < p.queued[j].Rec.Job.ID })
	}
	return p.queued
}
