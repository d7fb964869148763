package node

import (
	"log/slog"

	"curlewspool/internal/lead"
	"curlewspool/internal/mesh"
)

// This file is the leader's choice of an owner for each part.

// assign sees that every part has an owner that is there.
func (n *Node) assign() {
	now := n.w.Now()
	count := map[string]int{}
	crowd := n.crowds()
	for k := range n.names {
		if o := n.book.Owner(lead.PartKey(k)); o != "" {
			count[o]++
			crowd.machines[o] += crowd.sizes[k]
		}
	}
	there := func(name string) bool {
		if name == n.s.Name {
			return !n.hearing.deaf
		}
		p := n.peers[name]
		return now-p.ready < 3*n.heartbeat() && !p.status.Deaf
	}
	// better: a member is to have a part rather than another.
	better := func(m, than string, k int, zone string) bool {
		if a, b := crowd.fits(m, k), crowd.fits(than, k); a != b {
			return a
		}
		return n.fitter(m, than, zone, count)
	}
	for k, name := range n.names {
		o := n.book.Owner(lead.PartKey(k))
		if o != "" && !n.absent(o) {
			continue
		}
		if o == "" && now-n.goodFor < 2*n.heartbeat() {
			continue // others may still be starting
		}
		best, zone := "", crowd.homeZone(k, home)
		if there(name) && count[name] == 0 && (zone == "" || n.zoneOf(name) == zone) && crowd.fits(name, k) {
			best = name
		} else {
			for _, m := range n.names {
				if m != o && there(m) && (best == "" || better(m, best, k, zone)) {
					best = m
				}
			}
		}
		if best == "" {
			continue
		}
		count[best]++
		crowd.machines[best] += crowd.sizes[k]
		slog.Info("node: part is assigned", "part", k, "to", best, "from", o)
		if best == n.s.Name {
			n.book.Claim(lead.PartKey(k), o != "")
		} else {
			n.w.Send(best, &mesh.Envelope{Body: &mesh.Envelope_Assign{Assign: &mesh.Assign{Part: int32(k)}}})
		}
	}
	if now-n.released < n.lease()/4 {
		return
	}
	// A member without a part gets one back from a member with several; a part
	// whose machines are mostly in one zone belongs to a member there.
	for k := range n.names {
		o, zone := n.book.Owner(lead.PartKey(k)), crowd.homeZone(k, farHome)
		if o == "" || !there(o) || zone != "" && n.zoneOf(o) == zone && crowd.machines[o] <= crowd.most {
			continue
		}
		homeless := crowd.homeZone(k, home) == ""
		crowded := crowd.machines[o] > crowd.most && count[o] > 1
		for _, m := range n.names {
			if m == o || !there(m) || now-n.since(m) < n.lease()/4 {
				continue
			}
			fits := crowd.fits(m, k)
			// Back to its zone only with room to spare, or it would come and go
			// with each machine.
			spare := 4*(crowd.machines[m]+crowd.sizes[k]) <= 3*crowd.most
			if zone != "" && n.zoneOf(m) == zone && n.zoneOf(o) != zone && spare || homeless && count[m] == 0 && count[o] > 1 || crowded && fits {
				n.released = now
				if o == n.s.Name {
					n.release(k)
				} else {
					n.w.Send(o, &mesh.Envelope{Body: &mesh.Envelope_Release{Release: &mesh.Release{Part: int32(k)}}})
				}
				return
			}
		}
	}
}

// crowds are the machines of each part and owner, and how many an owner may have
// before its zone counts for less than its sockets: each machine holds one, and
// another while it is ordered directly; a quarter is users'.
type crowds struct {
	sizes    []int
	cores    []map[string]float64 // of each part, by zone, of known types
	typed    []int                // machines that those are of
	machines map[string]int
	most     int
}

// fits: the member may have the part as well.
func (c *crowds) fits(name string, k int) bool { return c.machines[name]+c.sizes[k] <= c.most }

func (n *Node) crowds() crowds {
	parts := len(n.names)
	c := crowds{sizes: make([]int, parts), cores: make([]map[string]float64, parts), typed: make([]int, parts), machines: map[string]int{},
		most: n.s.Deployment.Limits.Sockets / 2}
	for k := range c.cores {
		c.cores[k] = map[string]float64{}
	}
	for _, m := range n.machines {
		if m.Part < 0 || m.Part >= parts {
			continue
		}
		c.sizes[m.Part]++
		if t := n.types[m.Type]; t != nil {
			c.cores[m.Part][m.Zone] += t.Cores
			c.typed[m.Part]++
		}
	}
	return c
}

// A part's home is the zone with this share of its cores. A part changes hands
// only for a larger one, so that owners do not change with every machine.
const home, farHome = 0.6, 0.8

// homeZone is the zone that has most of a part's cores, if one has by far:
// with an owner there, a cut between zones does not part it from them.
func (c *crowds) homeZone(k int, share float64) string {
	all := 0.0
	for _, cores := range c.cores[k] {
		all += cores
	}
	for z, cores := range c.cores[k] {
		if c.typed[k] > 1 && cores > share*all {
			return z
		}
	}
	return ""
}

// fitter: m is a better owner than b for a part that belongs to the zone.
func (n *Node) fitter(m, b, zone string, count map[string]int) bool {
	if zone != "" && (n.zoneOf(m) == zone) != (n.zoneOf(b) == zone) {
		return n.zoneOf(m) == zone
	}
	return count[m] < count[b]
}
