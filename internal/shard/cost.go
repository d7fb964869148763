package shard

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"curlewspool/internal/agent"
	"curlewspool/internal/protocol"
)

// CostCause names a use of machine time, for example by running attempts. The cost of machine time
// is attributed to causes.
type CostCause string

// CostByCause is the cost by cause, in the catalog's currency. Its keys are the causes below
// and those of the autoscaler for booting machines.
type CostByCause map[CostCause]float64

// String lists the costs, sorted by the name of their cause.
func (c CostByCause) String() string {
	var entries []string
	for _, cause := range slices.Sorted(maps.Keys(c)) {
		entries = append(entries, fmt.Sprintf("%s %.4f", cause, c[cause]))
	}
	return strings.Join(entries, ", ")
}

// Causes of the cost of machines that are up.
const (
	CostRunning  CostCause = "ran"      // running attempts
	CostStarting CostCause = "fetched"  // attempts that have not started: commands in transit, image fetches
	CostStopping CostCause = "stopping" // attempts that are stopping
	CostReserved CostCause = "reserved" // free capacity reserved for the head of the queue
	CostRetiring CostCause = "leaving"  // free capacity of a machine that is retiring, draining or about to be preempted
	CostSuspect  CostCause = "doubted"  // free capacity of a machine that is suspect, unreconciled, unreachable or unresponsive
	CostIdle     CostCause = "idle"     // other free capacity
)

// AddCost adds the cost of the shard's machines over the elapsed time to total. The price of a
// machine is divided evenly among its cores, and the price of each core is attributed to the
// current use of the core. The autoscaler adds the cost of booting machines.
func (s *Shard) AddCost(elapsed time.Duration, total CostByCause) {
	now := s.controller.Now()
	for _, machine := range s.machinesByID() {
		machineType := s.controller.MachineType(machine.Type)
		if machineType == nil || machineType.Cores <= 0 {
			continue
		}
		price := machineType.HourlyPrice(machine.Spot) * elapsed.Hours()
		idleCores := machineType.Cores
		for _, attempt := range machine.Attempts {
			job := s.Jobs[attempt.Job]
			if job == nil || attempt.HasEnded() {
				continue
			}
			cores := min(job.Record.Job.Cores, idleCores)
			total[attemptCostCause(attempt)] += price * cores / machineType.Cores
			idleCores -= cores
		}
		total[s.idleCostCause(machine, now)] += price * idleCores / machineType.Cores
	}
}

// attemptCostCause returns the cause to which the cost of an attempt's cores is attributed.
func attemptCostCause(attempt *agent.Attempt) CostCause {
	switch {
	case attempt.StopRequested || attempt.State == protocol.TaskCheckpointing:
		return CostStopping
	case attempt.StartedAt == 0:
		return CostStarting
	}
	return CostRunning
}

// idleCostCause returns the cause to which the cost of a machine's free cores is attributed.
func (s *Shard) idleCostCause(machine *Machine, now time.Duration) CostCause {
	isUnresponsive := now-machine.LastContact > 2*s.reportInterval()
	switch {
	case machine.isRetiring() || machine.draining || machine.PreemptionNoticed:
		return CostRetiring
	case machine.suspect || !machine.Reconciled || !machine.IsReachable() || isUnresponsive:
		return CostSuspect
	case machine.reservation != nil:
		return CostReserved
	}
	return CostIdle
}
