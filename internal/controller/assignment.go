package controller

import (
	"log/slog"
	"time"

	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
)

// This file holds the leader's assignment of shards to owners. Methods of assignmentRound make
// the decisions and change nothing outside the round; methods of Controller carry them out.

const (
	// homeZoneShare is the fraction of a shard's cores that a zone must exceed to count as the
	// shard's home zone when a new owner is chosen.
	homeZoneShare = 0.6
	// handoverZoneShare is the fraction that a zone must exceed for the shard to be handed over to
	// an owner in that zone. It is larger than homeZoneShare, so that ownership does not change
	// with every machine that is added or removed.
	handoverZoneShare = 0.8
)

// ownerCandidate describes a controller that the leader may assign shards to.
type ownerCandidate struct {
	name        string
	zone        string
	isAvailable bool // it is ready, and machines can reach it
	isStable    bool // it has been ready for at least handoverInterval
}

// assignmentRound holds the leader's view of shards and owners during one assignment round.
// A shard that is assigned in the round is counted for its new owner immediately.
type assignmentRound struct {
	candidates       []ownerCandidate     // in configuration order; candidate i is the default owner of shard i
	machinesByShard  []int                // per shard: number of machines
	typedMachines    []int                // per shard: number of machines whose type is in the catalog
	coresByZone      []map[string]float64 // per shard: cores of the machines whose type is in the catalog, by zone
	shardsByOwner    map[string]int
	machinesByOwner  map[string]int
	maxMachinesOwned int // an owner with more machines is overloaded, and may have to release even shards of its own zone
}

// assignShards assigns each shard that needs a new owner, and asks at most one owner to release a
// shard that should move to a better owner.
func (c *Controller) assignShards() {
	now := c.env.Now()
	round := c.newAssignmentRound(now)
	for shardID := range c.controllerNames {
		if c.needsNewOwner(shardID, now) {
			c.assignShard(round, shardID)
		}
	}
	if now-c.lastReleaseAt < c.handoverInterval() {
		return
	}
	for shardID := range c.controllerNames {
		owner := round.candidate(c.registry.OwnerOf(election.ShardKey(shardID)))
		if owner != nil && round.shouldHandOver(shardID, owner) {
			c.lastReleaseAt = now
			c.requestRelease(shardID, owner.name)
			return
		}
	}
}

// handoverInterval returns the minimum time between two handovers. It is also the time for
// which a controller must have been ready before a shard is handed over to it.
func (c *Controller) handoverInterval() time.Duration { return c.machineLease() / 4 }

// startupGrace returns how long a new leader waits for the other controllers to start and to
// reclaim the shards that they owned.
func (c *Controller) startupGrace() time.Duration { return 2 * c.statusInterval() }

// newAssignmentRound collects the candidates, the machines of each shard and the owners.
func (c *Controller) newAssignmentRound(now time.Duration) *assignmentRound {
	shardCount := len(c.controllerNames)
	round := &assignmentRound{
		machinesByShard: make([]int, shardCount),
		typedMachines:   make([]int, shardCount),
		coresByZone:     make([]map[string]float64, shardCount),
		shardsByOwner:   map[string]int{},
		machinesByOwner: map[string]int{},
		// Half of the sockets are for the machines' reports, one for each machine. Outgoing
		// requests, including the commands to machines, use at most a quarter of the sockets. The
		// last quarter is left for users.
		maxMachinesOwned: c.settings.Deployment.Limits.Sockets / 2,
	}
	for _, name := range c.controllerNames {
		round.candidates = append(round.candidates, ownerCandidate{
			name:        name,
			zone:        c.members.zoneOf(name),
			isAvailable: c.isAvailableOwner(name, now),
			isStable:    now-c.memberReadySince(name) >= c.handoverInterval(),
		})
	}
	c.countMachines(round)
	for shardID := range c.controllerNames {
		if owner := c.registry.OwnerOf(election.ShardKey(shardID)); owner != "" {
			round.assign(shardID, owner)
		}
	}
	return round
}

// countMachines counts the machines and cores of each shard for the round.
func (c *Controller) countMachines(round *assignmentRound) {
	for shardID := range round.coresByZone {
		round.coresByZone[shardID] = map[string]float64{}
	}
	for _, machine := range c.machines {
		if machine.Shard < 0 || machine.Shard >= len(round.machinesByShard) {
			continue
		}
		round.machinesByShard[machine.Shard]++
		if machineType := c.machineTypes[machine.Type]; machineType != nil {
			round.coresByZone[machine.Shard][machine.Zone] += machineType.Cores
			round.typedMachines[machine.Shard]++
		}
	}
}

// isAvailableOwner reports whether a controller is ready and machines can reach it. This
// controller, as the leader, counts as ready.
func (c *Controller) isAvailableOwner(name string, now time.Duration) bool {
	if name == c.settings.Name {
		return !c.reachability.isUnreachable
	}
	member := c.members.peers[name]
	return now-member.lastReadyAt < c.members.aliveTimeout() && !member.status.Unreachable
}

// needsNewOwner reports whether a shard needs a new owner: either its owner is absent, or it has
// none although the other controllers have had time to start and to reclaim their shards.
func (c *Controller) needsNewOwner(shardID int, now time.Duration) bool {
	owner := c.registry.OwnerOf(election.ShardKey(shardID))
	if owner == "" {
		return now-c.readySince >= c.startupGrace()
	}
	return c.isAbsent(owner)
}

// assignShard chooses a new owner for a shard and makes it claim the shard. If no candidate is
// available, the shard stays without an owner until the next round.
func (c *Controller) assignShard(round *assignmentRound, shardID int) {
	key := election.ShardKey(shardID)
	previous := c.registry.OwnerOf(key)
	owner := round.chooseOwner(shardID, previous)
	if owner == "" {
		return
	}
	round.assign(shardID, owner)
	slog.Info("controller: shard assigned", "shard", shardID, "to", owner, "from", previous)
	if owner == c.settings.Name {
		c.registry.Claim(key, previous != "")
		return
	}
	assignment := &peermsg.ShardAssignment{Shard: int32(shardID)}
	c.env.Send(owner, &peermsg.Envelope{Body: &peermsg.Envelope_ShardAssignment{ShardAssignment: assignment}})
}

// requestRelease asks the owner of a shard to release it. The next round finds the shard
// without an owner and assigns it.
func (c *Controller) requestRelease(shardID int, owner string) {
	if owner == c.settings.Name {
		c.releaseShard(shardID)
		return
	}
	release := &peermsg.ShardRelease{Shard: int32(shardID)}
	c.env.Send(owner, &peermsg.Envelope{Body: &peermsg.Envelope_ShardRelease{ShardRelease: release}})
}

// assign counts a shard and its machines toward an owner.
func (r *assignmentRound) assign(shardID int, owner string) {
	r.shardsByOwner[owner]++
	r.machinesByOwner[owner] += r.machinesByShard[shardID]
}

// candidate returns the candidate with the given name, or nil if there is none.
func (r *assignmentRound) candidate(name string) *ownerCandidate {
	for i := range r.candidates {
		if r.candidates[i].name == name {
			return &r.candidates[i]
		}
	}
	return nil
}

// chooseOwner chooses the owner of a shard that has none or whose previous owner is absent. It
// chooses the default owner if that is suitable, otherwise the best available candidate other than
// the previous owner. It returns "" if there is no such candidate.
func (r *assignmentRound) chooseOwner(shardID int, previous string) string {
	zone := r.homeZone(shardID, homeZoneShare)
	if r.isDefaultOwnerSuitable(shardID, zone) {
		return r.candidates[shardID].name
	}
	var best *ownerCandidate
	for i := range r.candidates {
		candidate := &r.candidates[i]
		if candidate.name == previous || !candidate.isAvailable {
			continue
		}
		if best == nil || r.isBetterOwner(candidate, best, shardID, zone) {
			best = candidate
		}
	}
	if best == nil {
		return ""
	}
	return best.name
}

// isDefaultOwnerSuitable reports whether a shard may be assigned to its default owner. The default
// owner must be available, own no shard yet, have capacity for the shard, and be in the shard's
// home zone if there is one.
func (r *assignmentRound) isDefaultOwnerSuitable(shardID int, homeZone string) bool {
	owner := &r.candidates[shardID]
	isInZone := homeZone == "" || owner.zone == homeZone
	return owner.isAvailable && r.shardsByOwner[owner.name] == 0 && isInZone && r.hasCapacityFor(owner.name, shardID)
}

// isBetterOwner reports whether candidate is a better owner of a shard than best. The first
// criterion is capacity for the shard's machines, the second is the zone, and the third is the
// number of shards owned.
func (r *assignmentRound) isBetterOwner(candidate, best *ownerCandidate, shardID int, homeZone string) bool {
	candidateHasCapacity, bestHasCapacity := r.hasCapacityFor(candidate.name, shardID), r.hasCapacityFor(best.name, shardID)
	if candidateHasCapacity != bestHasCapacity {
		return candidateHasCapacity
	}
	candidateInZone, bestInZone := candidate.zone == homeZone, best.zone == homeZone
	if homeZone != "" && candidateInZone != bestInZone {
		return candidateInZone
	}
	return r.shardsByOwner[candidate.name] < r.shardsByOwner[best.name]
}

// shouldHandOver reports whether an owner should release a shard because another controller is
// a better owner. A shard moves to its home zone, away from an overloaded owner, or from an
// owner of several shards to a controller that owns none.
func (r *assignmentRound) shouldHandOver(shardID int, owner *ownerCandidate) bool {
	if !owner.isAvailable {
		return false
	}
	zone := r.homeZone(shardID, handoverZoneShare)
	if zone != "" && owner.zone == zone && !r.isOverloaded(owner.name) {
		return false
	}
	for i := range r.candidates {
		candidate := &r.candidates[i]
		if candidate.name == owner.name || !candidate.isAvailable || !candidate.isStable {
			continue
		}
		if r.shouldMoveTo(candidate, owner, shardID, zone) {
			return true
		}
	}
	return false
}

// shouldMoveTo reports whether a shard should move from its owner to the candidate.
func (r *assignmentRound) shouldMoveTo(candidate, owner *ownerCandidate, shardID int, homeZone string) bool {
	ownsSeveral := r.shardsByOwner[owner.name] > 1
	movesToHomeZone := homeZone != "" && candidate.zone == homeZone && owner.zone != homeZone
	switch {
	case movesToHomeZone && r.hasAmpleCapacityFor(candidate.name, shardID):
		return true
	case r.shardsByOwner[candidate.name] == 0 && ownsSeveral && r.homeZone(shardID, homeZoneShare) == "":
		return true
	default:
		return r.isOverloaded(owner.name) && ownsSeveral && r.hasCapacityFor(candidate.name, shardID)
	}
}

// isOverloaded reports whether an owner has more machines than its sockets allow.
func (r *assignmentRound) isOverloaded(owner string) bool {
	return r.machinesByOwner[owner] > r.maxMachinesOwned
}

// hasCapacityFor reports whether a controller can own a shard in addition to the shards that
// it already owns.
func (r *assignmentRound) hasCapacityFor(owner string, shardID int) bool {
	return r.machinesByOwner[owner]+r.machinesByShard[shardID] <= r.maxMachinesOwned
}

// hasAmpleCapacityFor is like hasCapacityFor, but a quarter of the capacity must remain free.
// Without this margin, a shard that has moved to its home zone would move away and back whenever a
// machine is added or removed.
func (r *assignmentRound) hasAmpleCapacityFor(owner string, shardID int) bool {
	return 4*(r.machinesByOwner[owner]+r.machinesByShard[shardID]) <= 3*r.maxMachinesOwned
}

// homeZone returns the zone that has more than the given share of a shard's cores. It returns "" if
// there is none, or if the shard has at most one machine whose type is in the catalog. With an
// owner in the home zone, a network partition between zones does not separate the owner from most
// of the shard's machines.
func (r *assignmentRound) homeZone(shardID int, share float64) string {
	if r.typedMachines[shardID] <= 1 {
		return ""
	}
	total := 0.0
	for _, cores := range r.coresByZone[shardID] {
		total += cores
	}
	for zone, cores := range r.coresByZone[shardID] {
		if cores > share*total {
			return zone
		}
	}
	return ""
}
