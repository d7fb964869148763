// Package part runs one part: its queue, its machines, and what is launched
// and halted there (DESIGN; paper, section 4, "Local-Scheduler").
package part

import (
	"fmt"
	"log/slog"
	"math"
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
	room     room   // what is free, as of version
	version  uint64 // of the runs that room was worked out for
	reserved *room  // for the head, by the last pass
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
	p.order, p.queued, p.head, p.borrowed = nil, nil, nil, 0
}

// ProgressKey is where this part's progress of a job is kept.
func ProgressKey(id string, part int) string { return fmt.Sprintf("a/p/%s/%d", id, part) }

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

// --- what the ledger says ---

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
	w.Rec, w.Stamp = rec, stamp
	w.absorb(&Progress{Done: rec.Done}, p.K)
	w.recount(p.K)
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
			images: map[string]bool{}, idleAt: p.h.Now()}
		m.Address, m.Type, m.Zone, m.Spot = rec.Address, rec.Type, rec.Zone, rec.Spot
		p.Machines[id], p.order = m, nil
	}
	m.rec = *rec
}

// drop removes a job that is over: whatever is there of it must go.
func (p *Part) drop(w *Work) {
	w.Rec.Parts = nil
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
	if p.Works[w.Rec.Job.ID] == w && w.borrowed() {
		p.borrowed--
	}
	delete(p.Works, w.Rec.Job.ID)
	p.blame.Over(w.Rec.Job.ID)
	p.queued = nil
	if p.head == w {
		p.head = nil
	}
}

func (p *Part) press(m *Machine) {
	if m.Pressing(p.h.Now()) {
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

// --- what workers say ---

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
	return true
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

func (p *Part) report() time.Duration {
	return world.Seconds(p.h.Settings().Deployment.Workers.Report)
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

// --- what is written ---

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

// saveEvery spaces the writes of a job's progress, so that all of this part's
// together use at most a quarter of a member's share of the state's writes.
func (p *Part) saveEvery(active int) time.Duration {
	s := p.h.Settings()
	share := s.Deployment.State.WriteRPS / 4 / float64(max(1, len(s.Names())))
	return max(p.report(), world.Seconds(float64(active)/share))
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

func (p *Part) writeProgress(w *Work, now, every time.Duration) {
	if w.held {
		p.store(w, ledger.Soon)
	}
	if !w.dirty || w.ending {
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

// retire takes a machine out of use for good; the leader has it deleted.
func (p *Part) retire(m *Machine, why string) {
	if m.retiring != "" {
		return
	}
	slog.Info("part: machine is returned", "part", p.K, "machine", m.ID, "type", m.Type, "spot", m.Spot, "why", why)
	m.retiring = why
}

// watch judges one machine.
func (p *Part) watch(m *Machine, now time.Duration) {
	s := p.h.Settings()
	lease := world.Seconds(s.Deployment.Workers.Lease)
	if m.LeaseOver(now, lease, settings.Drift) && now-m.LastHeard > lease && (!m.Resolved || len(m.Runs) > 0) {
		slog.Info("part: lease is over", "part", p.K, "machine", m.ID, "runs", len(m.Runs))
		p.handle(m, m.Expire())
		p.dirty = true
	}
	if m.retiring != "" {
		return
	}
	if m.Noticed {
		p.drain(m, now)
		if now > m.Notice+p.report() && now-m.LastHeard > 2*p.report() {
			p.retire(m, "taken")
			return
		}
	}
	if now-m.LastHeard > lease/2 && p.alone(m, now) || now-m.LastHeard > 3*lease {
		p.retire(m, "silent")
		return
	}
	switch {
	case !m.Resolved || len(m.Runs) > 0 && !m.draining && !p.movable(m, now):
		m.idleAt = now
	case !m.draining && !p.idleTooLong(m, now):
	case len(m.Runs) == 0:
		p.retire(m, "idle")
	default:
		m.draining = true
		for run := range m.All() {
			if w := p.Works[run.Job]; w != nil && !run.Over() && !run.Halt && !run.Foreign {
				p.stopRun(w, &placement{m, run}, "its machine is returned")
			}
		}
	}
}

// movable: an ordinary machine that only holds tasks which lose nothing when
// they are stopped, and which free spot machines of the part would take, is
// as good as idle.
func (p *Part) movable(m *Machine, now time.Duration) bool {
	if m.Spot || m.rec.Own {
		return false
	}
	need := 0.0
	for _, run := range m.Runs {
		w := p.Works[run.Job]
		if run.Over() {
			continue
		}
		if w == nil || w.gang() || w.Rec.Job.Mark <= 0 || !w.Rec.Job.Spot || run.Began == 0 {
			return false
		}
		need += w.Rec.Job.Cores
	}
	if p.softFree < 0 { // once a tick
		p.softFree = 0
		for _, r := range p.rooms(now) {
			if r.m.Spot {
				p.softFree += r.cores
			}
		}
	}
	return p.softFree >= need
}

// alone tells whether a silent machine is silent by itself: if many are, in
// the part or in the machine's zone, the network or this controller is at
// fault, and deleting them would only destroy work. (With zones apart, the 70
// machines of a part's smaller zone were once deleted.)
func (p *Part) alone(m *Machine, now time.Duration) bool {
	// few counts in a zone, or in all of them.
	few := func(zone string) (ok bool, all int) {
		silent := 0
		for _, o := range p.Machines {
			if o.retiring != "" || zone != "" && o.Zone != zone {
				continue
			}
			all++
			if now-o.LastHeard > 2*p.report() {
				silent++
			}
		}
		return silent*3 <= all || silent == 1, all
	}
	inPart, all := few("")
	inZone, _ := few(m.Zone)
	return all > 1 && inPart && inZone
}

// drain stops what can save its progress before a spot machine is taken, and
// cannot end before.
func (p *Part) drain(m *Machine, now time.Duration) {
	for run := range m.All() {
		w := p.Works[run.Job]
		if w == nil || run.Over() || run.Halt || run.Foreign {
			continue
		}
		j := &w.Rec.Job
		ends := run.Began + p.estimate(j)
		if run.Began > 0 && ends < m.Notice {
			continue
		}
		if j.Mark <= 0 && run.Began > 0 && !w.service() {
			continue // nothing to save, it may yet end in time
		}
		p.stopRun(w, &placement{m, run}, "spot notice")
	}
}

// stopRun stops a task in an orderly way; a gang as a whole.
func (p *Part) stopRun(w *Work, pl *placement, why string) {
	list := []*placement{pl}
	if w.gang() {
		if w.halting {
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

// forLarge is for how many times the time that idle machines are kept, after the
// last large job was seen, they are kept for the next.
const forLarge = 10

// idleKept is how long an idle machine is kept: for as long as a new one takes to
// boot costs what the boot of a new one would, and waiting longer than that on
// luck costs more.
func idleKept(h Host, own bool, t *wire.MachineType) time.Duration {
	if own {
		return world.Seconds(t.Boot * h.Settings().Rent.OwnIdleBoots)
	}
	return world.Seconds(t.Boot * h.Settings().Rent.IdleBoots)
}

func (p *Part) idleTooLong(m *Machine, now time.Duration) bool {
	t := p.h.TypeOf(m.Type)
	if t == nil {
		return false
	}
	keep := idleKept(p.h, m.rec.Own, t)
	large := false
	for _, s := range p.h.Large() {
		// Few machines take such jobs: one that does is kept as long as the
		// next may be expected.
		if 2*s.Job.Cores > t.Cores && now-s.Seen < forLarge*keep && p.allowed(m, &s.Job) {
			large = true
			if now-m.idleAt >= keep && !p.h.Spare(m, &s.Job) {
				keep *= 6
				break
			}
		}
	}
	if !large && !m.Spot && !m.rec.Own && p.h.Spared() {
		keep /= 3 // it was rented for a rush that is over
	}
	if now-m.idleAt < keep {
		return false
	}
	return !p.h.Wanted(m, m.Spot || m.rec.Own || !p.h.Spared())
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
