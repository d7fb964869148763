package federation

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"curlewspool/internal/ledger"
	"curlewspool/internal/loan"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// --- host: offers, acceptance, states, renewals of what is borrowed ---

// lent sums what a home has here, whether it runs or not.
func (d *Desk) lent(home string) (cores float64, loans, tasks int) {
	for id := range d.borrowed {
		if rec := d.h.Job(id); rec != nil && rec.Loan != nil && rec.Loan.Home == home {
			cores += float64(rec.Job.Tasks) * max(rec.Job.Cores, rec.Job.GPUs)
			loans++
			tasks += rec.Job.Tasks
		}
	}
	return cores, loans, tasks
}

// Offers answers a home, as the host's leader. What is offered is held for a
// moment, so that two homes are not offered the same room.
func (d *Desk) Offers(from string, in *OffersAsk, reply Reply) {
	p := d.f.Partner(from)
	if len(in.Wants) > mostWants || len(in.Keep) > mostLoans {
		reply(400, &wire.Problem{Error: "too many wants"}, 0)
		return
	}
	now := d.h.Now()
	held, heldHome := map[int]float64{}, 0.0
	for id, o := range d.offers {
		if now > o.until || o.home == from && !o.taken && !slices.Contains(in.Keep, id) {
			delete(d.offers, id)
			continue
		}
		held[o.part] += o.cores
		if o.home == from && !o.taken {
			heldHome += o.cores
		}
	}
	lent, loans, tasks := d.lent(from)
	free := lendable(p, d.h.Cores(), lent+heldHome)
	roomFor := d.h.Room()
	out := &OffersAnswer{}
	for _, w := range in.Wants {
		j := borrowedJob(w.Job.ID, from, &w.Job)
		j.Tasks = w.Tasks
		of := Offer{}
		switch weight := max(j.Cores, j.GPUs); {
		case sane(&j) != "" || len(d.offers) >= 4*mostWants || loans >= mostLoans || tasks+j.Tasks > mostTasks:
			of.Why = "cannot be offered"
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
			of.Tasks = offered(&j, j.Tasks, room, free)
			if of.Tasks == 0 {
				of.Why = "no room"
				d.Count.Declined++
				break
			}
			cores := float64(j.Tasks) * weight
			d.offerNo++
			of.ID = d.tenure<<16 + d.offerNo
			d.offers[of.ID] = &offer{from, j.Tasks, cores, now + 4*d.report(), best, false}
			held[best] += cores
			loans, tasks = loans+1, tasks+j.Tasks
			free -= cores
			d.Count.Offered++
		}
		slog.Debug("federation: offer", "to", from, "job", w.Job.ID, "tasks", w.Tasks, "offered", of.Tasks, "share", free, "why", of.Why)
		out.Offers = append(out.Offers, of)
	}
	reply(200, out, 0)
}

// Accept takes a loan, as the host's leader: durable before the answer. It may
// be repeated. Nothing of it starts before home has answered a renewal.
func (d *Desk) Accept(from string, in *LoanAsk, reply Reply) {
	p := d.f.Partner(from)
	k, ok := keyOf(in.ID, from)
	why := sane(&in.Job)
	switch {
	case !ok || in.Job.ID != in.ID:
		why = "the loan's name is not one of its home"
	case in.TermMs < 1000 || in.TermMs > 3600_000:
		why = "term"
	}
	if why != "" {
		reply(400, &wire.Problem{Error: why}, 0)
		return
	}
	if d.h.Job(in.ID) != nil {
		reply(200, d.state(in.ID), 0)
		return
	}
	o := d.offers[in.Offer]
	if o == nil || o.taken || o.home != from || d.h.Now() > o.until || in.Job.Tasks > o.tasks || p.Lends <= 0 {
		d.h.Ledger().Prove(func(ok bool) {
			switch {
			case !ok:
				reply(503, &wire.Problem{Error: "state service not reachable"}, 1)
			case d.h.Job(in.ID) != nil: // a leader before accepted it
				reply(200, d.state(in.ID), 0)
			default:
				d.Count.RefusedHere++
				reply(409, &wire.Problem{Error: "the offer does not stand any more"}, 0)
			}
		})
		return
	}
	l := d.h.Ledger()
	j := borrowedJob(in.ID, from, &in.Job)
	rec := &part.JobRecord{Job: j, At: d.h.Wall(), Chunk: j.Tasks, Parts: []int{o.part}, Done: shift(in.Done, 0, j.Tasks),
		Loan: &part.Loan{Home: from, Job: k.Job, First: k.First, No: k.No, TermMs: in.TermMs}}
	if len(wire.Encode(rec)) > d.h.Settings().MostRecord() {
		reply(400, &wire.Problem{Error: "fields too long"}, 0)
		return
	}
	l.Write(ledger.Soon, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			if !d.h.Leads() {
				return nil, nil
			}
			rec.W = nonce
			return []wire.Cond{d.h.LeadGuard(), {Key: part.JobKey(in.ID)}, {Key: part.FinalKey(in.ID)}},
				[]wire.Op{{Put: part.JobKey(in.ID), Value: wire.Encode(rec)}}
		},
		Done: func(ok bool, _ uint64) {
			if !ok { // known already, or over, or another leader
				reply(503, &wire.Problem{Error: "try again"}, 1)
				return
			}
			o.taken, o.until = true, d.h.Now()+2*d.report() // its room is held until it has started
			d.Count.Borrowed++
			slog.Info("federation: borrowed", "job", in.ID, "tasks", j.Tasks, "from", from)
			d.note(in.ID, "borrowed", "")
			d.h.News(in.ID)
			reply(200, &State{State: StateQueued}, 0)
		},
		Refused: func() bool {
			reply(503, &wire.Problem{Error: "state service not reachable"}, 1)
			return true
		},
	})
}

// state of a borrowed job that is live.
func (d *Desk) state(id string) *State {
	done, running := d.h.Progress(id)
	s := &State{State: StateQueued, Running: running, Done: done}
	if running > 0 || len(done) > 0 {
		s.State = StateRunning
	}
	// An answer holds as many loans as there are; ranges are bounded, and the
	// rest is told when the loan is over.
	if len(s.Done) > 64 {
		s.Done = part.MergeRanges(64, s.Done)
	}
	return s
}

// States answers a home, as the host's leader.
func (d *Desk) States(from string, in *StatesAsk, reply Reply) {
	if len(in.Loans) > mostLoans || len(in.End) > mostLoans || len(in.Recall) > mostLoans {
		reply(400, &wire.Problem{Error: "too many loans"}, 0)
		return
	}
	for _, id := range in.End {
		d.flag(from, id, true)
	}
	for _, id := range in.Recall {
		d.flag(from, id, false)
	}
	out := &StatesAnswer{States: make([]State, len(in.Loans))}
	left, fetches := 1, 0
	finish := func() {
		if left--; left == 0 {
			reply(200, out, 0)
		}
	}
	for i, id := range in.Loans {
		s := &out.States[i]
		if _, ok := keyOf(id, from); !ok {
			s.State = StateUnknown
			continue
		}
		if d.h.Job(id) != nil {
			*s = *d.state(id)
			continue
		}
		if f, ok := d.over.Get(id); ok {
			*s = overState(f)
			continue
		}
		if fetches >= d.h.Settings().Deployment.State.TxnOps {
			s.State = StateLater
			continue
		}
		fetches++
		left++
		d.h.Ledger().Fetch(part.FinalKey(id), func(status int, value []byte, _ uint64) {
			var f part.Final
			switch {
			case status == 200 && wire.Decode(value, &f) == nil:
				d.over.Add(id, f)
				*s = overState(f)
			case status == 404:
				// Our cache may be older than its acceptance by the leader
				// before: home would give up a loan that runs.
				left++
				d.h.Ledger().Prove(func(ok bool) {
					switch {
					case !ok:
						s.State = StateLater
					case d.h.Job(id) != nil:
						*s = *d.state(id)
					default:
						s.State = StateUnknown
					}
					finish()
				})
			default:
				s.State = StateLater
			}
			finish()
		})
	}
	finish()
}

func overState(f part.Final) State {
	s := State{State: StateOver, Done: f.Done}
	if f.Status == wire.Done {
		s.Done = [][2]int{{0, f.Tasks - 1}}
	}
	return s
}

// flag notes in a borrowed job's record that it is to be given back: its
// part's owner sees it there.
func (d *Desk) flag(from, id string, end bool) {
	rec := d.h.Job(id)
	if _, ok := keyOf(id, from); !ok || rec == nil || rec.Loan == nil || d.flags[id] || rec.Loan.Ending || !end && rec.Loan.Recall {
		return
	}
	d.flags[id] = true
	d.rewrite(ledger.Soon, id, func(r *part.JobRecord) bool {
		l := *r.Loan
		l.Ending, l.Recall = l.Ending || end, true
		r.Loan = &l
		return true
	}, func(ok bool) {
		delete(d.flags, id)
		if ok {
			what := "recalled"
			if end {
				what = "ended by home"
			}
			d.note(id, what, "")
			d.h.News(id)
		}
	})
}

// askRenewals asks a home whether what is borrowed from it, in the parts owned
// here, may go on. Each controller asks for itself: the term counts from when
// it sent the question, by its own clock.
func (d *Desk) askRenewals(nb *neighbour, now time.Duration) {
	if nb.renewing {
		return
	}
	type held struct {
		part   *part.Part
		permit *loan.Permit
		term   time.Duration
	}
	loans := map[string]held{}
	shortest, fresh := time.Hour, false
	d.h.Loans(func(p *part.Part, rec *part.JobRecord, permit *loan.Permit) {
		if rec.Loan.Home != nb.p.Name || len(loans) >= mostLoans {
			return
		}
		x := held{p, permit, time.Duration(rec.Loan.TermMs) * time.Millisecond}
		loans[rec.Job.ID] = x
		shortest = min(shortest, x.term)
		fresh = fresh || !permit.Good(now)
	})
	if len(loans) == 0 || now < nb.renewAt && !(fresh && now > nb.renewAt-shortest/5+time.Second/2) {
		return
	}
	nb.renewing = true
	in := &RenewalsAsk{LeaseMs: int64(d.h.Settings().Deployment.Workers.Lease * 1000), Loans: slices.Sorted(maps.Keys(loans))}
	got := &RenewalsAnswer{}
	d.ask(nb, PathRenewals, in, got, func(status int) {
		nb.renewing = false
		if status != 200 {
			d.Count.RenewalsMissed++
			nb.renewAt = d.h.Now() + d.jitter(min(shortest/10, time.Second))
			return
		}
		nb.renewAt = now + d.jitter(shortest/5)
		for _, id := range got.Hold {
			if x, ok := loans[id]; ok {
				if !x.permit.Good(d.h.Now()) {
					d.note(id, "permitted", "")
				}
				x.permit.Renew(now, x.term)
				x.part.Permitted(id)
				d.Count.Renewed++
			}
		}
		for _, id := range got.End {
			if x, ok := loans[id]; ok {
				x.permit.End()
				x.part.EndLoan(id)
			}
		}
	})
}
