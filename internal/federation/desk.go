package federation

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/settings"
	"curlewspool/internal/shard"
)

// Host is what the desk needs of its controller.
type Host interface {
	Now() time.Duration
	WallSeconds() float64
	Rand() *rand.Rand
	Settings() *settings.Settings
	Store() *kvstore.Store
	// IsLeader: leadership is held and the grant is valid; LeadGuard is the
	// condition under which it was.
	IsLeader() bool
	LeaderCondition() protocol.Condition
	Job(id string) *shard.JobRecord
	// StoredProgress is what the ledger says of a job's tasks.
	StoredProgress(id string) (done [][2]int, running int)
	// WaitingChunks lists the chunks that wait for room.
	WaitingChunks() []*WaitingChunk
	// StartableCounter gives a count, for each part, of the tasks of a borrowed job that
	// would start now, in room that nothing of this cluster waits for.
	StartableCounter() func(j *protocol.Job) []int
	// TotalCores of all machines.
	TotalCores() float64
	// PlaceJob chooses a part for a job that comes in, or comes back.
	PlaceJob(j *protocol.Job, rank int) int
	// OrderLend asks the owner of a chunk to lend it.
	OrderLend(o *shard.LendOrder)
	// EachBorrowedJob lists the borrowed jobs of the parts that are owned here.
	EachBorrowedJob(f func(p *shard.Shard, rec *shard.JobRecord, permit *remotelease.Permit))
	// AnnounceChange hurries the caches of the other controllers.
	AnnounceChange(id string)
}

// PartnerClient reaches a partner's controller; the callee knows the caller by its
// certificate. Status 0: no answer.
type PartnerClient interface {
	CallPartner(partner, addr, path string, in, out any, timeout time.Duration, done func(status int))
}

// Broker belongs to the owner's loop.
type Broker struct {
	host     Host
	client   PartnerClient
	settings *settings.Federation

	lentJobs     map[string]bool // jobs with chunks that are lent
	borrowedJobs map[string]bool

	fencingToken uint64 // of this leadership
	renewals     *remotelease.Renewals
	lentLeases   map[remotelease.Key]*lentLease
	retryAfter   map[jobChunk]time.Duration // chunks that were offered; not again before
	lendOrders   map[uint64]time.Duration   // offers for which a chunk was ordered to be lent
	partners     map[string]*partner
	partnerNames []string

	offers    map[uint64]*heldOffer
	lastOffer uint64
	flagging  map[string]bool // writes under way
	finished  *shard.FinalCache

	Counters Counters
	events   eventLog
}

// jobChunk is one of a job's.
type jobChunk struct {
	job   string
	index int
}

// partner is a partner as this controller sees it.
type partner struct {
	settings             *settings.Partner
	addressIndex         int // of its addresses
	isRequestingOffers   bool
	isRequestingStates   bool
	isRequestingRenewals bool
	nextOffersAt         time.Duration
	nextStatesAt         time.Duration
	nextRenewalAt        time.Duration
	emptyOffers          int // offers that had nothing, in a row
	ended                map[string]bool
}

// lentLease is one loan of ours.
type lentLease struct {
	key            remotelease.Key
	away           shard.LentChunk
	tasks          int
	since          time.Duration
	accepted       bool
	refusal        string
	isHandingOver  bool
	nextHandOverAt time.Duration
	isReturning    bool // the write that takes it back is under way
	finishedAtHost bool // by the host's durable word
	state          string
	running        int
	done           [][2]int // by the loan's numbers, as the host's ledger says
	stored         int      // of them, known to our ledger
	isSaving       bool
	savedAt        time.Duration
}

type heldOffer struct {
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

// maxFinishedLeases ends of borrowed jobs.
const maxFinishedLeases = 4096

// New makes a desk; nil settings: none is needed.
func New(h Host, line PartnerClient, f *settings.Federation) *Broker {
	d := &Broker{host: h, client: line, settings: f, lentJobs: map[string]bool{}, borrowedJobs: map[string]bool{}, renewals: remotelease.NewRenewals(h.Now()),
		lentLeases: map[remotelease.Key]*lentLease{}, retryAfter: map[jobChunk]time.Duration{}, lendOrders: map[uint64]time.Duration{}, partners: map[string]*partner{}, offers: map[uint64]*heldOffer{},
		flagging: map[string]bool{}, finished: shard.NewFinalCache(maxFinishedLeases)}
	for i := range f.Partners {
		p := &f.Partners[i]
		d.partnerNames = append(d.partnerNames, p.Name)
		d.partners[p.Name] = &partner{settings: p, addressIndex: h.Rand().IntN(len(p.Addresses)), ended: map[string]bool{}}
	}
	return d
}

// Reserved tells whether an id belongs to a borrowed job; such ids are not for users.
func Reserved(id string) bool { return strings.HasPrefix(id, remotelease.JobIDPrefix) }

// JobChanged takes a live job's record; nil: it is over.
func (d *Broker) JobChanged(id string, rec *shard.JobRecord) {
	if rec != nil && rec.Loan != nil {
		d.borrowedJobs[id] = true
		return
	}
	if d.borrowedJobs[id] {
		delete(d.borrowedJobs, id)
		delete(d.flagging, id)
	}
	if rec != nil && len(rec.LentChunks) > 0 {
		d.lentJobs[id] = true
		return
	}
	delete(d.lentJobs, id)
}

// Reset forgets what the ledger said.
func (d *Broker) Reset() { d.lentJobs, d.borrowedJobs = map[string]bool{}, map[string]bool{} }

// StartLeadership starts a leadership under the given token. An earlier leader answered
// renewals only on proof that it led, so it did so before now.
func (d *Broker) StartLeadership(token uint64) {
	d.fencingToken = token
	d.renewals = remotelease.NewRenewals(d.host.Now())
	d.lentLeases, d.offers, d.lendOrders = map[remotelease.Key]*lentLease{}, map[uint64]*heldOffer{}, map[uint64]time.Duration{}
}

func (d *Broker) reportInterval() time.Duration {
	return env.Seconds(d.host.Settings().Deployment.Workers.Report)
}

// jitter spreads a pause by a quarter either way.
func (d *Broker) jitter(t time.Duration) time.Duration {
	return t*3/4 + time.Duration(d.host.Rand().Int64N(int64(t)/2+1))
}

// Tick is called at each heartbeat.
func (d *Broker) Tick() {
	now := d.host.Now()
	if d.host.IsLeader() {
		d.stepLentLeases(now)
		for _, name := range d.partnerNames {
			nb := d.partners[name]
			d.requestStates(nb, now)
			d.requestOffers(nb, now)
		}
	}
	for _, name := range d.partnerNames {
		d.requestRenewals(d.partners[name], now)
	}
}

// callPartner sends one request to a controller of a partner; after one that does not
// answer, or is not the leader, the next is asked.
func (d *Broker) callPartner(nb *partner, path string, in, out any, done func(status int)) {
	addr := nb.settings.Addresses[nb.addressIndex%len(nb.settings.Addresses)]
	d.client.CallPartner(nb.settings.Name, addr, path, in, out, min(2*time.Second, d.reportInterval()), func(status int) {
		if status == 0 || status == 421 || status == 503 {
			nb.addressIndex++
		}
		done(status)
	})
}

// --- home ---

func leaseKey(job string, a *shard.LentChunk) remotelease.Key {
	return remotelease.Key{Job: job, FirstTask: a.FirstTask, Number: a.LoanNumber}
}

// stepLentLeases looks after every loan of ours.
func (d *Broker) stepLentLeases(now time.Duration) {
	live := map[remotelease.Key]bool{}
	for _, id := range slices.Sorted(maps.Keys(d.lentJobs)) {
		rec := d.host.Job(id)
		if rec == nil {
			continue
		}
		for _, a := range rec.LentChunks {
			k := leaseKey(id, &a)
			live[k] = true
			o := d.lentLeases[k]
			if o == nil {
				from, to := rec.TaskRange(a.Chunk)
				o = &lentLease{key: k, away: a, tasks: to - from, since: now}
				o.stored = countTasks(rangesWithin(rec.DoneRanges, from, to-from))
				d.lentLeases[k] = o
				if a.LeaderToken == d.fencingToken {
					d.renewals.RecordIssued(k)
					d.Counters.Lent++
					d.recordEvent(k.JobID(d.settings.Cluster), "lent", a.Reason)
				} else {
					o.accepted = true // perhaps; its state tells
				}
			}
			d.stepLease(o, rec, now)
		}
	}
	for k, o := range d.lentLeases {
		if !live[k] {
			delete(d.lentLeases, k)
			if nb := d.partners[o.away.Partner]; nb != nil && !o.isReturning && len(nb.ended) < maxLeases {
				nb.ended[k.JobID(d.settings.Cluster)] = true // cancelled: the host is told before the term ends
			}
		}
	}
	d.renewals.Retain(func(k remotelease.Key) bool { return live[k] })
	for of, t := range d.lendOrders {
		if now > t {
			delete(d.lendOrders, of)
		}
	}
	for k, t := range d.retryAfter {
		if now > t {
			delete(d.retryAfter, k)
		}
	}
}

func (o *lentLease) rules() remotelease.Rules {
	return remotelease.Rules{Term: time.Duration(o.away.TermMillis) * time.Millisecond, MachineLease: time.Duration(o.away.LeaseMillis) * time.Millisecond, ClockDrift: settings.Drift}
}

func (d *Broker) stepLease(o *lentLease, rec *shard.JobRecord, now time.Duration) {
	if o.isReturning {
		return
	}
	rules := o.rules()
	last, held := d.renewals.LastRenewal(o.key)
	quiet := d.renewals.IsExpired(o.key, rules, now)
	switch {
	case o.finishedAtHost:
		d.takeBack(o, "the partner gave it back", true)
	case o.refusal != "" && quiet:
		d.takeBack(o, o.refusal, false)
	case held && quiet:
		d.Counters.Lapsed++
		slog.Info("federation: a loan's term ran out", "job", o.key.Job, "loan", o.key.Number, "at", o.away.Partner, "silent", now-last)
		d.takeBack(o, "its term ran out", false)
	case !held && now-o.since > rules.Term:
		d.takeBack(o, "the partner did not take it in time", false)
	case !o.accepted && o.refusal == "" && !o.isHandingOver && now >= o.nextHandOverAt:
		d.handOver(o, rec, now)
	case o.accepted && countTasks(o.done) > o.stored && !o.isSaving && now-o.savedAt > d.progressSaveInterval(len(d.lentLeases)):
		d.saveProgress(o, now)
	}
}

// progressSaveInterval spaces the writes of what partners finished: together they use at
// most an eighth of a member's share of the state's changes.
func (d *Broker) progressSaveInterval(loans int) time.Duration {
	s := d.host.Settings()
	share := s.Deployment.State.WriteRPS / 8 / float64(len(s.Names()))
	return max(d.reportInterval(), env.Seconds(float64(loans)/share))
}

// handOver asks the partner to take a loan; it may be repeated.
func (d *Broker) handOver(o *lentLease, rec *shard.JobRecord, now time.Duration) {
	nb := d.partners[o.away.Partner]
	if nb == nil {
		o.refusal = "it is no partner any more"
		return
	}
	id := o.key.JobID(d.settings.Cluster)
	j := rec.Job
	j.Tasks = o.tasks
	if j.Deadline > 0 {
		j.Deadline = max(1, j.Deadline-(d.host.WallSeconds()-rec.AcceptedAt))
	}
	j.ID = id
	ask := &LeaseRequest{ID: id, Job: j, Offer: o.away.OfferID, Done: rangesWithin(rec.DoneRanges, o.key.FirstTask, o.tasks), TermMs: o.away.TermMillis}
	o.isHandingOver = true
	got := &LeaseState{}
	d.callPartner(nb, PathLeases, ask, got, func(status int) {
		o.isHandingOver = false
		o.nextHandOverAt = d.host.Now() + d.jitter(d.reportInterval()/2)
		switch status {
		case 200:
			o.accepted = true
			d.Counters.Accepted++
			d.recordEvent(id, "accepted", "")
			d.applyState(o, got)
		case 400, 403, 409:
			o.refusal = "the partner refused it"
			d.Counters.Refused++
			d.recordEvent(id, "refused", "")
			nb.emptyOffers++
		}
	})
}

// applyState takes what the partner says of a loan.
func (d *Broker) applyState(o *lentLease, s *LeaseState) {
	if o.state != s.State && s.State == StateRunning {
		d.recordEvent(o.key.JobID(d.settings.Cluster), "running", "")
	}
	o.state = s.State
	switch s.State {
	case StateQueued, StateRunning:
		o.accepted = true
		o.running = s.Running
		o.done = shiftRanges(s.Done, 0, o.tasks)
	case StateFinished:
		o.running = 0
		o.finishedAtHost = true
		o.done = shiftRanges(s.Done, 0, o.tasks)
	case StateUnknown:
		o.accepted = false // if the offer still stands it is handed over again
	}
}

// updateJobRecord changes a live job's record, as the leader. edit gets a copy, of which
// it may replace fields but not change what they hold; false: nothing is to be
// written.
func (d *Broker) updateJobRecord(priority kvstore.Priority, id string, edit func(r *shard.JobRecord) bool, done func(ok bool)) {
	l, key := d.host.Store(), shard.JobKey(id)
	l.Write(priority, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			rec := d.host.Job(id)
			if rec == nil || !d.host.IsLeader() {
				return nil, nil
			}
			r := *rec
			if r.Nonce = nonce; !edit(&r) {
				return nil, nil
			}
			return []protocol.Condition{d.host.LeaderCondition(), l.UnchangedCondition(key)}, []protocol.Mutation{{Put: key, Value: protocol.Encode(&r)}}
		},
		Done: func(ok bool, _ uint64) { done(ok) },
	})
}

// mergedDone is what is done of a job with what a partner did of a loan of it.
func (d *Broker) mergedDone(r *shard.JobRecord, o *lentLease) [][2]int {
	return shard.MergeRanges(d.maxDoneRanges(), r.DoneRanges, shiftRanges(o.done, o.key.FirstTask, o.tasks))
}

// takeBack gives the chunk a part again. While it is under way no renewal of
// the loan is answered: one that was would outlive it.
func (d *Broker) takeBack(o *lentLease, why string, word bool) {
	id := o.key.Job
	o.isReturning = true
	d.updateJobRecord(kvstore.PriorityNormal, id, func(r *shard.JobRecord) bool {
		i := slices.IndexFunc(r.LentChunks, func(a shard.LentChunk) bool { return a.LoanNumber == o.key.Number })
		if i < 0 || d.lentLeases[o.key] != o || !word && !d.renewals.IsExpired(o.key, o.rules(), d.host.Now()) {
			return false
		}
		j := r.Job
		j.Tasks = o.tasks
		r.LentChunks = slices.Concat(r.LentChunks[:i], r.LentChunks[i+1:])
		r.ChunkShards = slices.Clone(r.ChunkShards)
		r.ChunkShards[o.away.Chunk] = d.host.PlaceJob(&j, r.Rank)
		r.DoneRanges = d.mergedDone(r, o)
		return true
	}, func(ok bool) {
		if !ok {
			o.isReturning = false
			return
		}
		slog.Info("federation: a loan is back", "job", id, "loan", o.key.Number, "from", o.away.Partner, "done", countTasks(o.done), "of", o.tasks, "why", why)
		d.Counters.Back++
		d.recordEvent(o.key.JobID(d.settings.Cluster), "back", why)
		if countTasks(o.done) < o.tasks {
			// Not at once to the same one, which has no room for it.
			d.retryAfter[jobChunk{id, o.away.Chunk}] = d.host.Now() + d.jitter(4*d.reportInterval())
		}
		d.host.AnnounceChange(id)
	})
}

// saveProgress notes in our ledger what the partner finished, so that a partner that
// is lost costs little.
func (d *Broker) saveProgress(o *lentLease, now time.Duration) {
	o.isSaving, o.savedAt = true, now
	n := 0
	d.updateJobRecord(kvstore.PriorityLow, o.key.Job, func(r *shard.JobRecord) bool {
		if d.lentLeases[o.key] != o || o.isReturning {
			return false
		}
		n = countTasks(o.done)
		r.DoneRanges = d.mergedDone(r, o)
		return true
	}, func(ok bool) {
		o.isSaving = false
		if ok {
			o.stored = n
		}
	})
}

// maxDoneRanges of done tasks keep a record within half a value.
func (d *Broker) maxDoneRanges() int {
	return int(d.host.Settings().Deployment.State.ValueKB * 1024 / 2 / 12)
}

// requestStates asks a partner how its loans are, and tells it what is over here.
func (d *Broker) requestStates(nb *partner, now time.Duration) {
	if nb.isRequestingStates || now < nb.nextStatesAt || len(d.lentLeases)+len(nb.ended) == 0 {
		return
	}
	room := d.host.StartableCounter()
	var list []*lentLease
	in := &StatesRequest{}
	for _, k := range sortedLeaseKeys(d.lentLeases) {
		o := d.lentLeases[k]
		if o.away.Partner != nb.settings.Name || !o.accepted || o.isReturning || o.finishedAtHost || len(list) >= maxLeases/2 {
			continue
		}
		list = append(list, o)
		id := k.JobID(d.settings.Cluster)
		in.Leases = append(in.Leases, id)
		if o.state == StateQueued && d.fitsAtHome(o, room) {
			in.Recall = append(in.Recall, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(nb.ended)) {
		if len(in.End) < maxLeases/2 {
			in.End = append(in.End, id)
		}
	}
	if len(list)+len(in.End) == 0 {
		return
	}
	nb.isRequestingStates = true
	got := &StatesResponse{}
	d.callPartner(nb, PathStates, in, got, func(status int) {
		nb.isRequestingStates = false
		nb.nextStatesAt = d.host.Now() + d.jitter(d.reportInterval()/2)
		if status != 200 || len(got.States) != len(list) {
			return
		}
		for _, id := range in.End {
			delete(nb.ended, id)
		}
		d.Counters.Recalled += len(in.Recall)
		for i, o := range list {
			if d.lentLeases[o.key] == o && !o.isReturning {
				d.applyState(o, &got.States[i])
			}
		}
	})
}

func sortedLeaseKeys(m map[remotelease.Key]*lentLease) []remotelease.Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b remotelease.Key) int {
		switch {
		case a.Job != b.Job && a.Job < b.Job, a.Job == b.Job && a.FirstTask < b.FirstTask, a.Job == b.Job && a.FirstTask == b.FirstTask && a.Number < b.Number:
			return -1
		case a == b:
			return 0
		}
		return 1
	})
}

// fitsAtHome: home has room now for a loan that has not started.
func (d *Broker) fitsAtHome(o *lentLease, room func(*protocol.Job) []int) bool {
	rec := d.host.Job(o.key.Job)
	if rec == nil {
		return false
	}
	j := rec.Job
	j.Tasks = o.tasks
	return slices.Max(room(&j)) >= o.tasks
}

// requestOffers asks a partner for room for what waits too long here.
func (d *Broker) requestOffers(nb *partner, now time.Duration) {
	if nb.isRequestingOffers || now < nb.nextOffersAt || len(nb.settings.Classes) == 0 {
		return
	}
	s := d.host.Settings()
	var list []*WaitingChunk
	var why []string
	there := partnerStartDelay(s)
	waiting := d.host.WaitingChunks()
	sortByUrgency(waiting, there, d.host.WallSeconds())
	in := &OffersRequest{KeptOffers: []uint64{}}
	jobs := map[string]bool{}
	for _, o := range d.lentLeases {
		if o.away.Partner == nb.settings.Name && !o.accepted && o.away.OfferID != 0 {
			in.KeptOffers = append(in.KeptOffers, o.away.OfferID)
		}
	}
	in.KeptOffers = append(in.KeptOffers, slices.Sorted(maps.Keys(d.lendOrders))...)
	for _, w := range waiting {
		if len(list) >= maxResourceRequests {
			break
		}
		// One chunk of a job at a time: its record takes one change at a time.
		if _, tried := d.retryAfter[jobChunk{w.Record.Job.ID, w.Chunk}]; tried || jobs[w.Record.Job.ID] {
			continue
		}
		if y, ok := shouldLend(w, nb.settings, s.Team(w.Record.Job.Team), there, d.host.WallSeconds()); ok {
			list, why = append(list, w), append(why, y)
			jobs[w.Record.Job.ID] = true
			j := w.Record.Job
			j.Tasks = w.Tasks
			in.Requests = append(in.Requests, ResourceRequest{Job: j, Tasks: w.Tasks})
		}
	}
	slog.Debug("federation: waiting", "chunks", len(waiting), "wants", len(list), "partner", nb.settings.Name, "misses", nb.emptyOffers)
	if len(list) == 0 {
		return
	}
	nb.isRequestingOffers = true
	got := &OffersResponse{}
	d.callPartner(nb, PathOffers, in, got, func(status int) {
		nb.isRequestingOffers = false
		some := false
		if status == 200 && len(got.Offers) == len(list) && d.host.IsLeader() {
			for i, o := range got.Offers {
				if o.ID == 0 {
					continue
				}
				some = true
				w := list[i]
				d.retryAfter[jobChunk{w.Record.Job.ID, w.Chunk}] = d.host.Now() + d.reportInterval()
				d.lendOrders[o.ID] = d.host.Now() + d.reportInterval()
				d.host.OrderLend(&shard.LendOrder{Job: w.Record.Job.ID, Chunk: w.Chunk, Lent: shard.LentChunk{Partner: nb.settings.Name, LeaderToken: d.fencingToken, OfferID: o.ID, Reason: why[i],
					TermMillis: nb.settings.Term.Milliseconds(), LeaseMillis: nb.settings.Lease.Milliseconds()}})
			}
		}
		// A partner without room is asked ever more rarely, so that many do
		// not fall upon one that gets free.
		if some {
			nb.emptyOffers = 0
		} else {
			nb.emptyOffers = min(nb.emptyOffers+1, 3)
		}
		nb.nextOffersAt = d.host.Now() + d.jitter(d.reportInterval()<<nb.emptyOffers/2)
	})
}

// AnswerRenewals answers a partner's controller, as home's leader.
func (d *Broker) AnswerRenewals(from string, in *RenewalsRequest, reply Reply) {
	p := d.settings.Partner(from)
	if len(in.Leases) > maxLeases {
		reply(400, &protocol.ErrorResponse{Error: "too many loans"}, 0)
		return
	}
	if p.Lease > 0 && time.Duration(in.LeaseMs)*time.Millisecond > p.Lease {
		slog.Error("federation: a partner's lease is longer than our settings say: nothing of ours may run there", "partner", from,
			"theirs", time.Duration(in.LeaseMs)*time.Millisecond, "ours", p.Lease)
		reply(409, &protocol.ErrorResponse{Error: "lease_s of this partner is longer than home's settings say"}, 0)
		return
	}
	// On proof: an abort, a return or another leader before the question must
	// be seen in the answer.
	d.host.Store().Sync(func(ok bool) {
		if !ok || !d.host.IsLeader() {
			reply(503, &protocol.ErrorResponse{Error: "state service not reachable"}, 1)
			return
		}
		now := d.host.Now()
		out := &RenewalsResponse{Hold: []string{}, End: []string{}}
		for _, id := range in.Leases {
			k, ok := parseKeyOf(id, d.settings.Cluster)
			if !ok {
				continue
			}
			switch held, back := d.leaseStanding(k, from); {
			case back:
			case held:
				d.renewals.RecordRenewed(k, now)
				out.Hold = append(out.Hold, id)
			default:
				out.End = append(out.End, id)
			}
		}
		reply(200, out, 0)
	})
}

// leaseStanding: the record says that the loan is at the partner; back: it is being
// taken back, or the partner said itself that it is over.
func (d *Broker) leaseStanding(k remotelease.Key, partner string) (held, back bool) {
	rec := d.host.Job(k.Job)
	if rec == nil {
		return false, false
	}
	for _, a := range rec.LentChunks {
		if a.LoanNumber == k.Number && a.FirstTask == k.FirstTask && a.Partner == partner {
			o := d.lentLeases[k]
			return true, o != nil && (o.isReturning || o.finishedAtHost || o.refusal != "")
		}
	}
	return false, false
}
