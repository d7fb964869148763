package autoscaler

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file compares the machines that the cloud offers by cost.

// offering identifies what can be rented from the cloud: spot or on-demand machines of one
// type in one zone.
type offering struct {
	typeName, zone string
	spot           bool
}

// An offering with overdue machines is likely to have more of them. For the comparison of costs, a
// surcharge is added to its cost, so that another zone is preferred, or another type that costs
// little more.
const (
	// overdueSurcharge is the maximum surcharge, as a fraction of the cost.
	overdueSurcharge = 0.25
	// fullSurchargeCount is the number of overdue machines at which the surcharge reaches its
	// maximum. For fewer machines it is proportional to their number.
	fullSurchargeCount = 4
)

// allowedOfferings iterates over the offerings that a job may use: sorted by type name, then in
// the catalog's order of zones, spot before on-demand.
func (a *Autoscaler) allowedOfferings(job *protocol.Job) iter.Seq2[offering, *protocol.MachineType] {
	return func(yield func(offering, *protocol.MachineType) bool) {
		for _, typeName := range slices.Sorted(maps.Keys(a.machineTypes)) {
			machineType := a.machineTypes[typeName]
			for _, zone := range machineType.Zones {
				for _, spot := range []bool{true, false} {
					isAllowed := shard.CanRunOn(job, machineType, zone, spot)
					if isAllowed && !yield(offering{typeName, zone, spot}, machineType) {
						return
					}
				}
			}
		}
	}
}

// cheapestOffering returns the offering with the lowest cost per task for up to the given number
// of a job's tasks. It returns false if no offering may be rented for the job now.
func (a *Autoscaler) cheapestOffering(
	work *UnplacedWork, tasks int, zones *zonePlacement, plan *rentalPlan, now time.Duration,
) (offering, bool) {
	var cheapest offering
	lowest := math.Inf(1)
	for candidate, machineType := range a.allowedOfferings(work.Job) {
		useful := min(tasks, zones.remaining(candidate.zone))
		if useful <= 0 || plan.probed[candidate] || now < a.backoffs[candidate].until {
			continue
		}
		if !candidate.spot && !a.justifiesOnDemand(work, machineType, plan) {
			continue
		}
		if cost := plan.costPerTask(work, useful, candidate, machineType); cost < lowest {
			cheapest, lowest = candidate, cost
		}
	}
	return cheapest, !math.IsInf(lowest, 1)
}

// justifiesOnDemand reports whether an on-demand machine may be rented for the work. There are two
// rules. First, none is rented if the work is expected to start before the machine would be up.
// Second, none is rented for a spot job if the total capacity suffices for all spot jobs to meet
// their deadlines. The second rule does not apply to a gang that has waited for a long time. Such a
// gang may need all its machines in one zone, which the total capacity does not show, and could
// otherwise wait indefinitely.
func (a *Autoscaler) justifiesOnDemand(work *UnplacedWork, machineType *protocol.MachineType, plan *rentalPlan) bool {
	if work.StartsInSeconds > 0 && work.StartsInSeconds < machineType.BootSeconds {
		return false
	}
	if !work.Job.AllowSpot || plan.demand.missingCores(machineType.BootSeconds) > 0 {
		return true
	}
	return work.Job.Shape == protocol.ShapeGang && work.WaitedSeconds >= a.settings.ScaleIn.BootTimeoutFactor*machineType.BootSeconds
}

// costPerTask returns the cost of a machine, from its rental until its tasks are done, per task
// that the machine runs, including the surcharge for overdue machines. The boot time counts twice,
// because the job also has to wait while the machine boots. useful is the number of the job's tasks
// that may be placed in the machine's zone. The cost is infinite if no task fits.
func (p *rentalPlan) costPerTask(work *UnplacedWork, useful int, choice offering, machineType *protocol.MachineType) float64 {
	capacity := machineType.TasksThatFit(work.Job, math.MaxInt32)
	if capacity == 0 {
		return math.Inf(1)
	}
	price := machineType.OnDemandPrice
	if choice.spot {
		price = machineType.SpotPrice
	}
	// Capacity that this job leaves free can be used by other waiting jobs.
	usedByJob := float64(min(capacity, useful)) / float64(capacity)
	usedByAll := p.demand.waitingCores / max(machineType.Cores, 1)
	used := min(1, max(usedByJob, usedByAll))
	cost := price / used / float64(capacity) * (2*machineType.BootSeconds + work.estimateSeconds())
	return cost * (1 + overdueSurcharge*float64(min(p.overdue[choice], fullSurchargeCount))/fullSurchargeCount)
}
