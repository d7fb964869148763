package controller

import (
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file chooses the shard of a new machine.

// maxShardImbalance is the fraction by which a shard's cores may exceed an equal share, so that
// similar machines, and machines of one zone, can be placed in the same shard.
const maxShardImbalance = 1.0 / 8

// shardSuitability orders shards by how well they suit a machine, from worst to best.
type shardSuitability int

const (
	shardOverfull            shardSuitability = iota // its coresOfKind would exceed maxCores if half of the machine's cores were added
	shardOther                                       // none of the cases below
	shardEmpty                                       // the shard has no machines
	shardEmptyInZone                                 // the shard has no machines, and its default owner is in the machine's zone
	shardMostlyInZone                                // the shard has most of its cores in the machine's zone
	shardWithSimilarMachines                         // the shard has similar machines, and the machine is not a spot machine
)

// shardCapacity describes a shard's machines in relation to one machine that is to be placed. There
// are two kinds of machines: spot machines, and all others (on-demand and permanent ones).
type shardCapacity struct {
	similarMachines int     // number of machines of the same type, zone and kind
	coresOfKind     float64 // cores of machines of the same kind; each kind is balanced separately
	coresInZone     float64 // cores of machines of both kinds in the machine's zone
	totalCores      float64 // cores of machines of both kinds in all zones
	hasOwnerInZone  bool    // the shard's default owner is in the machine's zone
}

// machinePlacement holds what is needed to choose the shard of one machine.
type machinePlacement struct {
	machine  *shard.MachineRecord
	cores    float64 // number of the machine's cores; 1 if its type is not in the catalog
	shards   []shardCapacity
	maxCores float64 // limit of a shard's coresOfKind (see shardOverfull)
}

// shardFor chooses a machine's shard. If a gang that lacks machines could run on the machine, the
// machine goes to the shard of that gang. Otherwise, the shard with most similar machines (type,
// kind, zone) comes first, unless the machine is a spot machine. Next comes a shard with most of
// its cores in the machine's zone. A shard comes last if, with half of the machine's cores added,
// its cores of the machine's kind would exceed maxCores. This limit is an equal share, increased by
// the fraction maxShardImbalance and by the cores that the largest recent large job would take.
// With this choice, a gang of large tasks in one zone finds its machines in one shard, and a
// network partition between zones separates few machines from their owner.
//
// coresLeft is the number of cores that are still to be distributed after this machine.
func (c *Controller) shardFor(machine *shard.MachineRecord, coresLeft float64) int {
	machineType := c.machineTypes[machine.Type]
	for _, gang := range c.oversizedGangs {
		if record := c.jobs[gang.Job]; record != nil && shard.CanRunOn(&record.Job, machineType, machine.Zone, machine.Spot) {
			return int(gang.Shard)
		}
	}
	return c.newMachinePlacement(machine, machineType, coresLeft).bestShard()
}

// newMachinePlacement sums the capacity of all shards, including machines whose records are
// pending. machineType is nil for a machine whose type is not in the catalog.
func (c *Controller) newMachinePlacement(machine *shard.MachineRecord, machineType *protocol.MachineType,
	coresLeft float64) *machinePlacement {
	placement := &machinePlacement{
		machine: machine,
		cores:   1,
		shards:  make([]shardCapacity, len(c.controllerNames)),
	}
	if machineType != nil {
		placement.cores = machineType.Cores
	}
	for shardID, name := range c.controllerNames {
		placement.shards[shardID].hasOwnerInZone = c.members.zoneOf(name) == machine.Zone
	}
	coresToShare := coresLeft
	for _, other := range c.machines {
		coresToShare += placement.addMachine(other, c.machineTypes[other.Type])
	}
	for _, other := range c.enrolment.additions {
		coresToShare += placement.addMachine(other, c.machineTypes[other.Type])
	}
	equalShare := (coresToShare + placement.cores) / float64(len(placement.shards))
	placement.maxCores = equalShare*(1+maxShardImbalance) + c.largestJobCores(machine, machineType)
	return placement
}

// largestJobCores returns the largest number of cores that any recent large job would take on
// machines like the given one. The number is 0 if none of these jobs can run on the machine.
func (c *Controller) largestJobCores(machine *shard.MachineRecord, machineType *protocol.MachineType) float64 {
	largest := 0.0
	for _, large := range c.largeJobShapes {
		if shard.CanRunOn(&large.Job, machineType, machine.Zone, machine.Spot) {
			largest = max(largest, machineType.Cores*float64(machineType.MachinesNeeded(&large.Job)))
		}
	}
	return largest
}

// addMachine adds another machine to the capacity of its shard. It returns the cores of the other
// machine if both machines are of the same kind, else 0.
func (p *machinePlacement) addMachine(other *shard.MachineRecord, otherType *protocol.MachineType) (coresOfKind float64) {
	if other.Shard < 0 || other.Shard >= len(p.shards) || otherType == nil {
		return 0
	}
	capacity := &p.shards[other.Shard]
	isSameKind := other.Spot == p.machine.Spot
	capacity.totalCores += otherType.Cores
	if isSameKind {
		capacity.coresOfKind += otherType.Cores
		coresOfKind = otherType.Cores
	}
	if other.Zone == p.machine.Zone {
		capacity.coresInZone += otherType.Cores
		if isSameKind && other.Type == p.machine.Type {
			capacity.similarMachines++
		}
	}
	return coresOfKind
}

// suitability returns how well a shard suits the machine. For a spot machine, similar machines make
// no difference.
func (p *machinePlacement) suitability(shardID int) shardSuitability {
	switch capacity := &p.shards[shardID]; {
	case capacity.coresOfKind+p.cores/2 > p.maxCores:
		return shardOverfull
	case capacity.similarMachines > 0 && !p.machine.Spot:
		return shardWithSimilarMachines
	case capacity.coresInZone > capacity.totalCores/2:
		return shardMostlyInZone
	case capacity.totalCores == 0 && capacity.hasOwnerInZone:
		return shardEmptyInZone
	case capacity.totalCores == 0:
		return shardEmpty
	default:
		return shardOther
	}
}

// bestShard returns the most suitable shard. Of several equally suitable shards, it returns the one
// with fewest cores of the machine's kind. For shards with similar machines, the number of similar
// machines is compared first: more are better.
func (p *machinePlacement) bestShard() int {
	best := 0
	for shardID := range p.shards {
		if p.isBetter(shardID, best) {
			best = shardID
		}
	}
	return best
}

func (p *machinePlacement) isBetter(shardID, best int) bool {
	suitability, bestSuitability := p.suitability(shardID), p.suitability(best)
	if suitability != bestSuitability {
		return suitability > bestSuitability
	}
	capacity, bestCapacity := &p.shards[shardID], &p.shards[best]
	if suitability == shardWithSimilarMachines && capacity.similarMachines != bestCapacity.similarMachines {
		return capacity.similarMachines > bestCapacity.similarMachines
	}
	return capacity.coresOfKind < bestCapacity.coresOfKind
}
