package shard

import (
	"log/slog"
	"time"

	"curlewspool/internal/agent"
)

// Machine is the state of a machine of the shard. The embedded agent.Machine follows the reports of
// the machine's agent, and the other fields belong to the shard. Times are readings of the
// controller's monotonic clock.
type Machine struct {
	*agent.Machine
	record   MachineRecord
	JoinedAt time.Duration // when this owner added it to the shard

	// Free capacity.
	free             freeCapacity    // free capacity as computed for freeVersion
	freeVersion      uint64          // Machine.Version for which free was computed; 0: it must be recomputed
	teamUsage        teamUsage       // usage as computed for teamUsageVersion
	teamUsageVersion uint64          // Machine.Version for which teamUsage was computed; 0: it must be recomputed
	reservation      *freeCapacity   // free capacity, with the part that the last pass reserved for the head of the queue; nil: nothing is reserved
	cachedImages     map[string]bool // images of tasks that have run on the machine

	commandRequests commandRequests // requests for commands in the current event

	// Removal from the shard.
	retireReason     retireReason
	emptySince       time.Duration // when the machine last became empty or was last seen in use
	draining         bool          // the tasks are being stopped so that the machine can be retired
	transferUntil    time.Duration // no task starts here before this time, because the machine is to be transferred to another shard
	transferInFlight bool          // the write that transfers the machine to another shard is in flight

	// Failures; see package faults.
	fullUntil     time.Duration // no task starts here before this time, because the machine refused a launch
	suspect       bool          // likely faulty; runs one task at a time as a probe
	lastFailureAt time.Duration // when a task last failed here; 0: never, or a task that was placed later has succeeded
	nextProbeAt   time.Duration // no probe on a suspect machine before this time
}

// retireReason is the reason for which the machine is to be deleted in the cloud. It is empty if
// the machine is not to be deleted.
type retireReason string

const (
	retireIdle         retireReason = "idle"
	retireFaulty       retireReason = "faulty"      // tasks of several jobs fail on the machine
	retirePreempted    retireReason = "preempted"   // a spot machine that is unresponsive after its announced preemption time
	retireUnresponsive retireReason = "silent"      // neither reports nor answers to commands arrive
	retireNoReports    retireReason = "no reports"  // the machine answers commands, but its reports do not arrive
	retireUnreachable  retireReason = "unreachable" // the reports of the machine arrive, but commands do not reach it
)

// newMachine creates the state of a machine that joins the shard.
func (s *Shard) newMachine(id string, record *MachineRecord) *Machine {
	now := s.controller.Now()
	machine := &Machine{
		Machine:      agent.New(id, s.FencingToken, max(s.previousOwnerActiveUntil, now)),
		cachedImages: map[string]bool{},
		emptySince:   now,
		JoinedAt:     now,
	}
	machine.Address = record.Address
	machine.Type = record.Type
	machine.Zone = record.Zone
	machine.Spot = record.Spot
	return machine
}

// isRetiring reports whether the machine is to be deleted.
func (m *Machine) isRetiring() bool { return m.retireReason != "" }

// isOnDemand reports whether the machine is an on-demand machine: neither spot nor permanent.
func (m *Machine) isOnDemand() bool { return !m.Spot && !m.record.IsPermanent }

// retireMachine takes a machine out of use permanently; the leader then deletes it.
func (s *Shard) retireMachine(machine *Machine, reason retireReason) {
	if machine.isRetiring() {
		return
	}
	slog.Info("shard: machine retired", "shard", s.ID, "machine", machine.ID,
		"type", machine.Type, "spot", machine.Spot, "reason", reason)
	machine.retireReason = reason
	s.failing = nil
}
