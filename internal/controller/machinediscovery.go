package controller

import (
	"cmp"
	"log/slog"
	"net/http"
	"slices"

	"curlewspool/internal/election"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file finds machines that have no record yet and creates their records.

// answerUnknownMachine refuses the report of a machine without a record. The leader creates the
// record and chooses the shard. Until then the machine goes on reporting and is refused.
func (c *Controller) answerUnknownMachine(report *protocol.Report, reply HeartbeatReply) {
	if !c.mayRecordMachines() {
		leader := c.registry.OwnerOf(election.LeaderKey)
		if leader == "" || leader == c.settings.Name {
			reply(http.StatusServiceUnavailable, &protocol.ErrorResponse{Error: "no leader"})
			return
		}
		reply(http.StatusMisdirectedRequest, &protocol.ErrorResponse{Error: "not the leader", Owner: leader})
		return
	}
	reply(http.StatusServiceUnavailable, &protocol.ErrorResponse{Error: "being recorded"})
	c.probeMachine(report)
}

// probeMachine requests the status of a machine without a record and creates the record if the
// machine answers. Without the request, a late copy of a report of a deleted machine would cause
// work to be placed on a machine that does not exist. A machine that does not answer could not be
// used anyway. If the cloud lists it, the autoscaler treats it like one that never came up.
func (c *Controller) probeMachine(report *protocol.Report) {
	id := report.Machine
	if c.enrolment.probing[id] || !c.needsRecord(id) || c.isMachineCallLimitReached() {
		return
	}
	if len(c.enrolment.additions)+len(c.enrolment.probing) >= c.maxPendingEnrolments() {
		return
	}
	c.enrolment.probing[id] = true
	c.fetchMachineStatus(id, report.Address, func(answer *protocol.Report) {
		delete(c.enrolment.probing, id)
		if answer != nil && answer.Validate() == nil && c.needsRecord(id) && c.mayRecordMachines() {
			c.recordMachine(answer)
		}
	})
}

// needsRecord reports whether a machine has neither a record nor a pending one. On the leader, a
// machine that the autoscaler has deleted needs none.
func (c *Controller) needsRecord(id string) bool {
	if c.machines[id] != nil || c.enrolment.additions[id] != nil {
		return false
	}
	return !c.IsLeader() || !c.autoscaler.IsDeleted(id)
}

// recordMachine creates the record of a machine that has answered.
func (c *Controller) recordMachine(report *protocol.Report) {
	record := &shard.MachineRecord{
		ID:          report.Machine,
		Address:     report.Address,
		Type:        report.Type,
		Zone:        report.Zone,
		Spot:        report.Spot,
		IsPermanent: c.IsLeader() && !c.autoscaler.MayHaveRented(report.Machine),
	}
	record.Shard = c.shardFor(record, 0)
	c.enrolment.additions[record.ID] = record
	slog.Info("controller: machine recorded", "machine", record.ID, "type", record.Type, "zone", record.Zone,
		"spot", record.Spot, "shard", record.Shard)
	c.scheduleRosterWrite()
}

// recordInitialMachines records the machines of the cloud's list when no machine has a record yet.
// In a cluster that starts with hundreds of machines, all of them are thereby distributed over the
// shards at once.
func (c *Controller) recordInitialMachines(listed []protocol.ListedMachine) {
	if len(c.machines) > 0 || len(c.machineTypes) == 0 {
		return
	}
	running := c.machinesToRecord(listed)
	if len(running) == 0 {
		return
	}
	coresLeft := 0.0
	for i := range running {
		coresLeft += c.coresOf(&running[i])
	}
	c.sortForPlacement(running)
	for i := range running {
		machine := &running[i]
		record := &shard.MachineRecord{
			ID:          machine.ID,
			Address:     machine.Address,
			Type:        machine.Type,
			Zone:        machine.Zone,
			Spot:        machine.Spot,
			IsPermanent: true,
		}
		coresLeft -= c.coresOf(machine)
		record.Shard = c.shardFor(record, coresLeft)
		c.enrolment.additions[record.ID] = record
	}
	slog.Info("controller: initial machines recorded", "count", len(running))
	c.scheduleRosterWrite()
}

// machinesToRecord returns the listed machines that run and whose record is not being written yet,
// at most maxPendingEnrolments of them. It must be called only while no machine has a record.
func (c *Controller) machinesToRecord(listed []protocol.ListedMachine) []protocol.ListedMachine {
	var running []protocol.ListedMachine
	for _, machine := range listed {
		needsRecord := machine.Status == protocol.MachineRunning && c.enrolment.additions[machine.ID] == nil
		if needsRecord && len(running) < c.maxPendingEnrolments() {
			running = append(running, machine)
		}
	}
	return running
}

// sortForPlacement sorts machines by zone, then by size with the largest first, then by type. The
// small machines, which come last in each zone, even out the shards.
func (c *Controller) sortForPlacement(machines []protocol.ListedMachine) {
	slices.SortStableFunc(machines, func(a, b protocol.ListedMachine) int {
		return cmp.Or(
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(c.coresOf(&b), c.coresOf(&a)),
			cmp.Compare(a.Type, b.Type),
		)
	})
}

// coresOf returns a listed machine's cores, or 0 if its type is not in the catalog.
func (c *Controller) coresOf(machine *protocol.ListedMachine) float64 {
	if machineType := c.machineTypes[machine.Type]; machineType != nil {
		return machineType.Cores
	}
	return 0
}
