package node

import (
	"log/slog"
	"math"
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
	if bad := r.Check(); bad != "" {
		reply(400, &wire.Problem{Error: bad})
		return
	}
	if !n.l.Loaded() {
		reply(503, &wire.Problem{Error: "starting"})
		return
	}
	rec := n.machines[r.Machine]
	n.hearing.heard(r, rec != nil && n.parts[rec.Part] != nil, n.w.Now())
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
		// with a lower token would hold it here while its lease runs out. A token
		// that nobody can have given says nothing.
		if n.book.Given(r.Token) {
			n.book.Claim(key, false)
		}
		m.Refused(r, false)
		reply(503, &wire.Problem{Error: "a higher token is needed"})
		return
	}
	switch {
	case !p.Report(m, r, true):
		if m.Refused(r, true) {
			n.askMachine(p, m)
		}
		reply(503, &wire.Problem{Error: "outdated report"})
		return
	case m.Deaf():
		m.Refused(r, false)
		reply(503, &wire.Problem{Error: "does not hear"})
		return
	case p.Unanswered(m, n.w.Now()):
		m.Refused(r, false)
		reply(503, &wire.Problem{Error: "waits for a partner's word"})
		return
	}
	if m.Crowded(n.w.Now()) {
		m.Refused(r, false)
		n.Order(p, m)
		reply(503, &wire.Problem{Error: "more is to stop than an answer holds"})
		return
	}
	p.Settle(m)
	m.Answered(n.w.Now())
	orders := notNil(m.Orders(false, n.MayLaunch(), n.w.Now()))
	reply(200, &wire.Commands{Token: m.Token, Orders: orders})
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
	if n.owns(p.K) != p || m.Ordered() || m.Address == "" || n.pushesFull() {
		return // the next tick presses again
	}
	n.pushing++
	m.OrdersSent()
	orders := notNil(m.Orders(true, n.MayLaunch(), n.w.Now()))
	body := &wire.Commands{Token: m.Token, Session: max(m.Session, 1), Orders: orders}
	out, session, seq := &wire.Report{}, m.Session, m.Seq
	limit := min(2*time.Second, world.Seconds(n.s.Deployment.Workers.Report))
	n.w.Call(m.Address, "POST", "/orders", body, out, limit, func(status int) {
		n.pushing--
		// What is not this machine's report does not say what became of the orders.
		if status != 200 && status != 409 || out.Machine != m.ID || out.Check() != "" {
			m.OrdersLost(body.Token)
			// A machine that does not answer must not hold sockets that others need.
			m.Pause(n.w.Now() + limit<<min(m.Misses(), 4)/2 + time.Duration(n.w.Rand().Int64N(int64(limit)/2)))
			return
		}
		m.OrdersAnswered()
		if n.owns(p.K) != p || p.Machines[m.ID] != m {
			return
		}
		if out.Token > m.Token {
			if n.book.Given(out.Token) {
				n.book.Claim(lead.PartKey(p.K), false)
			}
			m.Pause(n.w.Now() + limit)
			return
		}
		n.answeredBy(p, m, out, session, seq)
		if status == 409 {
			m.Pause(n.w.Now() + limit/8)
		}
	})
}

// answeredBy takes a report that was made after a question; session and seq are of
// the newest one before it. One that is not newer is from a new life of the machine.
func (n *Node) answeredBy(p *part.Part, m *part.Machine, out *wire.Report, session, seq uint64) {
	if session > 0 && seq < math.MaxUint64 && !out.Newer(session, seq) {
		slog.Info("node: machine is back", "part", p.K, "machine", m.ID, "session", out.Session, "token", out.Token)
		m.Reborn(n.w.Now())
		return // it is given a token before anything it says is taken
	}
	p.Report(m, out, false)
}

// askMachine asks a machine how it is, after a report that is older than what is
// known: a late copy, or of a machine that is back under its name, whose reports
// would be taken for copies until they are numbered higher than those of its life
// before.
func (n *Node) askMachine(p *part.Part, m *part.Machine) {
	if m.Ordered() || m.Asked(n.w.Now(), n.reports()) || n.pushesFull() {
		return
	}
	session, seq := m.Session, m.Seq
	n.statusOf(m.ID, m.Address, func(out *wire.Report) {
		if out != nil && n.owns(p.K) == p && p.Machines[m.ID] == m {
			n.answeredBy(p, m, out, session, seq)
		}
	})
}

// pushesFull: no more machines are to be called for now.
func (n *Node) pushesFull() bool { return n.pushing >= n.s.Deployment.Limits.Sockets/8 }

// statusOf asks a machine how it is; nil: it did not answer, or another did.
func (n *Node) statusOf(id, addr string, done func(out *wire.Report)) {
	n.pushing++
	out := &wire.Report{}
	n.w.Call(addr, "GET", "/status", nil, out, min(2*time.Second, n.reports()), func(status int) {
		n.pushing--
		if status != 200 || out.Machine != id || out.Check() != "" {
			out = nil
		}
		done(out)
	})
}
