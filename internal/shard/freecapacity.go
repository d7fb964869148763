package shard

import (
	"slices"
	"time"

	"curlewspool/internal/protocol"
)

// maxMissedHeartbeats is the number of report intervals without a heartbeat after which no
// more tasks are placed on a machine.
const maxMissedHeartbeats = 3

// freeCapacity is the free capacity of a machine during one scheduling pass, with the part
// that is reserved for the head of the queue.
type freeCapacity struct {
	resources // resources that are free now, including those reserved for the head of the queue

	machine     *Machine
	machineType *protocol.MachineType

	isReserved   bool
	reservedFrom time.Duration // expected start of the head of the queue on this machine
	unreserved   resources     // resources that stay free once the head has started

	// reclaimable holds the resources of attempts that lose no work when they are preempted. The
	// jobs of these attempts save checkpoints, and their priority is at most the lowest one that
	// users can request.
	reclaimable   resources
	hasUnknownJob bool // whether any attempt on the machine belongs to a job that is not in the shard, such as a finished job
	hasNonSpotJob bool // whether any attempt on the machine belongs to a job that may not run on spot machines

	placementCost float64 // cost of a task of the job that is being placed, in seconds; see Shard.placementCost
}

// reserve reserves the machine for the head of the queue from the given time on. Other jobs may use
// the unreserved resources even after that time.
func (f *freeCapacity) reserve(from time.Duration, unreserved resources) {
	f.isReserved = true
	f.reservedFrom = from
	f.unreserved = unreserved
}

// claim subtracts the resources of one task from the free and from the unreserved resources.
func (f *freeCapacity) claim(spec *protocol.Job) {
	f.subtract(spec)
	f.unreserved.subtract(spec)
}

// unclaim reverts claim.
func (f *freeCapacity) unclaim(spec *protocol.Job) {
	f.add(spec)
	f.unreserved.add(spec)
}

// afterReclaim returns the free capacity that the machine would have if all attempts that lose no
// work were preempted.
func (f *freeCapacity) afterReclaim() freeCapacity {
	reclaimed := *f
	reclaimed.resources = f.plus(&f.reclaimable)
	reclaimed.reclaimable = resources{}
	return reclaimed
}

// fitsAfterReclaim reports whether a task would fit if all attempts that lose no work were
// preempted.
func (f *freeCapacity) fitsAfterReclaim(spec *protocol.Job) bool {
	available := f.plus(&f.reclaimable)
	return available.fits(spec)
}

// CanRunOn reports whether a job may run on an empty machine of the given type in the given
// zone. isSpot is set for spot machines.
func CanRunOn(spec *protocol.Job, machineType *protocol.MachineType, zone string, isSpot bool) bool {
	switch {
	case machineType == nil:
		return false
	case spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, machineType.Name):
		return false
	case spec.Zone != "" && spec.Zone != zone:
		return false
	case isSpot && !spec.AllowSpot:
		return false
	}
	return spec.Cores <= machineType.Cores &&
		spec.GPUs <= machineType.GPUs &&
		spec.MemoryGB <= machineType.MemoryGB
}

// canRunOn reports whether a job may run on a machine if the machine is empty.
func (s *Shard) canRunOn(machine *Machine, spec *protocol.Job) bool {
	return CanRunOn(spec, s.controller.MachineType(machine.Type), machine.Zone, machine.Spot)
}

// acceptsTasks reports whether more tasks may be placed on a machine.
func (s *Shard) acceptsTasks(machine *Machine, now time.Duration) bool {
	switch {
	case !machine.Reconciled || !machine.IsReachable() || machine.Incarnation == 0:
		return false
	case machine.transferInFlight || machine.draining || machine.isRetiring() || machine.PreemptionNoticed:
		return false
	case now < machine.transferUntil || now < machine.fullUntil:
		return false
	}
	return now-machine.LastHeartbeat < maxMissedHeartbeats*s.reportInterval()
}

// freeCapacities lists the free capacity of the machines that accept tasks, sorted by machine
// ID. The entries are copies that the caller may change.
func (s *Shard) freeCapacities(now time.Duration) []*freeCapacity {
	capacities := make([]*freeCapacity, 0, len(s.Machines))
	entries := make([]freeCapacity, len(s.Machines))
	for _, machine := range s.machinesByID() {
		free := s.freeCapacityOf(machine, now)
		if free == nil {
			continue
		}
		entry := &entries[len(capacities)]
		*entry = *free
		capacities = append(capacities, entry)
	}
	return capacities
}

// freeCapacityOf returns the free capacity of a machine, or nil if the machine accepts no tasks. The
// result is cached until the machine's attempts change, so callers may change only a copy of it.
func (s *Shard) freeCapacityOf(machine *Machine, now time.Duration) *freeCapacity {
	machineType := s.controller.MachineType(machine.Type)
	if machineType == nil || !s.acceptsTasks(machine, now) || machine.isOnProbation(now) {
		return nil
	}
	free := &machine.free
	if machine.freeVersion != machine.Version || free.machineType != machineType {
		machine.freeVersion = machine.Version
		*free = s.computeFreeCapacity(machine, machineType)
	}
	if free.hasUnknownJob {
		return nil
	}
	return free
}

// computeFreeCapacity subtracts the resources of a machine's attempts from those of its type.
func (s *Shard) computeFreeCapacity(machine *Machine, machineType *protocol.MachineType) freeCapacity {
	free := freeCapacity{
		resources:   resourcesOf(machineType),
		machine:     machine,
		machineType: machineType,
	}
	for _, attempt := range machine.Attempts {
		if attempt.HasEnded() { // its report entry stays until the agent has forgotten it
			free.reportBytes -= protocol.TaskReportSize(attempt.Job)
			continue
		}
		job := s.Jobs[attempt.Job]
		if job == nil {
			free.hasUnknownJob = true
			continue
		}
		spec := &job.Record.Job
		free.subtract(spec)
		if !spec.AllowSpot {
			free.hasNonSpotJob = true
		}
		if spec.Priority <= 0 && spec.CheckpointInterval > 0 {
			free.reclaimable.add(spec)
		}
	}
	return free
}
