// Package shard schedules one shard of the cluster: it keeps the shard's job queue and
// machines, and starts and stops tasks on them (DESIGN; paper, section 4,
// "Local-Scheduler").
//
// A shard is owned by one controller at a time, see package election. It reacts to three
// kinds of input, all on the controller's event loop:
//   - records of the key-value store (updates.go),
//   - heartbeat reports of machines (reports.go): HandleReport reconciles the shard's state
//     with the reported tasks, ScheduleMachine places tasks on the machine, and the
//     controller answers the report with the machine's commands,
//   - timer ticks (tick.go): progress writes, lease expiry, idle machines, and scheduling
//     passes over all machines.
package shard

import (
	"sort"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/faults"
	"curlewspool/internal/protocol"
)

// impossibleRevision is a revision that no key ever has, so a condition on it always fails.
const impossibleRevision = 1<<63 - 1

// Shard is the in-memory state of a shard under its current owner. Times are readings of
// the controller's monotonic clock.
type Shard struct {
	ID           int
	FencingToken uint64 // fencing token of this owner; never decreases
	Machines     map[string]*Machine
	Jobs         map[string]*QueuedJob

	controller               Controller
	guard                    func() protocol.Condition // store condition that is true while this controller owns the shard
	closed                   bool
	acquiredAt               time.Duration
	previousOwnerActiveUntil time.Duration // latest time at which a previous owner may have answered a report

	// Scheduling.
	needsPass          bool // something has changed since the last scheduling pass
	lastPassAt         time.Duration
	passPlacements     int                // number of tasks that the current pass may still place
	attemptCounter     uint64             // number of attempts created under this token
	headJob            *QueuedJob         // queued job for which capacity is reserved; nil if there is none
	spotFreeCores      float64            // free cores of spot machines; negative if not yet counted in this tick
	estimateCorrection map[string]float64 // ratio of measured to estimated runtime, by job class
	faults             *faults.Attribution
	failing            *failureCounts // nil if they must be counted again
	requestedMachines  []*Machine     // machines for which the current event has requested commands

	// State derived from Machines and Jobs.
	machineOrder      []*Machine   // sorted by ID; nil if it must be rebuilt
	jobOrder          []*QueuedJob // sorted by ID; nil if it must be rebuilt
	hostedCount       int          // number of hosted jobs
	awaitingSyncCount int          // number of jobs with QueuedJob.awaitsCacheSync set
}

// New creates the state of a shard that this controller has just acquired. guard returns the
// store condition that is true while this controller owns the shard. previousOwnerActiveUntil is
// the latest time at which a previous owner may have renewed a machine lease.
func New(id int, token uint64, controller Controller, guard func() protocol.Condition, previousOwnerActiveUntil time.Duration) *Shard {
	priors := controller.Settings().Faults
	shard := &Shard{
		ID:                       id,
		FencingToken:             token,
		Machines:                 map[string]*Machine{},
		Jobs:                     map[string]*QueuedJob{},
		controller:               controller,
		acquiredAt:               controller.Now(),
		previousOwnerActiveUntil: previousOwnerActiveUntil,
		needsPass:                true,
		estimateCorrection:       map[string]float64{},
		faults: faults.New(faults.Priors{
			FaultyJob:     priors.FaultyJobPrior,
			FaultyMachine: priors.FaultyMachinePrior,
			Transient:     priors.TransientFailurePrior,
		}),
	}
	shard.guard = func() protocol.Condition {
		if shard.closed {
			return protocol.Condition{Key: guard().Key, Revision: impossibleRevision}
		}
		return guard()
	}
	return shard
}

// Close drops the shard's state when this controller loses ownership, and makes the guard of pending
// writes fail permanently. If the guard did not fail and the same controller acquired the shard
// again, the guard of its new ownership would let stale writes pass. In a simulated run such a write
// removed a running job from the record of its machine, and the next owner started the job's tasks a
// second time on other machines.
func (s *Shard) Close() {
	s.closed = true
	s.Jobs = map[string]*QueuedJob{}
	s.Machines = map[string]*Machine{}
	s.machineOrder = nil
	s.jobOrder = nil
	s.headJob = nil
	s.requestedMachines = nil
	s.hostedCount = 0
	s.awaitingSyncCount = 0
}

// RaiseToken sets a higher fencing token, after an agent has reported one.
func (s *Shard) RaiseToken(token uint64) {
	s.FencingToken = token
	for _, machine := range s.Machines {
		machine.FencingToken = max(machine.FencingToken, token)
		if !machine.Reconciled { // only a report under the new token can reconcile the machine
			machine.BaseToken = token
		}
	}
}

// PreviousOwnerActiveUntil returns the latest time at which a previous owner may have renewed the
// lease of one of the shard's machines, by answering its report.
func (s *Shard) PreviousOwnerActiveUntil() time.Duration { return s.previousOwnerActiveUntil }

// AcquiredAt returns the time at which this controller acquired the shard.
func (s *Shard) AcquiredAt() time.Duration { return s.acquiredAt }

// machinesByID returns the machines sorted by ID. The slice is never modified in place.
func (s *Shard) machinesByID() []*Machine {
	if s.machineOrder == nil {
		s.machineOrder = make([]*Machine, 0, len(s.Machines))
		for _, machine := range s.Machines {
			s.machineOrder = append(s.machineOrder, machine)
		}
		sort.Slice(s.machineOrder, func(i, j int) bool { return s.machineOrder[i].ID < s.machineOrder[j].ID })
	}
	return s.machineOrder
}

// jobsByID returns the jobs sorted by ID. The slice is never modified in place.
func (s *Shard) jobsByID() []*QueuedJob {
	if s.jobOrder == nil {
		s.jobOrder = make([]*QueuedJob, 0, len(s.Jobs))
		for _, job := range s.Jobs {
			s.jobOrder = append(s.jobOrder, job)
		}
		sort.Slice(s.jobOrder, func(i, j int) bool { return s.jobOrder[i].Record.Job.ID < s.jobOrder[j].Record.Job.ID })
	}
	return s.jobOrder
}

// leaseDuration returns the duration of a machine lease: how long an agent keeps running tasks
// without an answer to its reports.
func (s *Shard) leaseDuration() time.Duration {
	return env.Seconds(s.controller.Settings().Deployment.Workers.Lease)
}

// reportInterval returns the time between two heartbeat reports of an agent.
func (s *Shard) reportInterval() time.Duration {
	return env.Seconds(s.controller.Settings().Deployment.Workers.Report)
}
