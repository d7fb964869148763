package federation

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"curlewspool/internal/kvstore"
	"curlewspool/internal/protocol"
	"curlewspool/internal/remotelease"
	"curlewspool/internal/shard"
)

// --- host: offers, acceptance, states, renewals of what is borrowed ---

// lentTo sums what a home has here, whether it runs or not.
func (d *Broker) lentTo(home string) (cores float64, loans, tasks int) {
	for id := range d.borrowedJobs {
		if rec := d.host.Job(id); rec != nil && rec.Loan != nil && rec.Loan.HomeCluster == home {
			cores += float64(rec.Job.Tasks) * max(rec.Job.Cores, rec.Job.GPUs)
			loans++
			tasks += rec.Job.Tasks
		}
	}
	return cores, loans, tasks
}

// AnswerOffers answers a home, as the host's leader. What is offered is held for a
// moment, so that two homes are not offered the same room.
func (d *Broker) AnswerOffers(from string, in *OffersRequest, reply Reply) {
	p := d.settings.Partner(from)
	if len(in.Requests) > maxResourceRequests || len(in.KeptOffers) > maxLeases {
		reply(400, &protocol.ErrorResponse{Error: "too many wants"}, 0)
		return
	}
	now := d.host.Now()
	held, heldHome := map[int]float64{}, 0.0
	for id, o := range d.offers {
		if now > o.until || o.home == from && !o.taken && !slices.Contains(in.KeptOffers, id) {
			delete(d.offers, id)
			continue
		}
		held[o.part] += o.cores
		if o.home == from && !o.taken {
			heldHome += o.cores
		}
	}
	lent, loans, tasks := d.lentTo(from)
	free := lendableCores(p, d.host.TotalCores(), lent+heldHome)
	roomFor := d.host.StartableCounter()
	out := &OffersResponse{}
	for _, w := range in.Requests {
		j := borrowedJob(w.Job.ID, from, &w.Job)
		j.Tasks = w.Tasks
		of := Offer{}
		switch weight := max(j.Cores, j.GPUs); {
		case invalidReason(&j) != "" || len(d.offers) >= 4*maxResourceRequests || loans >= maxLeases || tasks+j.Tasks > maxTasks:
			of.Reason = "cannot be offered"
		default:
			best, room := 0, 0
			for k, r := range roomFor(&j) {
				if weight > 0 {
					r -= int(held[k]/weight + 0.999)
				}
				if r > room {
					best, room = k, r
				}
			}
			of.Tasks = offerableTasks(&j, j.Tasks, room, free)
			if of.Tasks == 0 {
				of.Reason = "no room"
				d.Counters.Declined++
				break
			}
			cores := float64(j.Tasks) * weight
			d.lastOffer++
			of.ID = d.fencingToken<<16 + d.lastOffer
			d.offers[of.ID] = &heldOffer{from, j.Tasks, cores, now + 4*d.reportInterval(), best, false}
			held[best] += cores
			loans, tasks = loans+1, tasks+j.Tasks
			free -= cores
			d.Counters.Offered++
		}
		slog.Debug("federation: offer", "to", from, "job", w.Job.ID, "tasks", w.Tasks, "offered", of.Tasks, "share", free, "why", of.Reason)
		out.Offers = append(out.Offers, of)
	}
	reply(200, out, 0)
}

// AcceptLease takes a loan, as the host's leader: durable before the answer. It may
// be repeated. Nothing of it starts before home has answered a renewal.
func (d *Broker) AcceptLease(from string, in *LeaseRequest, reply Reply) {
	p := d.settings.Partner(from)
	k, ok := parseKeyOf(in.ID, from)
	why := invalidReason(&in.Job)
	switch {
	case !ok || in.Job.ID != in.ID:
		why = "the loan's name is not one of its home"
	case in.TermMs < 1000 || in.TermMs > 3600_000:
		why = "term"
	}
	if why != "" {
		reply(400, &protocol.ErrorResponse{Error: why}, 0)
		return
	}
	if d.host.Job(in.ID) != nil {
		reply(200, d.borrowedState(in.ID), 0)
		return
	}
	o := d.offers[in.Offer]
	if o == nil || o.taken || o.home != from || d.host.Now() > o.until || in.Job.Tasks > o.tasks || p.Lends <= 0 {
		d.host.Store().Sync(func(ok bool) {
			switch {
			case !ok:
				reply(503, &protocol.ErrorResponse{Error: "state service not reachable"}, 1)
			case d.host.Job(in.ID) != nil: // a leader before accepted it
				reply(200, d.borrowedState(in.ID), 0)
			default:
				d.Counters.RefusedHere++
				reply(409, &protocol.ErrorResponse{Error: "the offer does not stand any more"}, 0)
			}
		})
		return
	}
	l := d.host.Store()
	j := borrowedJob(in.ID, from, &in.Job)
	rec := &shard.JobRecord{Job: j, AcceptedAt: d.host.WallSeconds(), ChunkSize: j.Tasks, ChunkShards: []int{o.part}, DoneRanges: shiftRanges(in.Done, 0, j.Tasks),
		Loan: &shard.Loan{HomeCluster: from, HomeJobID: k.Job, FirstTask: k.FirstTask, LoanNumber: k.Number, TermMillis: in.TermMs}}
	if len(protocol.Encode(rec)) > d.host.Settings().MostRecord() {
		reply(400, &protocol.ErrorResponse{Error: "fields too long"}, 0)
		return
	}
	l.Write(kvstore.PriorityNormal, &kvstore.WriteRequest{
		Build: func(nonce string) ([]protocol.Condition, []protocol.Mutation) {
			if !d.host.IsLeader() {
				return nil, nil
			}
			rec.Nonce = nonce
			return []protocol.Condition{d.host.LeaderCondition(), {Key: shard.JobKey(in.ID)}, {Key: shard.FinalKey(in.ID)}},
				[]protocol.Mutation{{Put: shard.JobKey(in.ID), Value: protocol.Encode(rec)}}
		},
		Done: func(ok bool, _ uint64) {
			if !ok { // known already, or over, or another leader
				reply(503, &protocol.ErrorResponse{Error: "try again"}, 1)
				return
			}
			o.taken, o.until = true, d.host.Now()+2*d.reportInterval() // its room is held until it has started
			d.Counters.Borrowed++
			slog.Info("federation: borrowed", "job", in.ID, "tasks", j.Tasks, "from", from)
			d.recordEvent(in.ID, "borrowed", "")
			d.host.AnnounceChange(in.ID)
			reply(200, &LeaseState{State: StateQueued}, 0)
		},
		ShouldAbandon: func() bool {
			reply(503, &protocol.ErrorResponse{Error: "state service not reachable"}, 1)
			return true
		},
	})
}

// borrowedState of a borrowed job that is live.
func (d *Broker) borrowedState(id string) *LeaseState {
	done, running := d.host.StoredProgress(id)
	s := &LeaseState{State: StateQueued, Running: running, Done: done}
	if running > 0 || len(done) > 0 {
		s.State = StateRunning
	}
	// An answer holds as many loans as there are; ranges are bounded, and the
	// rest is told when the loan is over.
	if len(s.Done) > 64 {
		s.Done = shard.MergeRanges(64, s.Done)
	}
	return s
}

// AnswerStates answers a home, as the host's leader.
func (d *Broker) AnswerStates(from string, in *StatesRequest, reply Reply) {
	if len(in.Leases) > maxLeases || len(in.End) > maxLeases || len(in.Recall) > maxLeases {
		reply(400, &protocol.ErrorResponse{Error: "too many loans"}, 0)
		return
	}
	for _, id := range in.End {
		d.flagForReturn(from, id, true)
	}
	for _, id := range in.Recall {
		d.flagForReturn(from, id, false)
	}
	out := &StatesResponse{States: make([]LeaseState, len(in.Leases))}
	left, fetches := 1, 0
	finish := func() {
		if left--; left == 0 {
			reply(200, out, 0)
		}
	}
	for i, id := range in.Leases {
		s := &out.States[i]
		if _, ok := parseKeyOf(id, from); !ok {
			s.State = StateUnknown
			continue
		}
		if d.host.Job(id) != nil {
			*s = *d.borrowedState(id)
			continue
		}
		if f, ok := d.finished.Get(id); ok {
			*s = finishedLeaseState(f)
			continue
		}
		if fetches >= d.host.Settings().Deployment.State.TxnOps {
			s.State = StateUnavailable
			continue
		}
		fetches++
		left++
		d.host.Store().Fetch(shard.FinalKey(id), func(entry kvstore.Entry, err error) {
			var f shard.FinalRecord
			switch {
			case err == nil && protocol.Decode(entry.Value, &f) == nil:
				d.finished.Add(id, f)
				*s = finishedLeaseState(f)
			case errors.Is(err, kvstore.ErrNotFound):
				// Our cache may be older than its acceptance by the leader
				// before: home would give up a loan that runs.
				left++
				d.host.Store().Sync(func(ok bool) {
					switch {
					case !ok:
						s.State = StateUnavailable
					case d.host.Job(id) != nil:
						*s = *d.borrowedState(id)
					default:
						s.State = StateUnknown
					}
					finish()
				})
			default:
				s.State = StateUnavailable
			}
			finish()
		})
	}
	finish()
}

func finishedLeaseState(f shard.FinalRecord) LeaseState {
	s := LeaseState{State: StateFinished, Done: f.DoneRanges}
	if f.Status == protocol.JobDone {
		s.Done = [][2]int{{0, f.Tasks - 1}}
	}
	return s
}

// flagForReturn notes in a borrowed job's record that it is to be given back: its
// part's owner sees it there.
func (d *Broker) flagForReturn(from, id string, end bool) {
	rec := d.host.Job(id)
	if _, ok := parseKeyOf(id, from); !ok || rec == nil || rec.Loan == nil || d.flagging[id] || rec.Loan.Ending || !end && rec.Loan.Recall {
		return
	}
	d.flagging[id] = true
	d.updateJobRecord(kvstore.PriorityNormal, id, func(r *shard.JobRecord) bool {
		l := *r.Loan
		l.Ending, l.Recall = l.Ending || end, true
		r.Loan = &l
		return true
	}, func(ok bool) {
		delete(d.flagging, id)
		if ok {
			what := "recalled"
			if end {
				what = "ended by home"
			}
			d.recordEvent(id, what, "")
			d.host.AnnounceChange(id)
		}
	})
}

// requestRenewals asks a home whether what is borrowed from it, in the parts owned
// here, may go on. Each controller asks for itself: the term counts from when
// it sent the question, by its own clock.
func (d *Broker) requestRenewals(nb *partner, now time.Duration) {
	if nb.isRequestingRenewals {
		return
	}
	type held struct {
		part   *shard.Shard
		permit *remotelease.Permit
		term   time.Duration
	}
	loans := map[string]held{}
	shortest, fresh := time.Hour, false
	d.host.EachBorrowedJob(func(p *shard.Shard, rec *shard.JobRecord, permit *remotelease.Permit) {
		if rec.Loan.HomeCluster != nb.settings.Name || len(loans) >= maxLeases {
			return
		}
		x := held{p, permit, time.Duration(rec.Loan.TermMillis) * time.Millisecond}
		loans[rec.Job.ID] = x
		shortest = min(shortest, x.term)
		fresh = fresh || !permit.IsValid(now)
	})
	if len(loans) == 0 || now < nb.nextRenewalAt && !(fresh && now > nb.nextRenewalAt-shortest/5+time.Second/2) {
		return
	}
	nb.isRequestingRenewals = true
	in := &RenewalsRequest{LeaseMs: int64(d.host.Settings().Deployment.Workers.Lease * 1000), Leases: slices.Sorted(maps.Keys(loans))}
	got := &RenewalsResponse{}
	d.callPartner(nb, PathRenewals, in, got, func(status int) {
		nb.isRequestingRenewals = false
		if status != 200 {
			d.Counters.RenewalsMissed++
			nb.nextRenewalAt = d.host.Now() + d.jitter(min(shortest/10, time.Second))
			return
		}
		nb.nextRenewalAt = now + d.jitter(shortest/5)
		for _, id := range got.Hold {
			if x, ok := loans[id]; ok {
				if !x.permit.IsValid(d.host.Now()) {
					d.recordEvent(id, "permitted", "")
				}
				x.permit.Renew(now, x.term)
				x.part.PermitRenewed(id)
				d.Counters.Renewed++
			}
		}
		for _, id := range got.End {
			if x, ok := loans[id]; ok {
				x.permit.Revoke()
				x.part.EndLoan(id)
			}
		}
	})
}
