package autoscaler

import (
	"math"
	"slices"

	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// zonePlacement says where machines help a gang, of which each zone may take but so many tasks.
// For what may be anywhere it counts nothing.
//
// A gang apart needs room in two zones at once, and one in one zone all of it there.
// Rented where they were cheapest, machines came up in the wrong zone, stood idle, were
// returned, and the next were rented, for ever (random day 300683: a gang apart, whose
// part had lost the last machine of a zone, waited for 370 s beside 37 rentals). A gang
// in one zone nearly always has its machines there, so only one that has waited for as
// long as machines may boot is looked after in this way.
type zonePlacement struct {
	tasksPerZone int            // tasks in a zone; 0: nothing is counted
	singleZone   bool           // all of it in one zone
	chosenZone   string         // that one; "": not chosen yet
	tasksByZone  map[string]int // tasks that have room there, or are to have it
	startable    int            // of them, in what is free now
}

func (f *Autoscaler) placementZones(g *UnplacedWork, bins []*freeCapacity) (z zonePlacement) {
	j := g.Job
	switch {
	case j.Shape != protocol.ShapeGang || j.Tasks < 2:
		return z
	case j.SpreadZones:
		z.tasksPerZone = shard.MaxPerZone(j)
	case j.SingleZone && g.WaitedSeconds > f.longestUsualBoot():
		z.tasksPerZone, z.singleZone = j.Tasks, true
		z.chosenZone = f.bestZone(g, bins)
	default:
		return z
	}
	z.tasksByZone = map[string]int{}
	if z.singleZone && z.chosenZone == "" {
		return z // all of it anew
	}
	for zone, k := range g.FreeSlotsByZone {
		z.startable += z.add(zone, min(k, z.remaining(zone)))
	}
	return z
}

// longestUsualBoot is how long the slowest type may take to boot, in seconds.
func (f *Autoscaler) longestUsualBoot() (s float64) {
	for _, t := range f.machineTypes {
		s = max(s, overdueFactor*t.BootSeconds)
	}
	return s
}

// bestZone is the one that has most for a gang in what is free and what boots, of those
// that have all of it or where the cloud has not refused the rest; "" if there is none:
// the first machine asked for decides then.
func (f *Autoscaler) bestZone(g *UnplacedWork, bins []*freeCapacity) (best string) {
	has, open := map[string]int{}, map[string]bool{}
	for zone, k := range g.FreeSlotsByZone {
		has[zone] += k
	}
	for _, b := range bins {
		if shard.CanRunOn(g.Job, b.machineType, b.zone, b.spot) {
			has[b.zone] += (&protocol.MachineType{Cores: b.cores, GPUs: b.gpus, MemoryGB: b.memory}).TasksThatFit(g.Job, g.Tasks)
		}
	}
	var all []string
	for _, t := range f.machineTypes {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if shard.CanRunOn(g.Job, t, zone, spot) {
					all = append(all, zone)
					open[zone] = open[zone] || f.backoffs[offering{t.Name, zone, spot}].failures == 0
				}
			}
		}
	}
	slices.Sort(all)
	for _, zone := range all {
		if (has[zone] >= g.Job.Tasks || open[zone]) && has[zone] > has[best] {
			best = zone
		}
	}
	return best
}

// remaining is how many more tasks a zone may take.
func (z *zonePlacement) remaining(zone string) int {
	switch {
	case z.tasksPerZone == 0:
		return math.MaxInt32
	case z.chosenZone != "" && z.chosenZone != zone:
		return 0
	}
	return z.tasksPerZone - z.tasksByZone[zone]
}

// add counts tasks into a zone and gives their number.
func (z *zonePlacement) add(zone string, k int) int {
	if z.tasksPerZone > 0 && k > 0 {
		z.tasksByZone[zone] += k
		if z.singleZone {
			z.chosenZone = zone
		}
	}
	return k
}
