package autoscaler

import (
	"math"
	"slices"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// zonePlacement limits how many tasks each zone may take, for a gang with a zone constraint. For
// any other job there is no limit.
//
// A gang that is spread over zones needs capacity in two zones at once, and a single-zone gang needs
// all of its capacity in one zone. If machines were rented wherever they are cheapest, they could
// come up in the wrong zone, stay idle and be deleted, and the next machines would be rented in the
// same zone, indefinitely. In random scenario 300683, a shard had lost its last machine of a zone,
// and a spread gang waited for 370 s while 37 rentals were made.
//
// Machines for a single-zone gang are nearly always rented in one zone even without a limit.
// Therefore, the zone of such a gang is chosen only once the gang has waited for longer than
// machines usually take to boot.
type zonePlacement struct {
	tasksPerZone      int  // maximum number of tasks per zone; 0: no limit, and placed tasks are not counted
	singleZone        bool // all tasks must be in one zone
	chosenZone        string
	placedTasksByZone map[string]int // tasks that have free, booting or planned capacity
	startableTasks    int            // number of placed tasks that could start now on free capacity
}

// placementZones returns the zone limits for work. In the result, the tasks that could start now on
// free capacity are already counted as placed, as far as the limits allow.
func (a *Autoscaler) placementZones(work *UnplacedWork, capacity []*freeCapacity) zonePlacement {
	job := work.Job
	var zones zonePlacement
	switch {
	case job.Shape != protocol.ShapeGang || job.Tasks < 2:
		return zones
	case job.SpreadZones:
		zones.tasksPerZone = shard.MaxPerZone(job)
	case job.SingleZone && work.WaitedSeconds > a.longestExpectedBootSeconds():
		zones.tasksPerZone, zones.singleZone = job.Tasks, true
		zones.chosenZone = a.bestZone(work, capacity)
	default:
		return zones
	}
	zones.placedTasksByZone = map[string]int{}
	if zones.singleZone && zones.chosenZone == "" {
		return zones // the first machine rented determines the zone
	}
	for zone, tasks := range work.StartableTasksByZone {
		zones.startableTasks += zones.add(zone, min(tasks, zones.remaining(zone)))
	}
	return zones
}

// bestZone returns the zone in which the largest number of a gang's tasks fit on free, booting and
// planned machines. A zone in which the whole gang does not fit is considered only if more machines
// may be rented there. bestZone returns "" if no task fits in any considered zone.
func (a *Autoscaler) bestZone(work *UnplacedWork, capacity []*freeCapacity) string {
	fitting := fittingTasksByZone(work, capacity)
	best := ""
	for _, zone := range a.allowedZones(work.Job) {
		suffices := fitting[zone] >= work.Job.Tasks || a.mayRentIn(zone, work.Job)
		if suffices && fitting[zone] > fitting[best] {
			best = zone
		}
	}
	return best
}

// fittingTasksByZone counts, by zone, the tasks of a gang that fit on free, booting and planned
// machines.
func fittingTasksByZone(work *UnplacedWork, capacity []*freeCapacity) map[string]int {
	fitting := map[string]int{}
	for zone, free := range work.StartableTasksByZone {
		fitting[zone] += free
	}
	for _, machine := range capacity {
		if shard.CanRunOn(work.Job, machine.machineType, machine.zone, machine.spot) {
			free := protocol.MachineType{Cores: machine.cores, GPUs: machine.gpus, MemoryGB: machine.memory}
			fitting[machine.zone] += free.TasksThatFit(work.Job, work.Job.Tasks)
		}
	}
	return fitting
}

// allowedZones lists the zones with machines that a job may use, sorted by name.
func (a *Autoscaler) allowedZones(job *protocol.Job) []string {
	var zones []string
	for choice := range a.allowedOfferings(job) {
		zones = append(zones, choice.zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// mayRentIn reports whether the zone has an offering that the job may use and that the cloud has
// not refused lately.
func (a *Autoscaler) mayRentIn(zone string, job *protocol.Job) bool {
	for choice := range a.allowedOfferings(job) {
		if choice.zone == zone && a.backoffs[choice].failures == 0 {
			return true
		}
	}
	return false
}

// remaining returns how many more tasks a zone may take.
func (z *zonePlacement) remaining(zone string) int {
	switch {
	case z.tasksPerZone == 0:
		return math.MaxInt32
	case z.chosenZone != "" && z.chosenZone != zone:
		return 0
	}
	return z.tasksPerZone - z.placedTasksByZone[zone]
}

// add counts tasks as placed in a zone and returns their number. For a single-zone gang, it also
// chooses the zone. Tasks without a zone limit are not counted.
func (z *zonePlacement) add(zone string, tasks int) int {
	if z.tasksPerZone > 0 && tasks > 0 {
		z.placedTasksByZone[zone] += tasks
		if z.singleZone {
			z.chosenZone = zone
		}
	}
	return tasks
}

// place reserves capacity on a machine for up to the given number of a job's tasks, within the
// limit of its zone, and returns how many fit.
func (z *zonePlacement) place(machine *freeCapacity, job *protocol.Job, tasks int) int {
	return z.add(machine.zone, machine.place(job, min(tasks, z.remaining(machine.zone))))
}
