package node

import (
	"curlewspool/internal/lead"
	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
)

// This file has machines lent to parts whose gangs are larger than they are, and
// chunks moved.

// lend finds machines in other parts for gangs that their own part is too
// small for: such a gang is in effect the head of all parts. So is the oldest of those
// that should have begun and find nothing free in theirs.
func (n *Node) lend() {
	statuses := n.statuses()
	n.short = nil
	var oldest, stuck *mesh.Gap
	at := func(g *mesh.Gap) float64 { return n.jobs[g.Job].At }
	for _, s := range statuses {
		for _, g := range s.Gaps {
			if n.jobs[g.Job] == nil || g.Short <= 0 && g.Late <= 0 {
				continue
			}
			if g.Short <= 0 && n.jobs[g.Job].Job.Shape == wire.Array && !n.limited(&n.jobs[g.Job].Job) {
				if stuck == nil || at(g) < at(stuck) {
					stuck = g
				}
				continue
			}
			if g.Short > 0 {
				n.short = append(n.short, g)
			}
			if oldest == nil || at(g) < at(oldest) {
				oldest = g
			}
		}
	}
	for _, g := range n.short {
		if g != oldest {
			n.lendFor(&n.jobs[g.Job].Job, g, int(g.Short), statuses, false)
		}
	}
	if oldest == nil {
		if stuck != nil {
			n.lendIdle(stuck, statuses)
		}
		return
	}
	if oldest.Short <= 0 { // what comes up meanwhile is for it, too
		n.short = append(n.short, oldest)
	}
	n.lendFor(&n.jobs[oldest.Job].Job, oldest, int(max(oldest.Short, oldest.Late)), statuses, n.Wall()-at(oldest) > n.s.Score.Begin/4)
}

// lendIdle asks for one machine for the rest of an array that has started: an empty one
// of a part in which nothing is queued.
func (n *Node) lendIdle(g *mesh.Gap, statuses []*mesh.Status) {
	j := &n.jobs[g.Job].Job
	for _, s := range statuses {
		for _, p := range s.Parts {
			if p.Part == g.Part || len(p.Load) == 0 || p.Load[0] > 0 {
				continue
			}
			for _, r := range p.Free {
				if r.Empty && (g.Zone == "" || g.Zone == r.Zone) && part.Allows(j, n.types[r.Type], r.Zone, r.Spot) {
					n.askToLend(int(p.Part), &mesh.Lend{Machine: r.Machine, To: g.Part})
					return
				}
			}
		}
	}
}

func (n *Node) askToLend(of int, l *mesh.Lend) {
	if o := n.book.Owner(lead.PartKey(of)); o == n.s.Name {
		n.lendOut(l)
	} else if o != "" {
		n.w.Send(o, &mesh.Envelope{Body: &mesh.Envelope_Lend{Lend: l}})
	}
}

// lendFor asks owners for machines for a gang; full: for such as have nothing free,
// too, which take nothing new until they are empty. (Where small tasks fill whole
// machines none is ever told as free, and a gang of five waited until they stopped
// coming.) That is for one gang at a time, the oldest, when it should have begun soon.
func (n *Node) lendFor(j *wire.Job, g *mesh.Gap, left int, statuses []*mesh.Status, full bool) {
	if t := n.s.Team(j.Team); t == nil || int(g.Part) >= len(n.names) {
		return
	}
	// The zone with the most machines to come from, for a job in one zone.
	zone, most := "", 0
	if j.OneZone {
		count := map[string]int{}
		for _, id := range sortedKeys(n.machines) {
			if m := n.machines[id]; part.Allows(j, n.types[m.Type], m.Zone, m.Spot) {
				count[m.Zone] += n.types[m.Type].Fits(j, j.Tasks)
			}
		}
		for _, z := range sortedKeys(count) {
			if count[z] > most {
				zone, most = z, count[z]
			}
		}
	}
	// A gang apart lacks room in some zones only: what its part has in each.
	there := map[string]int{}
	if j.Spread {
		for _, m := range n.machines {
			if m.Part == int(g.Part) && part.Allows(j, n.types[m.Type], m.Zone, m.Spot) {
				there[m.Zone] += n.types[m.Type].Fits(j, j.Tasks)
			}
		}
	}
	asked := map[string]bool{}
	one := func(id, typ, z string, spot bool, of int) {
		if left <= 0 || of == int(g.Part) || asked[id] || zone != "" && z != zone ||
			!part.Allows(j, n.types[typ], z, spot) || j.Spread && there[z] >= part.Half(j) {
			return
		}
		asked[id] = true
		k := n.types[typ].Fits(j, j.Tasks)
		there[z] += k
		left -= k
		n.askToLend(of, &mesh.Lend{Machine: id, To: g.Part})
	}
	for _, empty := range []bool{true, false} {
		for _, s := range statuses {
			for _, p := range s.Parts {
				for _, r := range p.Free {
					if r.Empty == empty {
						one(r.Machine, r.Type, r.Zone, r.Spot, int(p.Part))
					}
				}
			}
		}
	}
	if full && left > 0 {
		for _, id := range sortedKeys(n.machines) {
			m := n.machines[id]
			one(id, m.Type, m.Zone, m.Spot, m.Part)
		}
	}
}

func (n *Node) lendOut(l *mesh.Lend) {
	rec := n.machines[l.Machine]
	if rec == nil || int(l.To) < 0 || int(l.To) >= len(n.names) {
		return
	}
	if p := n.owns(rec.Part); p != nil {
		p.Lend(l.Machine, int(l.To))
	}
}

func (n *Node) moves() {
	var all []*mesh.PartStatus
	for _, s := range n.statuses() {
		all = append(all, s.Parts...)
	}
	n.eachPart(func(p *part.Part) {
		if n.owns(p.K) != nil {
			p.Move(all)
		}
	})
}
