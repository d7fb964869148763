package autoscaler

import (
	"math"
	"sort"
	"time"

	"curlewspool/internal/protocol"
)

// This file works out how many machines the work that is there will take, and what of
// that is booting already.

// boots of the usual length take up to this many times the type's boot time
// (PROTOCOL, "Controller nodes -> cloud"). What takes longer takes several times as
// long, or never comes up.
const overdueFactor = 1.5

// isOverdue: it takes longer than machines of its type usually do.
func (b *bootingMachine) isOverdue(t *protocol.MachineType, now time.Duration) bool {
	return (now - b.requestedAt).Seconds() > overdueFactor*t.BootSeconds
}

// overdueSurcharge is how much dearer an option may be whose machines come up in time.
const overdueSurcharge = 0.25

// findOverdue lists machines that take longer to boot than machines usually do. They
// count for nothing until they come, and what waits for them is rented anew: they
// come too late or never. Those that come after all are used like any other, or
// returned. Not more of them than a quarter of what is up, the oldest first: where
// most are late, the next would be, too, and would only be paid for as well.
func (f *Autoscaler) findOverdue(up int, now time.Duration) map[string]bool {
	var ids []string
	for id, b := range f.booting {
		if t := f.machineTypes[b.typeName]; t != nil && b.isOverdue(t, now) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, k int) bool {
		a, b := f.booting[ids[i]].requestedAt, f.booting[ids[k]].requestedAt
		return a < b || a == b && ids[i] < ids[k]
	})
	out := map[string]bool{}
	for _, id := range ids[:min(len(ids), max(2, up/4))] {
		out[id] = true
	}
	return out
}

// spotDemand is what waits in all, against what could take it.
type spotDemand struct {
	waitingCores    float64     // that waiting tasks of spot jobs take
	onDemandSurplus bool        // they are in time without the ordinary machines rented
	shortfalls      []shortfall // what is late without more of them
	rentedCores     float64     // cores that this round rents
}

// shortfall is a lack of cores for what is due within a time.
type shortfall struct{ withinSeconds, cores float64 }

// missingCores is how many cores of machines that boot in the given time would help:
// ones that are up for less than half of the time in question are not for it.
func (d *spotDemand) missingCores(boot float64) float64 {
	most := 0.0
	for _, s := range d.shortfalls {
		if s.withinSeconds >= 2*boot {
			most = max(most, s.cores)
		}
	}
	return most - d.rentedCores
}

// estimateDemand works out what spot jobs wait for. Ordinary machines are rented for
// them only as far as work that can still be in time would be late on what is
// there or boots: done in the order of what is due, with the runs under way
// half over.
func (f *Autoscaler) estimateDemand(known []KnownMachine, retiring map[string]bool, gaps []UnplacedWork, busy RunningLoad, now time.Duration) spotDemand {
	type supply struct{ cores, boot float64 }
	up, boots := -busy.UnreachableCores, []supply{}
	rented := -busy.OnDemandCores // ordinary cores that the others leave
	for _, k := range known {
		if t := f.machineTypes[k.Record.Type]; t != nil && !retiring[k.ID] {
			up += t.Cores
			if !k.Record.Spot && !k.Record.Owned {
				rented += t.Cores
			}
		}
	}
	for _, id := range f.bootingMachineIDs() {
		b := f.booting[id]
		if t := f.machineTypes[b.typeName]; t != nil && !f.overdue[id] {
			boots = append(boots, supply{t.Cores, max(0, t.BootSeconds-(now-b.requestedAt).Seconds())})
			if !b.spot {
				rented += t.Cores
			}
		}
	}
	fastest := math.Inf(1)
	for _, t := range f.machineTypes {
		fastest = min(fastest, t.BootSeconds)
	}
	held := busy.OnDemandCores
	type due struct {
		in, work float64
		rank     int
	}
	var d spotDemand
	var list []due
	for _, g := range gaps {
		c := float64(g.Tasks) * max(g.Job.Cores, g.Job.GPUs)
		if !g.Job.AllowSpot {
			held += c
			continue
		}
		d.waitingCores += c
		e := max(g.Job.Estimate, 1)
		if len(g.DeadlineSeconds) == 0 { // as soon as it could be
			list = append(list, due{max(e/2, 2*fastest), c * e, g.Job.Priority})
		}
		for _, at := range g.DeadlineSeconds {
			// The first that can still be met without an effort out of
			// proportion, by machines that would be up for half of the time. A
			// part of an estimate is kept for what estimates miss.
			if in := at - g.WaitedSeconds - 1.25*e; in >= max(e/2, 2*fastest) {
				list = append(list, due{in, c * e, g.Job.Priority})
				break
			}
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].in < list[k].in })
	d.onDemandSurplus = true
	rented = max(0, rented)
	work := busy.SpotCoreSeconds
	for _, g := range list {
		work += g.work
		capacity := up - held
		for _, s := range boots {
			capacity += s.cores * max(0, 1-s.boot/g.in)
		}
		missing := work/g.in + f.expectedCores(g.rank) - max(0, capacity)
		d.shortfalls = append(d.shortfalls, shortfall{g.in, missing})
		if missing+rented > 0 {
			d.onDemandSurplus = false
		}
	}
	return d
}
