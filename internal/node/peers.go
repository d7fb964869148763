package node

import (
	"slices"
	"time"

	"curlewspool/internal/lead"
	"curlewspool/internal/ledger"
	"curlewspool/internal/mesh"
	"curlewspool/internal/wire"
)

// This file follows the other controllers.

type peer struct {
	heard  time.Duration // of its latest status
	since  time.Duration // ready without a break since
	ready  time.Duration // of its latest status that said ready
	good   time.Duration // the latest moment at which the state service is known to have answered it
	sign   time.Duration // of its latest sign of life in the state service
	mute   bool          // it left a question unanswered and has said nothing since
	status *mesh.Status
	life   uint64   // of its process
	dead   []uint64 // of those before, the latest ones
}

// dead processes remembered of a member.
const deadKept = 8

// lives follows a member's process by what it calls itself; false: the message is of
// one that has ended. (Back within a fraction of a second, a process was never
// seen to be gone; what its predecessor sent may still be on the way.)
func (p *peer) lives(life uint64, now time.Duration) bool {
	if life == p.life {
		return true
	}
	if slices.Contains(p.dead, life) {
		return false
	}
	if p.life != 0 {
		p.dead = append(p.dead, p.life)
		p.dead = p.dead[max(0, len(p.dead)-deadKept):]
		p.since = now
	}
	p.life = life
	return true
}

// absent: not heard as ready for long, though this controller has been.
func (n *Node) absent(name string) bool {
	p := n.peers[name]
	if p == nil {
		return name != n.s.Name
	}
	now := n.w.Now()
	limit := time.Duration(float64(n.lease()) * n.s.Grants.Absent)
	if n.missed(name) {
		// Its workers' leases are running out. More than the time in which a
		// process is restarted, which then takes its own back.
		limit = limit * 7 / 10
	}
	if !n.ready() {
		return false
	}
	// It says itself that the state service has not answered it for long, while
	// this controller is answered, and has been for longer than others take to
	// find that an outage is over. Waiting as for one that is not heard would
	// leave its part still for half a minute after an outage.
	if p.status != nil && n.heard(name) && !p.status.Ready && p.status.StateAgeMs > 0 &&
		now-p.good > n.lease()/4 && now-n.goodFor > n.lease()/8 {
		return true
	}
	return now-max(p.ready, p.sign) > limit && now-n.goodFor > limit
}

// heard tells whether a member's messages arrive.
func (n *Node) heard(name string) bool {
	p := n.peers[name]
	return p == nil || n.w.Now()-p.heard < 3*n.heartbeat()
}

// isolated: neither the state service nor any other controller is heard, though its
// workers and users may be.
func (n *Node) isolated() bool {
	now, limit := n.w.Now(), 4*n.heartbeat()
	if _, bad := n.l.Good(); bad == 0 || now-bad < limit || len(n.peers) == 0 {
		return false
	}
	for _, p := range n.peers {
		if now-p.heard < limit {
			return false
		}
	}
	return true
}

func signKey(name string) string { return "a/h/" + name }

type sign struct {
	W string `cbor:"w"`
}

// signs: while it does not hear some member, a controller leaves signs of
// life in the state service. A zone that is cut off with a controller inside
// goes on working; taking its parts away would only end the leases of workers
// that nobody else reaches.
func (n *Node) signs(now time.Duration) {
	all := true
	for name := range n.peers {
		all = all && n.heard(name)
	}
	if all || !n.ready() || n.signing || now-n.signed < n.lease()/12 {
		return
	}
	n.signing, n.signed = true, now
	key := signKey(n.s.Name)
	n.l.Write(ledger.Soon, &ledger.Write{
		Build: func(nonce string) ([]wire.Cond, []wire.Op) {
			return []wire.Cond{n.l.Stamp(key)}, []wire.Op{{Put: key, Value: wire.Encode(&sign{W: nonce}), Lease: n.l.Grant.ID}}
		},
		Done: func(bool, uint64) { n.signing = false },
	})
}

// since is when a member became ready, as far as is known here.
func (n *Node) since(name string) time.Duration {
	if p := n.peers[name]; p != nil {
		return p.since
	}
	return n.goodFor
}

func (n *Node) zoneOf(name string) string {
	for _, m := range n.s.Members {
		if m.Name == name {
			return m.Zone
		}
	}
	return n.s.Zone
}

// statuses are what the members that are heard told last, and this controller's.
func (n *Node) statuses() []*mesh.Status {
	var out []*mesh.Status
	for _, name := range sortedKeys(n.peers) {
		if p := n.peers[name]; p.status != nil && n.heard(name) {
			out = append(out, p.status)
		}
	}
	if n.status != nil {
		out = append(out, n.status)
	}
	return out
}

// Heard takes a message from another controller.
func (n *Node) Heard(e *mesh.Envelope) {
	p := n.peers[e.From]
	if p == nil {
		return
	}
	now := n.w.Now()
	if !p.lives(e.Life, now) {
		return
	}
	p.mute = false
	switch b := e.Body.(type) {
	case *mesh.Envelope_Status:
		p.heard, p.status = now, b.Status
		if age := b.Status.StateAgeMs; age > 0 {
			p.good = max(p.good, now-time.Duration(age)*time.Millisecond)
		}
		if b.Status.Ready {
			if now-p.ready > 3*n.heartbeat() {
				p.since = now
			}
			p.ready = now
		}
		n.learnSlots(b.Status)
	case *mesh.Envelope_Ask:
		j := &wire.Job{}
		if !n.leads() || wire.Decode(b.Ask.Job, j) != nil || j.Tasks < 1 {
			return
		}
		rank, chunk, parts := n.choose(j)
		a := &mesh.Answer{Id: b.Ask.Id, Rank: int32(rank), Chunk: int32(chunk)}
		for _, k := range parts {
			a.Parts = append(a.Parts, int32(k))
		}
		n.w.Send(e.From, &mesh.Envelope{Body: &mesh.Envelope_Answer{Answer: a}})
	case *mesh.Envelope_Answer:
		if f := n.asks[b.Answer.Id]; f != nil && len(b.Answer.Parts) > 0 {
			delete(n.asks, b.Answer.Id)
			f(b.Answer)
		}
	case *mesh.Envelope_Assign:
		k := int(b.Assign.Part)
		if k < 0 || k >= len(n.names) || n.book.Owner(lead.Leader) != e.From || n.hearing.deaf {
			return
		}
		key := lead.PartKey(k)
		if o := n.book.Owner(key); o != n.s.Name {
			n.book.Claim(key, o != "")
		}
	case *mesh.Envelope_Release:
		if n.book.Owner(lead.Leader) == e.From {
			n.release(int(b.Release.Part))
		}
	case *mesh.Envelope_Lend:
		if n.book.Owner(lead.Leader) == e.From {
			n.lendOut(b.Lend)
		}
	case *mesh.Envelope_LendOut:
		if n.book.Owner(lead.Leader) == e.From {
			n.orderHere(orderOf(b.LendOut))
		}
	case *mesh.Envelope_Vouch:
		if len(b.Vouch.Keys) > 0 {
			n.vouchFor(e.From, b.Vouch)
		} else {
			n.vouched(e.From, b.Vouch)
		}
	case *mesh.Envelope_News:
		if b.News.Withdrawn {
			n.calledOff(b.News.Job, b.News.Cause)
		}
		n.l.Refresh()
	}
}
