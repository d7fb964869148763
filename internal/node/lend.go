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
// small for: such a gang is in effect the head of all parts.
func (n *Node) lend() {
	statuses := n.statuses()
	n.short = nil
	for _, s := range statuses {
		for _, g := range s.Gaps {
			rec := n.jobs[g.Job]
			if g.Short <= 0 || rec == nil {
				continue
			}
			n.short = append(n.short, g)
			n.lendFor(&rec.Job, g, statuses)
		}
	}
}

func (n *Node) lendFor(j *wire.Job, g *mesh.Gap, statuses []*mesh.Status) {
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
	left := int(g.Short)
	ask := func(empty bool) {
		for _, s := range statuses {
			for _, p := range s.Parts {
				for _, r := range p.Free {
					if left <= 0 || p.Part == g.Part || r.Empty != empty || zone != "" && r.Zone != zone ||
						!part.Allows(j, n.types[r.Type], r.Zone, r.Spot) || j.Spread && there[r.Zone] >= part.Half(j) {
						continue
					}
					k := n.types[r.Type].Fits(j, j.Tasks)
					there[r.Zone] += k
					left -= k
					l := &mesh.Lend{Machine: r.Machine, To: g.Part}
					if o := n.book.Owner(lead.PartKey(int(p.Part))); o == n.s.Name {
						n.lendOut(l)
					} else if o != "" {
						n.w.Send(o, &mesh.Envelope{Body: &mesh.Envelope_Lend{Lend: l}})
					}
				}
			}
		}
	}
	ask(true)
	ask(false)
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
