package node

import (
	"log/slog"
	"time"

	"curlewspool/internal/lead"
	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// hearing follows whether workers reach this controller. One that lost only its
// workers is ready in everybody's eyes and would keep its parts while all their
// leases run out: the others answer 421 with its name. They say whose machines
// come to them instead; it then gives its parts up, and takes none until a
// worker answers it again. (On days of the fleet's size 284 machines lost their
// leases, and 800 tasks their work, to one such controller.)
type hearing struct {
	others map[string]seenAt // machines of others' parts: when they last reported here
	deaf   bool
	asking bool
}

// seenAt is a report and when it came. A late copy of one that came before says
// nothing of who reaches whom now.
type seenAt struct {
	session, seq uint64
	at           time.Duration
}

// heard notes a report that came here; ours: of a machine of a part owned here.
// (Were those noted, too, a part that is given up on purpose would be given back
// at once, as its machines seem to prefer this controller.)
func (h *hearing) heard(r *wire.Report, ours bool, now time.Duration) {
	if h.others == nil {
		h.others = map[string]seenAt{}
	}
	was := h.others[r.Machine]
	switch {
	case !r.Newer(was.session, was.seq):
		return
	case ours:
		delete(h.others, r.Machine)
	default:
		h.others[r.Machine] = seenAt{r.Session, r.Seq, now}
	}
	h.deaf = false
}

func (n *Node) reports() time.Duration { return world.Seconds(n.s.Deployment.Workers.Report) }

// round is how long a machine that nobody answers takes from one controller through
// all others back to it.
func (n *Node) round() time.Duration {
	return time.Duration(len(n.names)+1) * (wire.AnswerWithin + wire.NextAfter)
}

// counts tells whose machines came here of late, by part; what is older is
// forgotten.
func (h *hearing) counts(n *Node) []*mesh.Hears {
	now := n.w.Now()
	count := make([]int32, len(n.names))
	for id, seen := range h.others {
		m := n.machines[id]
		if now-seen.at > 2*n.lease() || m == nil { // after that a copy may count once
			delete(h.others, id)
			continue
		}
		if now-seen.at > 2*n.reports() {
			continue
		}
		if m.Part >= 0 && m.Part < len(count) && n.parts[m.Part] == nil {
			count[m.Part]++
		}
	}
	var out []*mesh.Hears
	for k, c := range count {
		if c > 0 {
			out = append(out, &mesh.Hears{Part: int32(k), Machines: c})
		}
	}
	return out
}

// heardBy names the controller that most machines of a part go to, other than
// its owner, and tells whether they are at least half of it.
func (n *Node) heardBy(k int) (name string, many bool) {
	best, all := 0, 0
	see := func(who string, s *mesh.Status) {
		for _, h := range s.Hears {
			if int(h.Part) == k && int(h.Machines) > best {
				name, best = who, int(h.Machines)
			}
		}
	}
	for _, who := range sortedKeys(n.peers) {
		if p := n.peers[who]; p.status != nil && n.heard(who) {
			see(who, p.status)
		}
	}
	if n.status != nil {
		see(n.s.Name, n.status)
	}
	if best == 0 {
		return "", false // as nearly always: no walk over the machines
	}
	for _, m := range n.machines {
		if m.Part == k {
			all++
		}
	}
	return name, all > 0 && 2*best >= all
}

// missed tells whether the machines of some part of a controller go to others.
func (n *Node) missed(owner string) bool {
	for k := range n.names {
		if n.book.Owner(lead.PartKey(k)) == owner {
			if by, many := n.heardBy(k); many && by != owner {
				return true
			}
		}
	}
	return false
}

// listen gives up the parts whose machines do not reach this controller and do
// reach another.
func (n *Node) listen() {
	now := n.w.Now()
	n.eachPart(func(p *part.Part) {
		if n.owns(p.K) == nil || now-p.Since() < n.lease()/2 {
			return
		}
		all, here := 0, 0
		for _, m := range p.Machines {
			// A machine that hears nobody goes from one controller to the next with its
			// reports, this one among them: it says nothing of this one's hearing. (A
			// part of deaf machines went from owner to owner for as long as they were.)
			switch is := now - m.Here; {
			case m.Session == 0 && is < n.round(), m.Session > 0 && (!m.Hears() || is < n.lease()/2):
				continue
			case now-m.LastReport < n.reports()*3/2:
				here++
			}
			all++
		}
		if by, many := n.heardBy(p.K); many && 4*here < all && by != n.s.Name && n.release(p.K) {
			slog.Info("node: machines do not reach this controller", "part", p.K, "machines", all, "heard", here, "reach", by)
			n.hearing.deaf = true
		}
	})
	if n.hearing.deaf {
		n.askAround()
	}
}

// askAround asks some machine how it is, so that a controller that was deaf
// knows when it no longer is.
func (n *Node) askAround() {
	if n.hearing.asking || len(n.machines) == 0 {
		return
	}
	ids := sortedKeys(n.machines)
	addr := n.machines[ids[n.w.Rand().IntN(len(ids))]].Address
	n.hearing.asking = true
	n.w.Call(addr, "GET", "/status", nil, &wire.Report{}, min(2*time.Second, n.reports()), func(status int) {
		n.hearing.asking = false
		if status == 200 && n.hearing.deaf {
			slog.Info("node: machines answer again")
			n.hearing.deaf = false
		}
	})
}
