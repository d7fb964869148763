package controller

import (
	"curlewspool/internal/election"
	"curlewspool/internal/peermsg"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file transfers machines between shards, for gangs that do not fit into their shard and for
// overdue jobs.

// busyTransferDivisor divides the time within which a job should begin ([score] begin). If a job
// has waited for longer than the quotient, busy machines are requested for it as well.
const busyTransferDivisor = 4

// transferDemands holds the jobs for which machines of other shards are requested.
type transferDemands struct {
	oversizedGangs []*peermsg.UnmetDemand // gangs that do not fit into their shard
	oldest         *peermsg.UnmetDemand   // the oldest job that is an oversized gang or overdue, except for overdue arrays that may be in any shard
	oldestArray    *peermsg.UnmetDemand   // the oldest overdue array that may be in any shard
}

// transferMachines requests machines of other shards for each gang that does not fit into its own
// shard. Such a gang is therefore in effect at the head of the queue of every shard. If the oldest
// overdue job, which finds no free capacity in its own shard, is older than all these gangs,
// machines are requested for it as well. If there is neither such a gang nor such a job, one idle
// machine is requested for the oldest overdue array that may be in any shard.
func (c *Controller) transferMachines() {
	statuses := c.members.liveStatuses()
	demands := c.collectTransferDemands(statuses)
	c.oversizedGangs = demands.oversizedGangs
	oldest := demands.oldest
	for _, gang := range demands.oversizedGangs {
		if gang != oldest {
			c.transferMachinesFor(gang, int(gang.MissingTasks), statuses, false)
		}
	}
	if oldest == nil {
		if demands.oldestArray != nil {
			c.transferIdleMachine(demands.oldestArray, statuses)
		}
		return
	}
	if oldest.MissingTasks <= 0 { // shardFor then places new machines in the shard of this job, too
		c.oversizedGangs = append(c.oversizedGangs, oldest)
	}
	waited := c.WallSeconds() - c.jobs[oldest.Job].AcceptedAt
	includeBusy := waited > c.settings.Score.StartWithin/busyTransferDivisor
	c.transferMachinesFor(oldest, int(max(oldest.MissingTasks, oldest.OverdueTasks)), statuses, includeBusy)
}

// collectTransferDemands selects the unmet demands, from all shards, for which machines are to be
// transferred.
func (c *Controller) collectTransferDemands(statuses []*peermsg.Status) transferDemands {
	var demands transferDemands
	for demand := range unmetDemands(statuses) {
		if c.jobs[demand.Job] == nil || demand.MissingTasks <= 0 && demand.OverdueTasks <= 0 {
			continue
		}
		if demand.MissingTasks <= 0 && c.canUseAnyShard(&c.jobs[demand.Job].Job) {
			demands.oldestArray = c.earlierAccepted(demands.oldestArray, demand)
			continue
		}
		if demand.MissingTasks > 0 {
			demands.oversizedGangs = append(demands.oversizedGangs, demand)
		}
		demands.oldest = c.earlierAccepted(demands.oldest, demand)
	}
	return demands
}

// canUseAnyShard reports whether a job is an array whose chunks may be in any shard.
func (c *Controller) canUseAnyShard(job *protocol.Job) bool {
	return job.Shape == protocol.ShapeArray && !c.hasTeamLimit(job)
}

// earlierAccepted returns the demand whose job was accepted earlier. It returns first if both were
// accepted at the same time, and second if first is nil.
func (c *Controller) earlierAccepted(first, second *peermsg.UnmetDemand) *peermsg.UnmetDemand {
	if first == nil || c.jobs[second.Job].AcceptedAt < c.jobs[first.Job].AcceptedAt {
		return second
	}
	return first
}

// transferIdleMachine requests one empty machine, from a shard with an empty queue, for the waiting
// tasks of an overdue array.
func (c *Controller) transferIdleMachine(demand *peermsg.UnmetDemand, statuses []*peermsg.Status) {
	job := &c.jobs[demand.Job].Job
	for other := range shardStatuses(statuses) {
		if other.Shard == demand.Shard || len(other.QueuedWork) == 0 || other.QueuedWork[0] > 0 {
			continue
		}
		for _, free := range other.FreeCapacity {
			isInZone := demand.Zone == "" || demand.Zone == free.Zone
			if free.Empty && isInZone && shard.CanRunOn(job, c.machineTypes[free.Type], free.Zone, free.Spot) {
				c.requestTransfer(transferRequest{machine: free.Machine, from: int(other.Shard), to: demand.Shard})
				return
			}
		}
	}
}

// transferRequest asks for the transfer of a machine from one shard to another.
type transferRequest struct {
	machine string
	from    int
	to      int32
}

// requestTransfer passes the request to the owner of the machine's shard, if it has one.
func (c *Controller) requestTransfer(request transferRequest) {
	message := &peermsg.MachineTransfer{Machine: request.machine, ToShard: request.to}
	switch owner := c.registry.OwnerOf(election.ShardKey(request.from)); owner {
	case "":
	case c.settings.Name:
		c.handleMachineTransfer(message)
	default:
		c.env.Send(owner, &peermsg.Envelope{Body: &peermsg.Envelope_MachineTransfer{MachineTransfer: message}})
	}
}

// transferMachinesFor requests machines for missing tasks of a job. With includeBusy, it also
// requests machines without free capacity, which then get no new tasks until they are empty. If
// small tasks fill all machines, no machine is ever reported as free. Without includeBusy, a gang
// of five would then wait until no more small tasks arrive. includeBusy is set only for the oldest
// job, once it has waited long enough (see busyTransferDivisor).
func (c *Controller) transferMachinesFor(demand *peermsg.UnmetDemand, missing int, statuses []*peermsg.Status, includeBusy bool) {
	job := &c.jobs[demand.Job].Job
	if c.settings.Team(job.Team) == nil || int(demand.Shard) >= len(c.controllerNames) {
		return
	}
	selection := c.newTransferSelection(job, int(demand.Shard), missing)
	selection.addFree(statuses, true)
	selection.addFree(statuses, false)
	if includeBusy {
		for _, id := range sortedKeys(c.machines) {
			machine := c.machines[id]
			selection.add(id, machine.Type, machine.Zone, machine.Spot, machine.Shard)
		}
	}
	for _, request := range selection.requests {
		c.requestTransfer(request)
	}
}

// transferSelection selects machines of other shards for one job.
type transferSelection struct {
	machineTypes map[string]*protocol.MachineType
	job          *protocol.Job
	toShard      int
	missing      int            // number of tasks that are still without a machine
	zone         string         // the only zone of which machines are selected; "" if all zones are allowed
	tasksInZone  map[string]int // only for a job spread over zones: number of tasks, by zone, that fit on the shard's machines and on the selected ones
	selected     map[string]bool
	requests     []transferRequest // in the order of selection
}

func (c *Controller) newTransferSelection(job *protocol.Job, toShard, missing int) *transferSelection {
	selection := &transferSelection{
		machineTypes: c.machineTypes,
		job:          job,
		toShard:      toShard,
		missing:      missing,
		tasksInZone:  map[string]int{},
		selected:     map[string]bool{},
	}
	if job.SingleZone {
		selection.zone = c.largestZoneFor(job)
	}
	if job.SpreadZones { // the shard may have enough machines for such a job in some zones but not in others
		selection.tasksInZone = c.tasksThatFitByZone(job, func(machine *shard.MachineRecord) bool { return machine.Shard == toShard })
	}
	return selection
}

// largestZoneFor returns the zone whose machines, if they were empty, could run most tasks of a job,
// or "" if no machine can run any.
func (c *Controller) largestZoneFor(job *protocol.Job) string {
	tasks := c.tasksThatFitByZone(job, func(*shard.MachineRecord) bool { return true })
	largest := ""
	for _, zone := range sortedKeys(tasks) {
		if tasks[zone] > tasks[largest] {
			largest = zone
		}
	}
	return largest
}

// tasksThatFitByZone counts, by zone, the tasks of a job that would fit on the chosen machines if
// they were empty.
func (c *Controller) tasksThatFitByZone(job *protocol.Job, isChosen func(machine *shard.MachineRecord) bool) map[string]int {
	tasks := map[string]int{}
	for _, machine := range c.machines {
		machineType := c.machineTypes[machine.Type]
		if isChosen(machine) && shard.CanRunOn(job, machineType, machine.Zone, machine.Spot) {
			tasks[machine.Zone] += machineType.TasksThatFit(job, job.Tasks)
		}
	}
	return tasks
}

// addFree selects machines that shards report as free: the empty ones if isEmpty is set, otherwise
// those that are partly in use.
func (s *transferSelection) addFree(statuses []*peermsg.Status, isEmpty bool) {
	for from := range shardStatuses(statuses) {
		for _, free := range from.FreeCapacity {
			if free.Empty == isEmpty {
				s.add(free.Machine, free.Type, free.Zone, free.Spot, int(from.Shard))
			}
		}
	}
}

// add selects a machine if the job still lacks machines and can use this one.
func (s *transferSelection) add(id, typeName, zone string, isSpot bool, from int) {
	machineType := s.machineTypes[typeName]
	if s.missing <= 0 || from == s.toShard || s.selected[id] || s.zone != "" && zone != s.zone {
		return
	}
	if !shard.CanRunOn(s.job, machineType, zone, isSpot) {
		return
	}
	if s.job.SpreadZones && s.tasksInZone[zone] >= shard.MaxPerZone(s.job) {
		return
	}
	tasks := machineType.TasksThatFit(s.job, s.job.Tasks)
	s.selected[id] = true
	s.tasksInZone[zone] += tasks
	s.missing -= tasks
	s.requests = append(s.requests, transferRequest{machine: id, from: from, to: int32(s.toShard)})
}

// handleMachineTransfer makes a shard that this controller owns transfer a machine.
func (c *Controller) handleMachineTransfer(request *peermsg.MachineTransfer) {
	record := c.machines[request.Machine]
	if record == nil || int(request.ToShard) < 0 || int(request.ToShard) >= len(c.controllerNames) {
		return
	}
	if owned := c.ownedShard(record.Shard); owned != nil {
		owned.TransferMachine(request.Machine, int(request.ToShard))
	}
}
