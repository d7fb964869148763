package node

import (
	"time"

	"curlewspool/internal/lead"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// This file speaks to workers.

// WorkerReply answers a worker.
type WorkerReply func(status int, body any)

// Report handles POST /v1/report.
func (n *Node) Report(r *wire.Report, reply WorkerReply) {
	if r.Machine == "" {
		reply(400, &wire.Problem{Error: "no machine"})
		return
	}
	if !n.l.Loaded() {
		reply(503, &wire.Problem{Error: "starting"})
		return
	}
	rec := n.machines[r.Machine]
	n.hearing.heard(r.Machine, rec != nil && n.parts[rec.Part] != nil, n.w.Now())
	if rec == nil {
		n.unlisted(r, reply)
		return
	}
	key := lead.PartKey(rec.Part)
	p := n.owns(rec.Part)
	if p == nil {
		o := n.book.Owner(key)
		if o == "" || o == n.s.Name {
			reply(503, &wire.Problem{Error: "the part has no owner"})
			return
		}
		reply(421, &wire.Problem{Error: "not the owner", Owner: o})
		return
	}
	m := p.Machines[r.Machine]
	if m == nil {
		reply(503, &wire.Problem{Error: "not known yet"})
		return
	}
	if r.Token > m.Token {
		// It has seen a newer owner, or comes from another part: an answer
		// with a lower token would hold it here while its lease runs out.
		n.book.Claim(key, false)
		reply(503, &wire.Problem{Error: "a higher token is needed"})
		return
	}
	if !p.Report(m, r, true) {
		reply(503, &wire.Problem{Error: "outdated report"})
		return
	}
	if p.Unanswered(m, n.w.Now()) {
		reply(503, &wire.Problem{Error: "waits for a partner's word"})
		return
	}
	p.Settle(m)
	m.Answered(n.w.Now())
	reply(200, &wire.Commands{Token: m.Token, Orders: notNil(m.Orders(false, n.w.Now()))})
}

func notNil(c []wire.Command) []wire.Command {
	if c == nil {
		return []wire.Command{}
	}
	return c
}

// Order sends a machine its orders directly. With nothing to order it still
// brings the part's token, and the answer is a report.
func (n *Node) Order(p *part.Part, m *part.Machine) {
	if n.owns(p.K) != p || m.Ordered() || m.Address == "" || !n.MayLaunch() || n.pushing >= n.s.Deployment.Limits.Sockets/8 {
		return // the next tick presses again
	}
	n.pushing++
	m.OrdersSent()
	body := &wire.Commands{Token: m.Token, Session: max(m.Session, 1), Orders: notNil(m.Orders(true, n.w.Now()))}
	out := &wire.Report{}
	limit := min(2*time.Second, world.Seconds(n.s.Deployment.Workers.Report))
	n.w.Call(m.Address, "POST", "/orders", body, out, limit, func(status int) {
		n.pushing--
		if status != 200 && status != 409 {
			m.OrdersLost(body.Token)
			m.Pause(n.w.Now() + limit)
			return
		}
		m.OrdersAnswered()
		if n.owns(p.K) != p || p.Machines[m.ID] != m || out.Machine != m.ID {
			return
		}
		if out.Token > m.Token {
			n.book.Claim(lead.PartKey(p.K), false)
			m.Pause(n.w.Now() + limit)
			return
		}
		p.Report(m, out, false)
		if status == 409 {
			m.Pause(n.w.Now() + limit/8)
		}
	})
}
