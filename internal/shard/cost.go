package shard

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"curlewspool/internal/protocol"
)

// CostByCause is money by what it was paid for, in the catalog's unit.
type CostByCause map[string]float64

// String lists it by cause.
func (c CostByCause) String() string {
	var entries []string
	for _, cause := range slices.Sorted(maps.Keys(c)) {
		entries = append(entries, fmt.Sprintf("%s %.4f", cause, c[cause]))
	}
	return strings.Join(entries, ", ")
}

// Causes for which a machine that is up is paid.
const (
	CostRunning   = "ran"      // tasks that run
	CostStarting  = "fetched"  // tasks that have not begun: images, orders on their way
	CostStopping  = "stopping" // tasks that were told to stop
	CostReserved  = "reserved" // free room, for the head
	CostReturning = "leaving"  // free room of a machine that goes back
	CostSuspect   = "doubted"  // free room of a machine that is likely sick, or silent
	CostIdle      = "idle"     // other free room
)

// AddCost adds what the part's machines cost in a time, by cause: each core's share of
// the machine's price by what it does now. Boots are the leader's to count.
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
			cause := CostRunning
			switch {
			case attempt.StopRequested || attempt.State == protocol.TaskCheckpointing:
				cause = CostStopping
			case attempt.StartedAt == 0:
				cause = CostStarting
			}
			cores := min(job.Record.Job.Cores, idleCores)
			total[cause] += price * cores / machineType.Cores
			idleCores -= cores
		}
		cause := CostIdle
		switch {
		case machine.retireReason != "" || machine.draining || machine.PreemptionNoticed:
			cause = CostReturning
		case machine.suspect || !machine.Reconciled || !machine.IsReachable() || now-machine.LastContact > 2*s.reportInterval():
			cause = CostSuspect
		case machine.reservation != nil:
			cause = CostReserved
		}
		total[cause] += price * idleCores / machineType.Cores
	}
}
