package federation

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"curlewspool/internal/ledger"
	"curlewspool/internal/loan"
	"curlewspool/internal/part"
	"curlewspool/internal/settings"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// Host is what the desk needs of its controller.
type Host interface {
	Now() time.Duration
	Wall() float64
	Chance() *rand.Rand
	Settings() *settings.Settings
	Ledger() *ledger.Ledger
	// Leads: leadership is held and the grant is valid; LeadGuard is the
	// condition under which it was.
	Leads() bool
	LeadGuard() wire.Cond
	Job(id string) *part.JobRecord
	// Progress is what the ledger says of a job's tasks.
	Progress(id string) (done [][2]int, running int)
	// Waiting lists the chunks that wait for room.
	Waiting() []*Waiting
	// Room gives a count, for each part, of the tasks of a borrowed job that
	// would start now, in room that nothing of this cluster waits for.
	Room() func(j *wire.Job) []int
	// Cores of all machines.
	Cores() float64
	// Place chooses a part for a job that comes in, or comes back.
	Place(j *wire.Job, rank int) int
	// LendOut asks the owner of a chunk to lend it.
	LendOut(o *part.Order)
	// Loans lists the borrowed jobs of the parts that are owned here.
	Loans(f func(p *part.Part, rec *part.JobRecord, permit *loan.Permit))
	// News hurries the caches of the other controllers.
	News(id string)
}

// Line reaches a partner's controller; the callee knows the caller by its
// certificate. Status 0: no answer.
type Line interface {
	Ask(partner, addr, path string, in, out any, timeout time.Duration, done func(status int))
}

// Desk belongs to the owner's loop.
type Desk struct {
	h    Host
	line Line
	f    *settings.Federation

	away     map[string]bool // jobs with chunks that are lent
	borrowed map[string]bool

	tenure   uint64 // of this leadership
	renewals *loan.Renewals
	out      map[loan.Key]*out
	tried    map[chunk]time.Duration  // chunks that were offered; not again before
	orders   map[uint64]time.Duration // offers for which a chunk was ordered to be lent
	near     map[string]*neighbour
	order    []string

	offers  map[uint64]*offer
	offerNo uint64
	flags   map[string]bool // writes under way
	over    *part.Finals

	Count Counters
	log   Log
}

// chunk is one of a job's.
type chunk struct {
	job string
	c   int
}

// neighbour is a partner as this controller sees it.
type neighbour struct {
	p        *settings.Partner
	at       int // of its addresses
	offering bool
	asking   bool
	renewing bool
	offersAt time.Duration
	statesAt time.Duration
	renewAt  time.Duration
	misses   int // offers that had nothing, in a row
	ended    map[string]bool
}

// out is one loan of ours.
type out struct {
	key      loan.Key
	a        part.Away
	tasks    int
	since    time.Duration
	accepted bool
	refused  string
	handing  bool
	handAt   time.Duration
	back     bool // the write that takes it back is under way
	over     bool // by the host's durable word
	state    string
	running  int
	done     [][2]int // by the loan's numbers, as the host's ledger says
	stored   int      // of them, known to our ledger
	saving   bool
	savedAt  time.Duration
}

type offer struct {
	home  string
	tasks int
	cores float64
	until time.Duration
	part  int
	taken bool
}

// Counters are for operators; they start at 0 with the process. The tag is the
// word that metrics have for it.
type Counters struct {
	Lent           int `metric:"lent"` // from here on as home
	Accepted       int `metric:"accepted"`
	Refused        int `metric:"refused"`
	Back           int `metric:"back"`
	Lapsed         int `metric:"lapsed"`
	Recalled       int `metric:"recalled"`
	Offered        int `metric:"offered"` // from here on as host
	Declined       int `metric:"declined"`
	Borrowed       int `metric:"borrowed"`
	RefusedHere    int `metric:"refused_here"`
	Renewed        int `metric:"renewed"`
	RenewalsMissed int `metric:"renewals_missed"`
}

// remembered ends of borrowed jobs.
const remembered = 4096

// New makes a desk; nil settings: none is needed.
func New(h Host, line Line, f *settings.Federation) *Desk {
	d := &Desk{h: h, line: line, f: f, away: map[string]bool{}, borrowed: map[string]bool{}, renewals: loan.NewRenewals(h.Now()),
		out: map[loan.Key]*out{}, tried: map[chunk]time.Duration{}, orders: map[uint64]time.Duration{}, near: map[string]*neighbour{}, offers: map[uint64]*offer{},
		flags: map[string]bool{}, over: part.NewFinals(remembered)}
	for i := range f.Partners {
		p := &f.Partners[i]
		d.order = append(d.order, p.Name)
		d.near[p.Name] = &neighbour{p: p, at: h.Chance().IntN(len(p.Addresses)), ended: map[string]bool{}}
	}
	return d
}

// Reserved tells whether an id belongs to a borrowed job; such ids are not for users.
func Reserved(id string) bool { return strings.HasPrefix(id, loan.Prefix) }

// Changed takes a live job's record; nil: it is over.
func (d *Desk) Changed(id string, rec *part.JobRecord) {
	if rec != nil && rec.Loan != nil {
		d.borrowed[id] = true
		return
	}
	if d.borrowed[id] {
		delete(d.borrowed, id)
		delete(d.flags, id)
	}
	if rec != nil && len(rec.Away) > 0 {
		d.away[id] = true
		return
	}
	delete(d.away, id)
}

// Reset forgets what the ledger said.
func (d *Desk) Reset() { d.away, d.borrowed = map[string]bool{}, map[string]bool{} }

// Lead starts a leadership under the given token. An earlier leader answered
// renewals only on proof that it led, so it did so before now.
func (d *Desk) Lead(token uint64) {
	d.tenure = token
	d.renewals = loan.NewRenewals(d.h.Now())
	d.out, d.offers, d.orders = map[loan.Key]*out{}, map[uint64]*offer{}, map[uint64]time.Duration{}
}

func (d *Desk) report() time.Duration {
	return world.Seconds(d.h.Settings().Deployment.Workers.Report)
}

// jitter spreads a pause by a quarter either way.
func (d *Desk) jitter(t time.Duration) time.Duration {
	return t*3/4 + time.Duration(d.h.Chance().Int64N(int64(t)/2+1))
}

// Tick is called at each heartbeat.
func (d *Desk) Tick() {
	now := d.h.Now()
	if d.h.Leads() {
		d.mind(now)
		for _, name := range d.order {
			nb := d.near[name]
			d.askStates(nb, now)
			d.askOffers(nb, now)
		}
	}
	for _, name := range d.order {
		d.askRenewals(d.near[name], now)
	}
}

// ask sends one request to a controller of a partner; after one that does not
// answer, or is not the leader, the next is asked.
func (d *Desk) ask(nb *neighbour, path string, in, out any, done func(status int)) {
	addr := nb.p.Addresses[nb.at%len(nb.p.Addresses)]
	d.line.Ask(nb.p.Name, addr, path, in, out, min(2*time.Second, d.report()), func(status int) {
		if status == 0 || status == 421 || status == 503 {
			nb.at++
		}
		done(status)
	})
}

// --- home ---

func loanKey(job string, a *part.Away) loan.Key { return loan.Key{Job: job, First: a.First, No: a.No} }

// mind looks after every loan of ours.
func (d *Desk) mind(now time.Duration) {
	live := map[loan.Key]bool{}
	for _, id := range slices.Sorted(maps.Keys(d.away)) {
		rec := d.h.Job(id)
		if rec == nil {
			continue
		}
		for _, a := range rec.Away {
			k := loanKey(id, &a)
			live[k] = true
			o := d.out[k]
			if o == nil {
				from, to := rec.Span(a.Chunk)
				o = &out{key: k, a: a, tasks: to - from, since: now}
				o.stored = count(within(rec.Done, from, to-from))
				d.out[k] = o
				if a.By == d.tenure {
					d.renewals.Drawn(k)
					d.Count.Lent++
					d.note(k.ID(d.f.Cluster), "lent", a.Why)
				} else {
					o.accepted = true // perhaps; its state tells
				}
			}
			d.step(o, rec, now)
		}
	}
	for k, o := range d.out {
		if !live[k] {
			delete(d.out, k)
			if nb := d.near[o.a.To]; nb != nil && !o.back && len(nb.ended) < mostLoans {
				nb.ended[k.ID(d.f.Cluster)] = true // cancelled: the host is told before the term ends
			}
		}
	}
	d.renewals.Keep(func(k loan.Key) bool { return live[k] })
	for of, t := range d.orders {
		if now > t {
			delete(d.orders, of)
		}
	}
	for k, t := range d.tried {
		if now > t {
			delete(d.tried, k)
		}
	}
}

func (o *out) rules() loan.Rules {
	return loan.Rules{Term: time.Duration(o.a.TermMs) * time.Millisecond, Lease: time.Duration(o.a.LeaseMs) * time.Millisecond, Drift: settings.Drift}
}

func (d *Desk) step(o *out, rec *part.JobRecord, now time.Duration) {
	if o.back {
		return
	}
	rules := o.rules()
	last, held := d.renewals.Last(o.key)
	quiet := d.renewals.Over(o.key, rules, now)
	switch {
	case o.over:
		d.takeBack(o, "the partner gave it back", true)
	case o.refused != "" && quiet:
		d.takeBack(o, o.refused, false)
	case held && quiet:
		d.Count.Lapsed++
		slog.Info("federation: a loan's term ran out", "job", o.key.Job, "loan", o.key.No, "at", o.a.To, "silent", now-last)
		d.takeBack(o, "its term ran out", false)
	case !held && now-o.since > rules.Term:
		d.takeBack(o, "the partner did not take it in time", false)
	case !o.accepted && o.refused == "" && !o.handing && now >= o.handAt:
		d.hand(o, rec, now)
	case o.accepted && count(o.done) > o.stored && !o.saving && now-o.savedAt > d.saveEvery(len(d.out)):
		d.save(o, now)
	}
}

// saveEvery spaces the writes of what partners finished: together they use at
// most an eighth of a member's share of the state's changes.
func (d *Desk) saveEvery(loans int) time.Duration {
	s := d.h.Settings()
	share := s.Deployment.State.WriteRPS / 8 / float64(len(s.Names()))
	return max(d.report(), world.Seconds(float64(loans)/share))
}

// hand asks the partner to take a loan; it may be repeated.
func (d *Desk) hand(o *out, rec *part.JobRecord, now time.Duration) {
	nb := d.near[o.a.To]
	if nb == nil {
		o.refused = "it is no partner any more"
		return
	}
	id := o.key.ID(d.f.Cluster)
	j := rec.Job
	j.Tasks = o.tasks
	if j.Deadline > 0 {
		j.Deadline = max(1, j.Deadline-(d.h.Wall()-rec.At))
	}
	j.ID = id
	ask := &LoanAsk{ID: id, Job: j, Offer: o.a.Offer, Done: within(rec.Done, o.key.First, o.tasks), TermMs: o.a.TermMs}
	o.handing = true
	got := &State{}
	d.ask(nb, PathLoans, ask, got, func(status int) {
		o.handing = false
		o.handAt = d.h.Now() + d.jitter(d.report()/2)
		switch status {
		case 200:
			o.accepted = true
			d.Count.Accepted++
			d.note(id, "accepted", "")
			d.heard(o, got)
		case 400, 403, 409:
			o.refused = "the partner refused it"
			d.Count.Refused++
			d.note(id, "refused", "")
			nb.misses++
		}
	})
}

// heard takes what the partner says of a loan.
func (d *Desk) heard(o *out, s *State) {
	if o.state != s.State && s.State == StateRunning {
		d.note(o.key.ID(d.f.Cluster), "running", "")
	}
	o.state = s.State
	switch s.State {
	case StateQueued, StateRunning:
		o.accepted = true
		o.running = s.Running
		o.done = shift(s.Done, 0, o.tasks)
	case StateOver:
		o.running = 0
		o.over = true
		o.done = shift(s.Done, 0, o.tasks)
	case StateUnknown:
		o.accepted = false // if the offer still stands it is handed over again
	}
}

// rewrite changes a live job's record, as the leader. edit gets a copy, of which
// it may replace fields but not change what they hold; false: nothing is to be
// written.
func (d *Desk) rewrite(urgency int, id string, edit func(r *part.JobRecord) bool, done func(ok bool)) {
	l, key := d.h.Ledger(), part.JobKey(id)
	l.Write(urgency, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			rec := d.h.Job(id)
			if rec == nil || !d.h.Leads() {
				return nil, nil
			}
			r := *rec
			if r.W = nonce; !edit(&r) {
				return nil, nil
			}
			return []wire.Cond{d.h.LeadGuard(), l.Stamp(key)}, []wire.Op{{Put: key, Value: wire.Encode(&r)}}
		},
		Done: func(ok bool, _ uint64) { done(ok) },
	})
}

// doneOf is what is done of a job with what a partner did of a loan of it.
func (d *Desk) doneOf(r *part.JobRecord, o *out) [][2]int {
	return part.MergeRanges(d.mostRanges(), r.Done, shift(o.done, o.key.First, o.tasks))
}

// takeBack gives the chunk a part again. While it is under way no renewal of
// the loan is answered: one that was would outlive it.
func (d *Desk) takeBack(o *out, why string, word bool) {
	id := o.key.Job
	o.back = true
	d.rewrite(ledger.Soon, id, func(r *part.JobRecord) bool {
		i := slices.IndexFunc(r.Away, func(a part.Away) bool { return a.No == o.key.No })
		if i < 0 || d.out[o.key] != o || !word && !d.renewals.Over(o.key, o.rules(), d.h.Now()) {
			return false
		}
		j := r.Job
		j.Tasks = o.tasks
		r.Away = slices.Concat(r.Away[:i], r.Away[i+1:])
		r.Parts = slices.Clone(r.Parts)
		r.Parts[o.a.Chunk] = d.h.Place(&j, r.Rank)
		r.Done = d.doneOf(r, o)
		return true
	}, func(ok bool) {
		if !ok {
			o.back = false
			return
		}
		slog.Info("federation: a loan is back", "job", id, "loan", o.key.No, "from", o.a.To, "done", count(o.done), "of", o.tasks, "why", why)
		d.Count.Back++
		d.note(o.key.ID(d.f.Cluster), "back", why)
		if count(o.done) < o.tasks {
			// Not at once to the same one, which has no room for it.
			d.tried[chunk{id, o.a.Chunk}] = d.h.Now() + d.jitter(4*d.report())
		}
		d.h.News(id)
	})
}

// save notes in our ledger what the partner finished, so that a partner that
// is lost costs little.
func (d *Desk) save(o *out, now time.Duration) {
	o.saving, o.savedAt = true, now
	n := 0
	d.rewrite(ledger.Later, o.key.Job, func(r *part.JobRecord) bool {
		if d.out[o.key] != o || o.back {
			return false
		}
		n = count(o.done)
		r.Done = d.doneOf(r, o)
		return true
	}, func(ok bool) {
		o.saving = false
		if ok {
			o.stored = n
		}
	})
}

// mostRanges of done tasks keep a record within half a value.
func (d *Desk) mostRanges() int {
	return int(d.h.Settings().Deployment.State.ValueKB * 1024 / 2 / 12)
}

// askStates asks a partner how its loans are, and tells it what is over here.
func (d *Desk) askStates(nb *neighbour, now time.Duration) {
	if nb.asking || now < nb.statesAt || len(d.out)+len(nb.ended) == 0 {
		return
	}
	room := d.h.Room()
	var list []*out
	in := &StatesAsk{}
	for _, k := range sortedLoans(d.out) {
		o := d.out[k]
		if o.a.To != nb.p.Name || !o.accepted || o.back || o.over || len(list) >= mostLoans/2 {
			continue
		}
		list = append(list, o)
		id := k.ID(d.f.Cluster)
		in.Loans = append(in.Loans, id)
		if o.state == StateQueued && d.fitsHere(o, room) {
			in.Recall = append(in.Recall, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(nb.ended)) {
		if len(in.End) < mostLoans/2 {
			in.End = append(in.End, id)
		}
	}
	if len(list)+len(in.End) == 0 {
		return
	}
	nb.asking = true
	got := &StatesAnswer{}
	d.ask(nb, PathStates, in, got, func(status int) {
		nb.asking = false
		nb.statesAt = d.h.Now() + d.jitter(d.report()/2)
		if status != 200 || len(got.States) != len(list) {
			return
		}
		for _, id := range in.End {
			delete(nb.ended, id)
		}
		d.Count.Recalled += len(in.Recall)
		for i, o := range list {
			if d.out[o.key] == o && !o.back {
				d.heard(o, &got.States[i])
			}
		}
	})
}

func sortedLoans(m map[loan.Key]*out) []loan.Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b loan.Key) int {
		switch {
		case a.Job != b.Job && a.Job < b.Job, a.Job == b.Job && a.First < b.First, a.Job == b.Job && a.First == b.First && a.No < b.No:
			return -1
		case a == b:
			return 0
		}
		return 1
	})
}

// fitsHere: home has room now for a loan that has not started.
func (d *Desk) fitsHere(o *out, room func(*wire.Job) []int) bool {
	rec := d.h.Job(o.key.Job)
	if rec == nil {
		return false
	}
	j := rec.Job
	j.Tasks = o.tasks
	return slices.Max(room(&j)) >= o.tasks
}

// askOffers asks a partner for room for what waits too long here.
func (d *Desk) askOffers(nb *neighbour, now time.Duration) {
	if nb.offering || now < nb.offersAt || len(nb.p.Classes) == 0 {
		return
	}
	s := d.h.Settings()
	var list []*Waiting
	var why []string
	there := wait(s)
	waiting := d.h.Waiting()
	first(waiting, there, d.h.Wall())
	in := &OffersAsk{Keep: []uint64{}}
	jobs := map[string]bool{}
	for _, o := range d.out {
		if o.a.To == nb.p.Name && !o.accepted && o.a.Offer != 0 {
			in.Keep = append(in.Keep, o.a.Offer)
		}
	}
	in.Keep = append(in.Keep, slices.Sorted(maps.Keys(d.orders))...)
	for _, w := range waiting {
		if len(list) >= mostWants {
			break
		}
		// One chunk of a job at a time: its record takes one change at a time.
		if _, tried := d.tried[chunk{w.Rec.Job.ID, w.Chunk}]; tried || jobs[w.Rec.Job.ID] {
			continue
		}
		if y, ok := goes(w, nb.p, s.Team(w.Rec.Job.Team), there, d.h.Wall()); ok {
			list, why = append(list, w), append(why, y)
			jobs[w.Rec.Job.ID] = true
			j := w.Rec.Job
			j.Tasks = w.Tasks
			in.Wants = append(in.Wants, Want{Job: j, Tasks: w.Tasks})
		}
	}
	slog.Debug("federation: waiting", "chunks", len(waiting), "wants", len(list), "partner", nb.p.Name, "misses", nb.misses)
	if len(list) == 0 {
		return
	}
	nb.offering = true
	got := &OffersAnswer{}
	d.ask(nb, PathOffers, in, got, func(status int) {
		nb.offering = false
		some := false
		if status == 200 && len(got.Offers) == len(list) && d.h.Leads() {
			for i, o := range got.Offers {
				if o.ID == 0 {
					continue
				}
				some = true
				w := list[i]
				d.tried[chunk{w.Rec.Job.ID, w.Chunk}] = d.h.Now() + d.report()
				d.orders[o.ID] = d.h.Now() + d.report()
				d.h.LendOut(&part.Order{Job: w.Rec.Job.ID, Chunk: w.Chunk, Away: part.Away{To: nb.p.Name, By: d.tenure, Offer: o.ID, Why: why[i],
					TermMs: nb.p.Term.Milliseconds(), LeaseMs: nb.p.Lease.Milliseconds()}})
			}
		}
		// A partner without room is asked ever more rarely, so that many do
		// not fall upon one that gets free.
		if some {
			nb.misses = 0
		} else {
			nb.misses = min(nb.misses+1, 3)
		}
		nb.offersAt = d.h.Now() + d.jitter(d.report()<<nb.misses/2)
	})
}

// Renewals answers a partner's controller, as home's leader.
func (d *Desk) Renewals(from string, in *RenewalsAsk, reply Reply) {
	p := d.f.Partner(from)
	if len(in.Loans) > mostLoans {
		reply(400, &wire.Problem{Error: "too many loans"}, 0)
		return
	}
	if p.Lease > 0 && time.Duration(in.LeaseMs)*time.Millisecond > p.Lease {
		slog.Error("federation: a partner's lease is longer than our settings say: nothing of ours may run there", "partner", from,
			"theirs", time.Duration(in.LeaseMs)*time.Millisecond, "ours", p.Lease)
		reply(409, &wire.Problem{Error: "lease_s of this partner is longer than home's settings say"}, 0)
		return
	}
	// On proof: an abort, a return or another leader before the question must
	// be seen in the answer.
	d.h.Ledger().Prove(func(ok bool) {
		if !ok || !d.h.Leads() {
			reply(503, &wire.Problem{Error: "state service not reachable"}, 1)
			return
		}
		now := d.h.Now()
		out := &RenewalsAnswer{Hold: []string{}, End: []string{}}
		for _, id := range in.Loans {
			k, ok := keyOf(id, d.f.Cluster)
			if !ok {
				continue
			}
			switch held, back := d.standing(k, from); {
			case back:
			case held:
				d.renewals.Held(k, now)
				out.Hold = append(out.Hold, id)
			default:
				out.End = append(out.End, id)
			}
		}
		reply(200, out, 0)
	})
}

// standing: the record says that the loan is at the partner; back: it is being
// taken back, or the partner said itself that it is over.
func (d *Desk) standing(k loan.Key, partner string) (held, back bool) {
	rec := d.h.Job(k.Job)
	if rec == nil {
		return false, false
	}
	for _, a := range rec.Away {
		if a.No == k.No && a.First == k.First && a.To == partner {
			o := d.out[k]
			return true, o != nil && (o.back || o.over || o.refused != "")
		}
	}
	return false, false
}
