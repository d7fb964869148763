package controller

import (
	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file has machines lent to parts whose gangs are larger than they are, and
// chunks moved.

// transferMachines finds machines in other parts for gangs that their own part is too
// small for: such a gang is in effect the head of all parts. So is the oldest of those
// that should have begun and find nothing free in theirs.
func (c *Controller) transferMachines() {
	statuses := c.liveStatuses()
	c.oversizedGangs = nil
	var oldest, stuck *peermsg.UnmetDemand
	at := func(g *peermsg.UnmetDemand) float64 { return c.jobs[g.Job].AcceptedAt }
	for _, s := range statuses {
		for _, g := range s.UnmetDemands {
			if c.jobs[g.Job] == nil || g.MissingTasks <= 0 && g.OverdueTasks <= 0 {
				continue
			}
			if g.MissingTasks <= 0 && c.jobs[g.Job].Job.Shape == protocol.ShapeArray && !c.hasTeamLimit(&c.jobs[g.Job].Job) {
				if stuck == nil || at(g) < at(stuck) {
					stuck = g
				}
				continue
			}
			if g.MissingTasks > 0 {
				c.oversizedGangs = append(c.oversizedGangs, g)
			}
			if oldest == nil || at(g) < at(oldest) {
				oldest = g
			}
		}
	}
	for _, g := range c.oversizedGangs {
		if g != oldest {
			c.transferMachinesFor(&c.jobs[g.Job].Job, g, int(g.MissingTasks), statuses, false)
		}
	}
	if oldest == nil {
		if stuck != nil {
			c.transferIdleMachine(stuck, statuses)
		}
		return
	}
	if oldest.MissingTasks <= 0 { // what comes up meanwhile is for it, too
		c.oversizedGangs = append(c.oversizedGangs, oldest)
	}
	c.transferMachinesFor(&c.jobs[oldest.Job].Job, oldest, int(max(oldest.MissingTasks, oldest.OverdueTasks)), statuses, c.WallSeconds()-at(oldest) > c.settings.Score.Begin/4)
}

// transferIdleMachine asks for one machine for the rest of an array that has started: an empty one
// of a part in which nothing is queued.
func (c *Controller) transferIdleMachine(gap *peermsg.UnmetDemand, statuses []*peermsg.Status) {
	job := &c.jobs[gap.Job].Job
	for _, status := range statuses {
		for _, p := range status.Shards {
			if p.Shard == gap.Shard || len(p.QueuedWork) == 0 || p.QueuedWork[0] > 0 {
				continue
			}
			for _, room := range p.FreeCapacity {
				if room.Empty && (gap.Zone == "" || gap.Zone == room.Zone) && shard.CanRunOn(job, c.machineTypes[room.Type], room.Zone, room.Spot) {
					c.requestTransfer(int(p.Shard), &peermsg.MachineTransfer{Machine: room.Machine, ToShard: gap.Shard})
					return
				}
			}
		}
	}
}

func (c *Controller) requestTransfer(from int, request *peermsg.MachineTransfer) {
	if owner := c.registry.OwnerOf(election.ShardKey(from)); owner == c.settings.Name {
		c.handOverMachine(request)
	} else if owner != "" {
		c.env.Send(owner, &peermsg.Envelope{Body: &peermsg.Envelope_MachineTransfer{MachineTransfer: request}})
	}
}

// transferMachinesFor asks owners for machines for a gang; full: for such as have nothing free,
// too, which take nothing new until they are empty. (Where small tasks fill whole
// machines none is ever told as free, and a gang of five waited until they stopped
// coming.) That is for one gang at a time, the oldest, when it should have begun soon.
func (c *Controller) transferMachinesFor(j *protocol.Job, g *peermsg.UnmetDemand, left int, statuses []*peermsg.Status, full bool) {
	if t := c.settings.Team(j.Team); t == nil || int(g.Shard) >= len(c.controllerNames) {
		return
	}
	// The zone with the most machines to come from, for a job in one zone.
	zone, most := "", 0
	if j.SingleZone {
		count := map[string]int{}
		for _, id := range sortedKeys(c.machines) {
			if m := c.machines[id]; shard.CanRunOn(j, c.machineTypes[m.Type], m.Zone, m.Spot) {
				count[m.Zone] += c.machineTypes[m.Type].TasksThatFit(j, j.Tasks)
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
	if j.SpreadZones {
		for _, m := range c.machines {
			if m.Shard == int(g.Shard) && shard.CanRunOn(j, c.machineTypes[m.Type], m.Zone, m.Spot) {
				there[m.Zone] += c.machineTypes[m.Type].TasksThatFit(j, j.Tasks)
			}
		}
	}
	asked := map[string]bool{}
	one := func(id, typ, z string, spot bool, of int) {
		if left <= 0 || of == int(g.Shard) || asked[id] || zone != "" && z != zone ||
			!shard.CanRunOn(j, c.machineTypes[typ], z, spot) || j.SpreadZones && there[z] >= shard.MaxPerZone(j) {
			return
		}
		asked[id] = true
		k := c.machineTypes[typ].TasksThatFit(j, j.Tasks)
		there[z] += k
		left -= k
		c.requestTransfer(of, &peermsg.MachineTransfer{Machine: id, ToShard: g.Shard})
	}
	for _, empty := range []bool{true, false} {
		for _, s := range statuses {
			for _, p := range s.Shards {
				for _, r := range p.FreeCapacity {
					if r.Empty == empty {
						one(r.Machine, r.Type, r.Zone, r.Spot, int(p.Shard))
					}
				}
			}
		}
	}
	if full && left > 0 {
		for _, id := range sortedKeys(c.machines) {
			m := c.machines[id]
			one(id, m.Type, m.Zone, m.Spot, m.Shard)
		}
	}
}

func (c *Controller) handOverMachine(request *peermsg.MachineTransfer) {
	record := c.machines[request.Machine]
	if record == nil || int(request.ToShard) < 0 || int(request.ToShard) >= len(c.controllerNames) {
		return
	}
	if p := c.ownedShard(record.Shard); p != nil {
		p.LendMachine(request.Machine, int(request.ToShard))
	}
}

func (c *Controller) moveChunks() {
	var all []*peermsg.ShardStatus
	for _, s := range c.liveStatuses() {
		all = append(all, s.Shards...)
	}
	c.eachShard(func(p *shard.Shard) {
		if c.ownedShard(p.ID) != nil {
			p.MoveQueuedChunk(all)
		}
	})
}
