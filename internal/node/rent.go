package node

import (
	"fmt"
	"log/slog"
	"time"

	"curlewspool/internal/fleet"
	"curlewspool/internal/lead"
	"curlewspool/internal/mesh"
	"curlewspool/internal/part"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// This file puts the leader's questions to the cloud together, and what parts hear of it.

// Spared tells what the leader says of ordinary machines that were rented:
// spot jobs do without them.
func (n *Node) Spared() bool {
	if n.leads() {
		return n.fleet.Spared()
	}
	s := n.leaderSays()
	return s != nil && s.Spared
}

// leaderSays is the latest status of another controller that leads; nil: not heard.
func (n *Node) leaderSays() *mesh.Status {
	o := n.book.Owner(lead.Leader)
	if p := n.peers[o]; p != nil && n.heard(o) {
		return p.status
	}
	return nil
}

// spend counts what this controller's machines, and as a leader those that boot, have
// cost since it was asked last. What nobody owns meanwhile is nobody's.
func (n *Node) spend(now time.Duration) {
	took := min(now-n.spentAt, 4*n.heartbeat())
	n.spentAt = now
	n.eachPart(func(p *part.Part) {
		if n.owns(p.K) != nil {
			p.Spend(took, n.spent)
		}
	})
	if n.leads() {
		n.fleet.Spend(took, n.spent)
	}
	if now-n.spentTold >= time.Minute {
		n.spentTold = now
		slog.Info("node: spent", "by", n.spent.String())
	}
}

// Coming is what each part may expect of the machines that boot, as the leader says.
func (n *Node) Coming() (cores, in float64) {
	if n.leads() {
		cores, in = n.fleet.Coming()
	} else if s := n.leaderSays(); s != nil {
		cores, in = s.ComingCores, s.ComingS
	}
	return cores / float64(len(n.names)), in
}

// Wanted tells whether some queued work, of whatever part, could run on the machine; spot:
// also such as a spot machine would do.
func (n *Node) Wanted(m *part.Machine, spot bool) bool {
	for _, s := range n.statuses() {
		for _, g := range s.Gaps {
			if rec := n.jobs[g.Job]; rec != nil && (spot || !rec.Job.Spot) && part.Allows(&rec.Job, n.types[m.Type], m.Zone, m.Spot) {
				return true
			}
		}
	}
	return false
}

// noteLarge remembers the shapes for which machines are kept whole. Every
// controller sees all jobs, so all parts keep theirs.
func (n *Node) noteLarge(j *wire.Job) {
	if j.Shape != wire.Gang && j.Tasks > 1 || j.Rank < 0 {
		return
	}
	if len(n.large) >= 64 {
		oldest := ""
		for _, k := range sortedKeys(n.large) {
			if oldest == "" || n.large[k].Seen < n.large[oldest].Seen {
				oldest = k
			}
		}
		delete(n.large, oldest)
	}
	key := fmt.Sprintf("%s/%s/%v/%v", j.Class, j.Zone, j.Types, j.Cores)
	l := part.Large{Job: *j, Seen: n.w.Now()}
	l.Job.Tasks = max(j.Tasks, n.large[key].Job.Tasks) // of the largest one
	n.large[key] = l
}

// Large lists those shapes.
func (n *Node) Large() map[string]part.Large { return n.large }

// Spare tells whether of the same type and kind as many whole machines as the job takes
// have lower names (empty, or with what the job may stop without loss), in the
// zone with most of them if it may only be in one.
func (n *Node) Spare(m *part.Machine, j *wire.Job) bool {
	t := n.types[m.Type]
	if t == nil {
		return false
	}
	need, count, before := t.Machines(j), map[string]int{}, 0
	for _, s := range n.statuses() {
		for _, p := range s.Parts {
			for _, r := range p.Free {
				if !r.Whole || r.Type != m.Type || r.Spot != m.Spot {
					continue
				}
				zone := ""
				if j.OneZone {
					zone = r.Zone
				}
				count[zone]++
				if r.Machine < m.ID && (zone == "" || zone == m.Zone) {
					before++
				}
			}
		}
	}
	best := ""
	for _, z := range sortedKeys(count) {
		if best == "" || count[z] > count[best] {
			best = z
		}
	}
	if j.OneZone && best != m.Zone {
		return count[best] >= need
	}
	return before >= need
}

// freeIn counts, by zone, the tasks of a gang bound to zones that would start now in
// its part, of which s told.
func (n *Node) freeIn(s *mesh.Status, g *mesh.Gap, j *wire.Job) map[string]int {
	if j.Shape != wire.Gang || !j.OneZone && !j.Spread {
		return nil
	}
	free := map[string]int{}
	for _, p := range s.Parts {
		if p.Part == g.Part {
			for _, r := range p.Free {
				free[r.Zone] += part.RoomFor(n, j, r, false)
			}
		}
	}
	return free
}

func (n *Node) rent() {
	if len(n.types) == 0 {
		return
	}
	var gaps []fleet.Gap
	for _, s := range n.statuses() {
		for _, g := range s.Gaps {
			if rec := n.jobs[g.Job]; rec != nil {
				rec = n.Inherit(rec)
				gaps = append(gaps, fleet.Gap{Job: &rec.Job, Tasks: int(g.Tasks), Waited: n.Wall() - rec.At, Starts: g.StartsS, Due: n.Deadlines(&rec.Job),
					Free: n.freeIn(s, g, &rec.Job)})
			}
		}
	}
	var known []fleet.Known
	for _, id := range sortedKeys(n.machines) {
		known = append(known, fleet.Known{ID: id, Rec: n.machines[id]})
	}
	retiring := map[string]bool{}
	for _, s := range n.statuses() {
		for _, p := range s.Parts {
			for _, id := range p.Retiring {
				retiring[id] = true
			}
		}
	}
	var busy fleet.Busy
	for _, s := range n.statuses() {
		for _, p := range s.Parts {
			busy.Deaf += p.DeafCores
		}
	}
	for id, rec := range n.jobs {
		if rec.Loan != nil {
			continue // nothing is rented, or kept, for it
		}
		_, running, _ := n.Counts(id)
		cores := float64(running) * max(rec.Job.Cores, rec.Job.GPUs)
		if rec.Job.Spot {
			busy.Work += cores * rec.Job.Estimate / 2
		} else {
			busy.Cores += cores
		}
	}
	coming := func(rank int) float64 { return n.arrivals.Above(rank, world.Seconds(n.Wall())) }
	n.fleet.Tick(n.types, known, retiring, gaps, busy, coming, n.found, n.forget)
	n.enrol()
}
