package node

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"curlewspool/internal/dispatch"
	"curlewspool/internal/federation"
	"curlewspool/internal/lead"
	"curlewspool/internal/loan"
	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// What the desk of the partners needs of a controller.

// Federate sets up the desk if the operators' settings name partners; to be
// called before Start.
func (n *Node) Federate(line federation.Line) {
	if n.s.Federation != nil {
		n.desk = federation.New(n, line, n.s.Federation)
	}
}

// PartnerAsks handles a request of a partner, which its certificate names.
func (n *Node) PartnerAsks(from, path string, body []byte, reply federation.Reply) {
	if n.desk == nil || n.s.Federation.Partner(from) == nil {
		reply(403, &wire.Problem{Error: "no partner"}, 0)
		return
	}
	if !n.l.Loaded() || n.l.Down() || len(n.types) == 0 {
		reply(503, &wire.Problem{Error: "not ready"}, 1)
		return
	}
	// All that partners ask is for the leader.
	read := func(in any) bool {
		switch {
		case len(body) > wire.MaxBody || !wire.IsMap(body) || wire.Decode(body, in) != nil:
			reply(400, &wire.Problem{Error: "not understood"}, 0)
		case !n.leads():
			reply(421, &wire.Problem{Error: "not the leader"}, 0)
		default:
			return true
		}
		return false
	}
	switch path {
	case federation.PathOffers:
		if in := (&federation.OffersAsk{}); read(in) {
			n.desk.Offers(from, in, reply)
		}
	case federation.PathLoans:
		if in := (&federation.LoanAsk{}); read(in) {
			n.desk.Accept(from, in, reply)
		}
	case federation.PathStates:
		if in := (&federation.StatesAsk{}); read(in) {
			n.desk.States(from, in, reply)
		}
	case federation.PathRenewals:
		if in := (&federation.RenewalsAsk{}); read(in) {
			n.desk.Renewals(from, in, reply)
		}
	default:
		reply(404, &wire.Problem{Error: "no such path"}, 0)
	}
}

// Chance is the controller's source of randomness.
func (n *Node) Chance() *rand.Rand { return n.w.Rand() }

// Leads tells whether this controller is the leader.
func (n *Node) Leads() bool { return n.leads() }

// LeadGuard is the condition under which a transaction holds only while this
// controller leads.
func (n *Node) LeadGuard() wire.Cond { return n.book.Guard(lead.Leader) }

// Progress is what the ledger says of a job's tasks, here and at partners.
func (n *Node) Progress(id string) (done [][2]int, running int) {
	rec := n.jobs[id]
	if rec == nil {
		return nil, 0
	}
	lists := [][][2]int{rec.Done}
	for _, p := range n.progress[id] {
		running += p.Running
		lists = append(lists, p.Done)
	}
	if n.desk != nil {
		running += n.desk.Running(id)
	}
	return part.MergeRanges(0, lists...), running
}

// Cores of all machines.
func (n *Node) Cores() (c float64) {
	for _, m := range n.machines {
		if t := n.types[m.Type]; t != nil {
			c += t.Cores
		}
	}
	return c
}

// Waiting lists chunks that found no room, with when they would start: after
// what is queued in their part with the same rank or a higher one, and not
// before the head, if they are it.
func (n *Node) Waiting() (out []*federation.Waiting) {
	cores := make([]float64, len(n.names))
	for _, m := range n.machines {
		if t := n.types[m.Type]; t != nil && m.Part >= 0 && m.Part < len(cores) {
			cores[m.Part] += t.Cores
		}
	}
	for _, s := range n.statuses() {
		for _, g := range s.Gaps {
			rec := n.jobs[g.Job]
			k := int(g.Part)
			if rec == nil || rec.Loan != nil || k < 0 || k >= len(n.names) || g.WaitedS < n.s.Deployment.Workers.Report {
				continue
			}
			j := &rec.Job
			// What has waited for long was reckoned wrong, or is held up by what
			// the reckoning leaves out: it may wait as long again.
			starts := world.Seconds(max(g.StartsS, j.Estimate/2, g.WaitedS))
			ahead := n.slots[k].Load[min(rec.Rank, n.s.Rank.Max)] - dispatch.Work(j, int(g.Tasks))
			if cores[k] > 0 {
				starts = max(starts, world.Seconds(max(0, ahead)/cores[k]))
			} else {
				starts = time.Hour
			}
			for c, at := range rec.Parts {
				from, to := rec.Span(c)
				if at == k && to-from <= int(g.Tasks) {
					out = append(out, &federation.Waiting{Rec: rec, Chunk: c, Tasks: to - from, Starts: starts, Due: n.Deadlines(j)})
				}
			}
		}
	}
	return out
}

// Room gives a count, for each part, of the tasks that would start there, in free
// room that nothing of this cluster waits for. What is borrowed is in one part,
// and gathers no machines of others.
func (n *Node) Room() func(j *wire.Job) []int {
	wanted := map[string]bool{} // types that own work waits for
	for _, s := range n.statuses() {
		for _, g := range s.Gaps {
			if rec := n.jobs[g.Job]; rec != nil {
				for name, t := range n.types {
					wanted[name] = wanted[name] || t.Fits(&rec.Job, 1) > 0
				}
			}
		}
	}
	return func(j *wire.Job) []int { return n.roomBeside(j, wanted) }
}

func (n *Node) roomBeside(j *wire.Job, wanted map[string]bool) []int {
	room := make([]int, len(n.names))
	for _, s := range n.statuses() {
		for _, p := range s.Parts {
			zone := map[string]int{}
			for _, f := range p.Free {
				if !wanted[f.Type] {
					zone[f.Zone] += part.RoomFor(n, j, f, true)
				}
			}
			all := part.Holds(j, zone)
			if k := int(p.Part); k >= 0 && k < len(room) {
				room[k] = max(room[k], all)
			}
		}
	}
	return room
}

// Place chooses the part of a job that comes in from a partner, or comes back:
// one with room now, else as any other.
func (n *Node) Place(j *wire.Job, rank int) int {
	best, most := -1, 0
	for _, s := range n.statuses() {
		for _, p := range s.Parts {
			k := 0
			for _, f := range p.Free {
				k += part.RoomFor(n, j, f, true)
			}
			if k = min(k, j.Tasks); k > most {
				best, most = int(p.Part), k
			}
		}
	}
	if best < 0 || best >= len(n.names) {
		best = dispatch.Choose(n.slots, n.eligible(j), min(rank, n.s.Rank.Max))
	}
	n.slots[best].Add(min(rank, n.s.Rank.Max), dispatch.Work(j, j.Tasks))
	return best
}

// LendOut hands the wish that a chunk be lent to the chunk's owner.
func (n *Node) LendOut(o *part.Order) {
	k := n.partOf(o)
	if k < 0 {
		return
	}
	switch owner := n.book.Owner(lead.PartKey(k)); owner {
	case "":
	case n.s.Name:
		n.orderHere(o)
	default:
		a := &o.Away
		n.w.Send(owner, &mesh.Envelope{Body: &mesh.Envelope_LendOut{LendOut: &mesh.LendOut{Job: o.Job, Chunk: int32(o.Chunk), To: a.To, By: a.By,
			Offer: a.Offer, Why: a.Why, TermMs: a.TermMs, LeaseMs: a.LeaseMs}}})
	}
}

// partOf is where the chunk is; negative: nowhere here.
func (n *Node) partOf(o *part.Order) int {
	if rec := n.jobs[o.Job]; rec != nil && o.Chunk >= 0 && o.Chunk < len(rec.Parts) {
		return rec.Parts[o.Chunk]
	}
	return part.Lent
}

func orderOf(m *mesh.LendOut) *part.Order {
	return &part.Order{Job: m.Job, Chunk: int(m.Chunk), Away: part.Away{To: m.To, By: m.By, Offer: m.Offer, Why: m.Why, TermMs: m.TermMs, LeaseMs: m.LeaseMs}}
}

func (n *Node) orderHere(o *part.Order) {
	if p := n.owns(n.partOf(o)); p != nil {
		p.LendOut(o)
	} else {
		slog.Debug("node: a chunk to be lent is not ours", "job", o.Job, "chunk", o.Chunk)
	}
}

// Loans lists the borrowed jobs of the parts that are owned here.
func (n *Node) Loans(f func(p *part.Part, rec *part.JobRecord, permit *loan.Permit)) {
	n.eachPart(func(p *part.Part) {
		if n.owns(p.K) != nil {
			p.Loans(func(rec *part.JobRecord, permit *loan.Permit) { f(p, rec, permit) })
		}
	})
}

// Elsewhere says which of a job's tasks are at partners, and why.
func (n *Node) Elsewhere(id string) (out []wire.Elsewhere) {
	rec := n.jobs[id]
	if rec == nil {
		return nil
	}
	for _, a := range rec.Away {
		from, to := rec.Span(a.Chunk)
		out = append(out, wire.Elsewhere{Cluster: a.To, First: from, Tasks: to - from, Why: a.Why})
	}
	return out
}
