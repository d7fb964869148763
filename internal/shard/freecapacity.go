package shard

import (
	"time"

	"curlewspool/internal/protocol"
)

// This file works out what is free on machines, and which may take a job.

// freeCapacity is what is free on a machine during one pass.
type freeCapacity struct {
	machine               *Machine
	machineType           *protocol.MachineType
	cores, gpus, memory   float64
	isReserved            bool
	placementCost         float64       // of the job looked at
	reservedFrom          time.Duration // when the head is to start here
	spareCores, spareGPUs float64       // what the head leaves at that time
	spareMemory           float64
	// held by work of the lowest rank that loses nothing when it is stopped
	reclaimableCores, reclaimableGPUs, reclaimableMemory float64
	hasUnknownJob                                        bool // a run is of a job that is over: it goes soon
	hasNonSpotJob                                        bool // a run is of a job that spot machines do not do for
}

const epsilon = 1e-9

func (f *freeCapacity) fits(spec *protocol.Job) bool {
	return f.cores+epsilon >= spec.Cores && f.gpus+epsilon >= spec.GPUs && f.memory+epsilon >= spec.MemoryGB
}

func (f *freeCapacity) subtract(spec *protocol.Job) {
	f.cores -= spec.Cores
	f.gpus -= spec.GPUs
	f.memory -= spec.MemoryGB
}

func contains(list []string, value string) bool {
	for _, element := range list {
		if element == value {
			return true
		}
	}
	return false
}

// CanRunOn tells whether a job may run on machines of a type, zone and kind.
func CanRunOn(spec *protocol.Job, machineType *protocol.MachineType, zone string, isSpot bool) bool {
	return machineType != nil && (spec.MachineTypes == nil || contains(spec.MachineTypes, machineType.Name)) && (spec.Zone == "" || spec.Zone == zone) &&
		(!isSpot || spec.AllowSpot) && spec.Cores <= machineType.Cores && spec.GPUs <= machineType.GPUs && spec.MemoryGB <= machineType.MemoryGB
}

func (s *Shard) canRunOn(machine *Machine, spec *protocol.Job) bool {
	return CanRunOn(spec, s.controller.MachineType(machine.Type), machine.Zone, machine.Spot)
}

// acceptsTasks tells whether a machine may get more to do.
func (s *Shard) acceptsTasks(machine *Machine, now time.Duration) bool {
	return machine.Reconciled && machine.IsReachable() && machine.Incarnation > 0 && !machine.handingOver && !machine.draining && now >= machine.lentUntil && machine.retireReason == "" && !machine.PreemptionNoticed && now >= machine.fullUntil &&
		now-machine.LastHeartbeat < 3*s.reportInterval()
}

func (s *Shard) freeCapacities(now time.Duration) []*freeCapacity {
	capacities := make([]*freeCapacity, 0, len(s.Machines))
	slab := make([]freeCapacity, len(s.Machines))
	for _, machine := range s.machinesByID() {
		if free := s.freeCapacityOf(machine, now); free != nil {
			slab[len(capacities)] = *free
			capacities = append(capacities, &slab[len(capacities)])
		}
	}
	return capacities
}

// freeCapacityOf works out what is free on a machine, if it may get more to do, anew
// only after its runs changed. The caller changes a copy only.
func (s *Shard) freeCapacityOf(machine *Machine, now time.Duration) *freeCapacity {
	machineType := s.controller.MachineType(machine.Type)
	if machineType == nil || !s.acceptsTasks(machine, now) || machine.isOnProbation(now) {
		return nil
	}
	free := &machine.free
	if machine.freeVersion != machine.Version || free.machineType != machineType {
		machine.freeVersion = machine.Version
		*free = freeCapacity{machine: machine, machineType: machineType, cores: machineType.Cores, gpus: machineType.GPUs, memory: machineType.MemoryGB}
		for _, attempt := range machine.Attempts {
			if attempt.HasEnded() {
				continue
			}
			job := s.Jobs[attempt.Job]
			if job == nil {
				free.hasUnknownJob = true
				continue
			}
			free.subtract(&job.Record.Job)
			free.hasNonSpotJob = free.hasNonSpotJob || !job.Record.Job.AllowSpot
			if job.Record.Job.Priority <= 0 && job.Record.Job.CheckpointInterval > 0 {
				free.reclaimableCores += job.Record.Job.Cores
				free.reclaimableGPUs += job.Record.Job.GPUs
				free.reclaimableMemory += job.Record.Job.MemoryGB
			}
		}
	}
	if free.hasUnknownJob {
		return nil
	}
	return free
}
