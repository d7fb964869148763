package controller

import (
	"log/slog"

	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
)

// This file is the leader's choice of an owner for each part.

// assignShards sees that every part has an owner that is there.
func (c *Controller) assignShards() {
	now := c.env.Now()
	count := map[string]int{}
	crowd := c.ownerPopulation()
	for k := range c.controllerNames {
		if o := c.registry.OwnerOf(election.ShardKey(k)); o != "" {
			count[o]++
			crowd.machinesByOwner[o] += crowd.machinesByShard[k]
		}
	}
	there := func(name string) bool {
		if name == c.settings.Name {
			return !c.reachability.isUnreachable
		}
		p := c.peers[name]
		return now-p.lastReadyAt < 3*c.statusInterval() && !p.status.Unreachable
	}
	// better: a member is to have a part rather than another.
	better := func(m, than string, k int, zone string) bool {
		if a, b := crowd.hasRoomFor(m, k), crowd.hasRoomFor(than, k); a != b {
			return a
		}
		return c.isBetterOwner(m, than, zone, count)
	}
	for k, name := range c.controllerNames {
		o := c.registry.OwnerOf(election.ShardKey(k))
		if o != "" && !c.isAbsent(o) {
			continue
		}
		if o == "" && now-c.readySince < 2*c.statusInterval() {
			continue // others may still be starting
		}
		best, zone := "", crowd.homeZone(k, homeZoneShare)
		if there(name) && count[name] == 0 && (zone == "" || c.memberZone(name) == zone) && crowd.hasRoomFor(name, k) {
			best = name
		} else {
			for _, m := range c.controllerNames {
				if m != o && there(m) && (best == "" || better(m, best, k, zone)) {
					best = m
				}
			}
		}
		if best == "" {
			continue
		}
		count[best]++
		crowd.machinesByOwner[best] += crowd.machinesByShard[k]
		slog.Info("node: part is assigned", "part", k, "to", best, "from", o)
		if best == c.settings.Name {
			c.registry.Claim(election.ShardKey(k), o != "")
		} else {
			c.env.Send(best, &peermsg.Envelope{Body: &peermsg.Envelope_ShardAssignment{ShardAssignment: &peermsg.ShardAssignment{Shard: int32(k)}}})
		}
	}
	if now-c.lastReleaseAt < c.workerLease()/4 {
		return
	}
	// A member without a part gets one back from a member with several; a part
	// whose machines are mostly in one zone belongs to a member there.
	for k := range c.controllerNames {
		o, zone := c.registry.OwnerOf(election.ShardKey(k)), crowd.homeZone(k, handoverZoneShare)
		if o == "" || !there(o) || zone != "" && c.memberZone(o) == zone && crowd.machinesByOwner[o] <= crowd.maxPerOwner {
			continue
		}
		homeless := crowd.homeZone(k, homeZoneShare) == ""
		crowded := crowd.machinesByOwner[o] > crowd.maxPerOwner && count[o] > 1
		for _, m := range c.controllerNames {
			if m == o || !there(m) || now-c.memberReadySince(m) < c.workerLease()/4 {
				continue
			}
			fits := crowd.hasRoomFor(m, k)
			// Back to its zone only with room to spare, or it would come and go
			// with each machine.
			spare := 4*(crowd.machinesByOwner[m]+crowd.machinesByShard[k]) <= 3*crowd.maxPerOwner
			if zone != "" && c.memberZone(m) == zone && c.memberZone(o) != zone && spare || homeless && count[m] == 0 && count[o] > 1 || crowded && fits {
				c.lastReleaseAt = now
				if o == c.settings.Name {
					c.releaseShard(k)
				} else {
					c.env.Send(o, &peermsg.Envelope{Body: &peermsg.Envelope_ShardRelease{ShardRelease: &peermsg.ShardRelease{Shard: int32(k)}}})
				}
				return
			}
		}
	}
}

// ownerPopulation are the machines of each part and owner, and how many an owner may have
// before its zone counts for less than its sockets: each machine holds one, and
// another while it is ordered directly; a quarter is users'.
type ownerPopulation struct {
	machinesByShard []int
	coresByZone     []map[string]float64 // of each part, by zone, of known types
	typedMachines   []int                // machines that those are of
	machinesByOwner map[string]int
	maxPerOwner     int
}

// hasRoomFor: the member may have the part as well.
func (p *ownerPopulation) hasRoomFor(member string, shardID int) bool {
	return p.machinesByOwner[member]+p.machinesByShard[shardID] <= p.maxPerOwner
}

func (c *Controller) ownerPopulation() ownerPopulation {
	parts := len(c.controllerNames)
	population := ownerPopulation{machinesByShard: make([]int, parts), coresByZone: make([]map[string]float64, parts), typedMachines: make([]int, parts), machinesByOwner: map[string]int{},
		maxPerOwner: c.settings.Deployment.Limits.Sockets / 2}
	for k := range population.coresByZone {
		population.coresByZone[k] = map[string]float64{}
	}
	for _, m := range c.machines {
		if m.Shard < 0 || m.Shard >= parts {
			continue
		}
		population.machinesByShard[m.Shard]++
		if t := c.machineTypes[m.Type]; t != nil {
			population.coresByZone[m.Shard][m.Zone] += t.Cores
			population.typedMachines[m.Shard]++
		}
	}
	return population
}

// A part's home is the zone with this share of its cores. A part changes hands
// only for a larger one, so that owners do not change with every machine.
const homeZoneShare, handoverZoneShare = 0.6, 0.8

// homeZone is the zone that has most of a part's cores, if one has by far:
// with an owner there, a cut between zones does not part it from them.
func (p *ownerPopulation) homeZone(shardID int, share float64) string {
	total := 0.0
	for _, cores := range p.coresByZone[shardID] {
		total += cores
	}
	for zone, cores := range p.coresByZone[shardID] {
		if p.typedMachines[shardID] > 1 && cores > share*total {
			return zone
		}
	}
	return ""
}

// isBetterOwner: m is a better owner than b for a part that belongs to the zone.
func (c *Controller) isBetterOwner(candidate, best, zone string, count map[string]int) bool {
	if zone != "" && (c.memberZone(candidate) == zone) != (c.memberZone(best) == zone) {
		return c.memberZone(candidate) == zone
	}
	return count[candidate] < count[best]
}
