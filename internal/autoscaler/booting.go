package autoscaler

import (
	"sort"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file tracks machines from their rental until they are up.

// overdueFactor is the longest time that a machine usually takes to boot, as a multiple of its
// type's boot time (PROTOCOL, "Controller nodes -> cloud"). A machine that has not come up by then
// takes several times the boot time, or never comes up.
const overdueFactor = 1.5

// minOverdueReplacements is the number of overdue machines that may be replaced even if few machines
// or none are up.
const minOverdueReplacements = 2

// Cost causes of booting machines, used as keys of shard.CostByCause.
const (
	costOfBoot    shard.CostCause = "boot"
	costOfOverdue shard.CostCause = "overdue"
)

// bootingMachine is a machine that was rented, or that the cloud lists, and has no record yet.
type bootingMachine struct {
	offering
	requestedAt time.Duration
	// foundRunning is set if the machine was already up when it was first listed. Such a machine
	// may be a permanent one.
	foundRunning bool
}

// isOverdue reports whether the machine has been booting for longer than overdueFactor times the boot
// time of its type.
func (b *bootingMachine) isOverdue(machineType *protocol.MachineType, now time.Duration) bool {
	return (now - b.requestedAt).Seconds() > overdueFactor*machineType.BootSeconds
}

// readyInSeconds returns the expected time until the machine is up.
func (b *bootingMachine) readyInSeconds(machineType *protocol.MachineType, now time.Duration) float64 {
	return max(0, machineType.BootSeconds-(now-b.requestedAt).Seconds())
}

// findOverdue returns the machines whose boot is overdue (see isOverdue). Such machines
// come up too late or never, so they do not count as capacity, and other machines are rented in
// their place. An overdue machine that comes up after all is used or deleted like any other.
//
// The number of machines returned is limited to a quarter of the number of machines that are up,
// but the limit is at least minOverdueReplacements. The oldest machines are returned. Without the
// limit, the replacements would only add to the cost if most machines were overdue, because the
// replacements would be overdue as well.
func (a *Autoscaler) findOverdue(machinesUp int, now time.Duration) map[string]bool {
	var ids []string
	for id, machine := range a.booting {
		if t := a.machineTypes[machine.typeName]; t != nil && machine.isOverdue(t, now) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, k int) bool {
		first, second := a.booting[ids[i]].requestedAt, a.booting[ids[k]].requestedAt
		return first < second || first == second && ids[i] < ids[k]
	})
	overdue := map[string]bool{}
	for _, id := range ids[:min(len(ids), max(minOverdueReplacements, machinesUp/4))] {
		overdue[id] = true
	}
	return overdue
}

// BootingCapacity returns the number of cores of the booting machines that are not overdue, and the
// expected time until these machines are up, averaged over their cores.
func (a *Autoscaler) BootingCapacity() (cores, readyInSeconds float64) {
	now, weightedSeconds := a.env.Now(), 0.0
	for _, id := range a.bootingMachineIDs() {
		machine := a.booting[id]
		t := a.machineTypes[machine.typeName]
		if t == nil || a.overdue[id] {
			continue
		}
		cores += t.Cores
		weightedSeconds += t.Cores * machine.readyInSeconds(t, now)
	}
	return cores, weightedSeconds / max(cores, 1)
}

// AddBootCosts adds to costs what the booting machines cost during the elapsed time. The cost of
// overdue machines (see overdueFactor) is counted under a separate cause, whether or not they come
// up later. Machines that were already up when they were first listed are not counted.
func (a *Autoscaler) AddBootCosts(elapsed time.Duration, costs shard.CostByCause) {
	now := a.env.Now()
	for _, machine := range a.booting {
		t := a.machineTypes[machine.typeName]
		if t == nil || machine.foundRunning {
			continue
		}
		cause := costOfBoot
		if machine.isOverdue(t, now) {
			cause = costOfOverdue
		}
		costs[cause] += t.HourlyPrice(machine.spot) * elapsed.Hours()
	}
}
