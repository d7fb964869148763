package autoscaler

import (
	"math"
	"sort"
	"time"
)

// This file estimates whether spot jobs need on-demand machines to meet their deadlines.

// estimateMargin is the factor by which a run time may exceed its estimate.
const estimateMargin = 1.25

// minBootMultiple is the minimum time from the rental of a machine until the work is due, as a
// multiple of the machine's boot time. With a multiple of 2, the machine is up for at least half of
// the time until the work is due.
const minBootMultiple = 2

// spotDemand holds the result of comparing the waiting spot jobs with the capacity available to them.
type spotDemand struct {
	waitingCores float64     // cores that the waiting tasks take
	spotSuffices bool        // the jobs meet their deadlines without the rented on-demand machines
	shortfalls   []shortfall // missing cores for each due time; zero or negative if there are enough cores
	rentedCores  float64     // cores of the machines that this round rents for spot jobs
}

// shortfall is the number of cores that are missing for the work that is due within withinSeconds. It
// is zero or negative if there are enough cores.
type shortfall struct{ withinSeconds, cores float64 }

// missingCores returns the number of cores that are still to be rented on machines with the given
// boot time, in addition to those that this round rents already. It leaves out work that is due so
// soon that the machines would be up for less than half of the time until it is due. The result is
// negative if this round rents more cores than are missing.
func (d *spotDemand) missingCores(bootSeconds float64) float64 {
	missing := 0.0
	for _, entry := range d.shortfalls {
		if entry.withinSeconds >= minBootMultiple*bootSeconds {
			missing = max(missing, entry.cores)
		}
	}
	return missing - d.rentedCores
}

// expectedSupply is the capacity that is up or booting.
type expectedSupply struct {
	upCores       float64 // cores of all reachable machines that are not retiring
	onDemandCores float64 // cores of rented on-demand machines that are up or booting and left for spot jobs
	booting       []bootingSupply
}

// bootingSupply is a booting machine that is not overdue.
type bootingSupply struct{ cores, readyInSeconds float64 }

// meanCores returns the average number of cores that spot jobs can use during the given time.
// onDemandOnlyCores is the number of cores that jobs which may not use spot machines hold or wait
// for. It is deducted from the cores that are up.
func (s *expectedSupply) meanCores(seconds, onDemandOnlyCores float64) float64 {
	cores := s.upCores - onDemandOnlyCores
	for _, machine := range s.booting {
		cores += machine.cores * max(0, 1-machine.readyInSeconds/seconds)
	}
	return max(0, cores)
}

// expectedSupply returns the capacity of the machines that are up or booting.
func (a *Autoscaler) expectedSupply(state *ClusterState, now time.Duration) expectedSupply {
	total := expectedSupply{upCores: -state.Running.UnreachableCores, onDemandCores: -state.Running.OnDemandCores}
	for _, machine := range state.Machines {
		t := a.machineTypes[machine.Record.Type]
		if t == nil || state.Retiring[machine.ID] {
			continue
		}
		total.upCores += t.Cores
		if !machine.Record.Spot && !machine.Record.IsPermanent {
			total.onDemandCores += t.Cores
		}
	}
	for _, id := range a.bootingMachineIDs() {
		machine := a.booting[id]
		t := a.machineTypes[machine.typeName]
		if t == nil || a.overdue[id] {
			continue
		}
		total.booting = append(total.booting, bootingSupply{t.Cores, machine.readyInSeconds(t, now)})
		if !machine.spot {
			total.onDemandCores += t.Cores
		}
	}
	total.onDemandCores = max(0, total.onDemandCores)
	return total
}

// dueWork is unplaced work of a spot job that can still meet a deadline.
type dueWork struct {
	dueInSeconds, coreSeconds float64
	priority                  int
}

// estimateDemand estimates, for each time at which waiting work of spot jobs is due, how many cores
// are missing on the machines that are up or booting. Work that can no longer meet a deadline is left
// out of the shortfalls, so that on-demand machines are rented only for work that can still meet a
// deadline but would miss it on those machines.
//
// The estimate assumes that the running spot jobs are half done (see RunningLoad.SpotCoreSeconds) and
// are completed first, and that the waiting work is then done in the order in which it is due. The
// cores that future jobs of higher priority are expected to take are added.
func (a *Autoscaler) estimateDemand(state *ClusterState, now time.Duration) spotDemand {
	available := a.expectedSupply(state, now)
	onDemandOnlyCores := state.Running.OnDemandCores
	demand := spotDemand{spotSuffices: true}
	var queue []dueWork
	for i := range state.Unplaced {
		work := &state.Unplaced[i]
		if !work.Job.AllowSpot {
			onDemandOnlyCores += work.cores()
			continue
		}
		demand.waitingCores += work.cores()
		if due, ok := a.dueWorkFor(work); ok {
			queue = append(queue, due)
		}
	}
	sort.SliceStable(queue, func(i, k int) bool { return queue[i].dueInSeconds < queue[k].dueInSeconds })
	coreSeconds := state.Running.SpotCoreSeconds
	for _, due := range queue {
		coreSeconds += due.coreSeconds
		neededCores := coreSeconds/due.dueInSeconds + state.ExpectedCores(due.priority)
		missing := neededCores - available.meanCores(due.dueInSeconds, onDemandOnlyCores)
		demand.shortfalls = append(demand.shortfalls, shortfall{due.dueInSeconds, missing})
		if missing+available.onDemandCores > 0 {
			demand.spotSuffices = false
		}
	}
	return demand
}

// dueWorkFor returns the core-seconds of the work and the time until the work is due. Work is due
// estimateMargin times its estimated run time before a deadline. dueWorkFor takes the first deadline
// that can still be met at reasonable cost, which means that the time until the work is due is at
// least
//
//   - half of the estimated run time, and
//   - minBootMultiple times the shortest boot time, so that machines rented now are up for at least
//     half of the time until the work is due.
//
// Work without deadlines is due after the shortest time that meets both conditions. dueWorkFor
// returns false if the work has deadlines and none of them meets both conditions.
func (a *Autoscaler) dueWorkFor(work *UnplacedWork) (dueWork, bool) {
	estimate := work.estimateSeconds()
	soonest := max(estimate/2, minBootMultiple*a.fastestBootSeconds())
	due := dueWork{dueInSeconds: soonest, coreSeconds: work.cores() * estimate, priority: work.Job.Priority}
	if len(work.DeadlineSeconds) == 0 {
		return due, true
	}
	for _, deadline := range work.DeadlineSeconds {
		due.dueInSeconds = deadline - work.WaitedSeconds - estimateMargin*estimate
		if due.dueInSeconds >= soonest {
			return due, true
		}
	}
	return dueWork{}, false
}

// fastestBootSeconds returns the shortest boot time of all machine types.
func (a *Autoscaler) fastestBootSeconds() float64 {
	fastest := math.Inf(1)
	for _, t := range a.machineTypes {
		fastest = min(fastest, t.BootSeconds)
	}
	return fastest
}

// longestExpectedBootSeconds returns the time after which a rented machine of any type is either up or
// overdue.
func (a *Autoscaler) longestExpectedBootSeconds() float64 {
	longest := 0.0
	for _, t := range a.machineTypes {
		longest = max(longest, overdueFactor*t.BootSeconds)
	}
	return longest
}
