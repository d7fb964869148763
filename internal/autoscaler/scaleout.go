package autoscaler

import (
	"log/slog"
	"sort"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file decides which machines to rent for work that fits on no existing capacity.

// maxMachinesPerRental is the maximum number of machines that one request asks for.
const maxMachinesPerRental = 50

// maxRentalsInFlight is the maximum number of rental requests that wait for answers at a time.
const maxRentalsInFlight = 2

// scaleOut rents machines for the work that fits neither on free nor on booting machines.
func (a *Autoscaler) scaleOut(state *ClusterState, now time.Duration) {
	a.retryUnanswered()
	sortForPlacement(state.Unplaced)
	plan := a.newRentalPlan(a.estimateDemand(state, now))
	a.spotSuffices = plan.demand.spotSuffices
	for i := range state.Unplaced {
		a.planRentalsFor(&state.Unplaced[i], plan, now)
	}
	a.requestPlannedRentals(plan, &state.Running, now)
}

// sortForPlacement sorts work into the order in which it is placed. Work that may only use
// on-demand machines comes first, with large tasks before small ones. Otherwise, small tasks would
// be placed on the machines that boot for large tasks, and more machines would be rented than are
// needed. The rest is sorted by priority, the highest first, and then by waiting time, the longest
// first.
func sortForPlacement(unplaced []UnplacedWork) {
	sort.SliceStable(unplaced, func(i, k int) bool {
		first, second := &unplaced[i], &unplaced[k]
		switch {
		case first.Job.AllowSpot != second.Job.AllowSpot:
			return !first.Job.AllowSpot
		case !first.Job.AllowSpot && first.Job.Cores != second.Job.Cores:
			return first.Job.Cores > second.Job.Cores
		case first.Job.Priority != second.Job.Priority:
			return first.Job.Priority > second.Job.Priority
		}
		return first.WaitedSeconds > second.WaitedSeconds
	})
}

// capacityTolerance absorbs rounding errors when fractions of a machine are added up.
const capacityTolerance = 1e-9

// freeCapacity is the free capacity of a machine that is booting or is to be rented.
type freeCapacity struct {
	offering
	machineType         *protocol.MachineType
	cores, gpus, memory float64
	reportBytes         int // bytes of the machine's report that tasks may fill, see protocol.ReportCapacity
}

// place reserves capacity for up to the given number of a job's tasks and returns how many
// fit.
func (c *freeCapacity) place(job *protocol.Job, tasks int) int {
	placed := 0
	for placed < tasks && c.fits(job) {
		c.cores -= job.Cores
		c.gpus -= job.GPUs
		c.memory -= job.MemoryGB
		c.reportBytes -= protocol.TaskReportSize(job.ID)
		placed++
	}
	return placed
}

// fits reports whether one more task of the job fits on the machine.
func (c *freeCapacity) fits(job *protocol.Job) bool {
	return c.cores+capacityTolerance >= job.Cores &&
		c.gpus+capacityTolerance >= job.GPUs &&
		c.memory+capacityTolerance >= job.MemoryGB &&
		c.reportBytes >= protocol.TaskReportSize(job.ID)
}

// rentalPlan collects the machines that one round rents.
type rentalPlan struct {
	capacity []*freeCapacity   // booting and planned machines, in the order in which they are filled
	counts   map[offering]int  // machines to rent
	order    []offering        // keys of counts, in the order in which they were chosen
	probed   map[offering]bool // offerings that are excluded for the rest of the round, see probe
	overdue  map[offering]int  // number of overdue machines
	demand   spotDemand
}

// newRentalPlan returns a plan that rents no machines yet. Its capacity consists of the booting
// machines that are not overdue and of the machines of unanswered rental requests.
func (a *Autoscaler) newRentalPlan(demand spotDemand) *rentalPlan {
	plan := &rentalPlan{
		counts:  map[offering]int{},
		probed:  map[offering]bool{},
		overdue: map[offering]int{},
		demand:  demand,
	}
	for _, id := range a.bootingMachineIDs() {
		machine := a.booting[id]
		if a.overdue[id] {
			plan.overdue[machine.offering]++
		} else {
			plan.addMachine(machine.offering, a.machineTypes[machine.typeName])
		}
	}
	for _, rental := range a.unanswered {
		asked := offeringOf(&rental.request)
		for range rental.request.Count {
			plan.addMachine(asked, a.machineTypes[asked.typeName])
		}
	}
	return plan
}

// addMachine adds the capacity of an empty machine. It returns nil if the machine type is unknown.
func (p *rentalPlan) addMachine(machine offering, machineType *protocol.MachineType) *freeCapacity {
	if machineType == nil {
		return nil
	}
	capacity := &freeCapacity{
		offering:    machine,
		machineType: machineType,
		cores:       machineType.Cores,
		gpus:        machineType.GPUs,
		memory:      machineType.MemoryGB,
		reportBytes: protocol.ReportCapacity,
	}
	p.capacity = append(p.capacity, capacity)
	return capacity
}

// rent adds one machine to those to be rented.
func (p *rentalPlan) rent(choice offering) {
	if p.counts[choice] == 0 {
		p.order = append(p.order, choice)
	}
	p.counts[choice]++
}

// probe plans to request a single machine of an offering whose latest request was refused, and
// excludes the offering for the rest of the round. The machine does not count as capacity before
// it is rented. If machines that the cloud refuses counted as capacity in every round, no on-demand
// machines would be rented in place of unavailable spot machines. In one such case, hundreds of
// unavailable spot machines were counted, and work for thousands of cores missed its deadlines.
func (p *rentalPlan) probe(choice offering) {
	p.probed[choice] = true
	p.counts[choice] = 1
	p.order = append(p.order, choice)
}

// planRentalsFor chooses the machines to rent for the tasks of a job that fit on no free, booting
// or already planned machine.
func (a *Autoscaler) planRentalsFor(work *UnplacedWork, plan *rentalPlan, now time.Duration) {
	zones := a.placementZones(work, plan.capacity)
	tasks := work.Tasks - zones.startableTasks
	for _, machine := range plan.capacity {
		if tasks <= 0 {
			return
		}
		if shard.CanRunOn(work.Job, machine.machineType, machine.zone, machine.spot) {
			tasks -= zones.place(machine, work.Job, tasks)
		}
	}
	for tasks > 0 {
		choice, ok := a.cheapestOffering(work, tasks, &zones, plan, now)
		if !ok {
			return
		}
		if a.backoffs[choice].failures > 0 {
			plan.probe(choice)
			continue
		}
		machine := plan.addMachine(choice, a.machineTypes[choice.typeName])
		if work.Job.AllowSpot { // rentedCores counts both spot and on-demand machines rented for spot jobs
			plan.demand.rentedCores += machine.cores
		}
		placed := zones.place(machine, work.Job, tasks)
		if placed == 0 {
			return
		}
		tasks -= placed
		plan.rent(choice)
		if plan.counts[choice] >= maxMachinesPerRental {
			return
		}
	}
}

// requestPlannedRentals sends the rental requests of a plan, as far as the request limits allow.
func (a *Autoscaler) requestPlannedRentals(plan *rentalPlan, running *RunningLoad, now time.Duration) {
	for _, choice := range plan.order {
		if !a.takeRentalBudget() {
			return
		}
		slog.Debug("autoscaler: requesting machines",
			"type", choice.typeName, "zone", choice.zone, "spot", choice.spot, "count", plan.counts[choice],
			"missing_cores", plan.demand.missingCores(a.machineTypes[choice.typeName].BootSeconds),
			"waiting_cores", plan.demand.waitingCores, "running", *running)
		a.requestRental(a.newRentalRequest(choice, min(plan.counts[choice], maxMachinesPerRental)), now)
	}
}
