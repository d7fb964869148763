package autoscaler

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"curlewspool/internal/env"
	"curlewspool/internal/protocol"
	"curlewspool/internal/shard"
)

// This file chooses which machines to rent for work without room, and asks for them.

type offering struct {
	typeName, zone string
	spot           bool
}

type backoff struct {
	until    time.Duration
	failures int
}

type unansweredRental struct {
	request     protocol.RentalRequest
	requestedAt time.Duration
}

// --- rentals ---

type freeCapacity struct {
	offering
	machineType         *protocol.MachineType
	cores, gpus, memory float64
}

func (b *freeCapacity) place(j *protocol.Job, n int) int {
	k := 0
	for k < n && b.cores+1e-9 >= j.Cores && b.gpus+1e-9 >= j.GPUs && b.memory+1e-9 >= j.MemoryGB {
		b.cores -= j.Cores
		b.gpus -= j.GPUs
		b.memory -= j.MemoryGB
		k++
		if j.Cores+j.GPUs+j.MemoryGB == 0 {
			return n
		}
	}
	return k
}

func (f *Autoscaler) scaleOut(known []KnownMachine, retiring map[string]bool, gaps []UnplacedWork, busy RunningLoad, now time.Duration) {
	// A rental without an answer is asked again under its name, so that what
	// it rented is known.
	for len(f.unanswered) > 0 && f.rentalsInFlight < 2 && f.takeRequestBudget() {
		u := f.unanswered[0]
		f.unanswered = f.unanswered[1:]
		f.requestRental(u.request, u.requestedAt)
	}
	// What may only use ordinary machines comes first, large before small:
	// else small tasks would be counted into the machines that boot for it,
	// and more would be rented than start.
	sort.SliceStable(gaps, func(i, k int) bool {
		if gaps[i].Job.AllowSpot != gaps[k].Job.AllowSpot {
			return !gaps[i].Job.AllowSpot
		}
		if a, b := gaps[i].Job, gaps[k].Job; !a.AllowSpot && a.Cores != b.Cores {
			return a.Cores > b.Cores
		}
		if gaps[i].Job.Priority != gaps[k].Job.Priority {
			return gaps[i].Job.Priority > gaps[k].Job.Priority
		}
		return gaps[i].WaitedSeconds > gaps[k].WaitedSeconds
	})
	var bins []*freeCapacity
	add := func(o offering) *freeCapacity {
		t := f.machineTypes[o.typeName]
		if t == nil {
			return nil
		}
		b := &freeCapacity{o, t, t.Cores, t.GPUs, t.MemoryGB}
		bins = append(bins, b)
		return b
	}
	late := map[offering]int{}
	for _, id := range f.bootingMachineIDs() {
		if b := f.booting[id]; f.overdue[id] {
			late[b.offering]++
		} else {
			add(b.offering)
		}
	}
	for _, u := range f.unanswered {
		for i := 0; i < u.request.Count; i++ {
			add(offering{u.request.Type, u.request.Zone, u.request.Spot})
		}
	}
	all := f.estimateDemand(known, retiring, gaps, busy, now)
	f.onDemandSurplus = all.onDemandSurplus
	want := map[offering]int{}
	var order []offering
	probed := map[offering]bool{}
	for _, g := range gaps {
		n := g.Tasks
		z := f.placementZones(&g, bins)
		n -= z.startable
		for _, b := range bins {
			if n <= 0 {
				break
			}
			if shard.CanRunOn(g.Job, b.machineType, b.zone, b.spot) {
				n -= z.add(b.zone, b.place(g.Job, min(n, z.remaining(b.zone))))
			}
		}
		for n > 0 {
			o, ok := f.cheapestOffering(g, n, &z, &all, probed, late, now)
			if !ok {
				break
			}
			// What was refused last is asked for one machine, which counts for
			// nothing before it is granted. (Hundreds of spot machines that the
			// cloud did not have were counted as good as there, round after
			// round, and thousands of cores' worth of work was late without the
			// ordinary machines that there were.)
			if f.backoffs[o].failures > 0 {
				probed[o], want[o] = true, 1
				order = append(order, o)
				continue
			}
			b := add(o)
			if g.Job.AllowSpot { // spot machines wanted now count as well
				all.rentedCores += b.cores
			}
			k := z.add(o.zone, b.place(g.Job, min(n, z.remaining(o.zone))))
			if k == 0 {
				break
			}
			n -= k
			if want[o] == 0 {
				order = append(order, o)
			}
			want[o]++
			if want[o] >= 50 {
				break
			}
		}
	}
	for _, o := range order {
		if f.rentalsInFlight >= 2 || !f.takeRequestBudget() {
			return
		}
		f.requestCount++
		slog.Debug("fleet: asks", "type", o.typeName, "zone", o.zone, "spot", o.spot, "count", want[o], "lacks", all.missingCores(f.machineTypes[o.typeName].BootSeconds), "wait", all.waitingCores, "busy", busy)
		f.requestRental(protocol.RentalRequest{RequestID: fmt.Sprintf("%s-%d", f.requestPrefix, f.requestCount), Type: o.typeName, Zone: o.zone, Spot: o.spot, Count: min(want[o], 50)}, now)
	}
}

// cheapestOffering finds what to rent for up to n tasks of a job: the least money for
// a task until it is done, boot time included; a boot counts twice, since the
// job waits for it as well.
func (f *Autoscaler) cheapestOffering(g UnplacedWork, n int, z *zonePlacement, all *spotDemand, probed map[offering]bool, late map[offering]int, now time.Duration) (offering, bool) {
	var best offering
	cost := math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(f.machineTypes)) {
		t := f.machineTypes[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := offering{name, zone, spot}
				if z.remaining(zone) <= 0 || !shard.CanRunOn(g.Job, t, zone, spot) || probed[o] || now < f.backoffs[o].until {
					continue
				}
				if !spot && g.StartsInSeconds > 0 && g.StartsInSeconds < t.BootSeconds {
					continue // it starts sooner where it waits
				}
				price := t.OnDemandPrice
				if spot {
					price = t.SpotPrice
				} else if g.Job.AllowSpot && all.missingCores(t.BootSeconds) <= 0 && (g.Job.Shape != protocol.ShapeGang || g.WaitedSeconds < f.settings.Rent.LateBoots*t.BootSeconds) {
					// There is enough in all. (A gang may need it in one zone, which
					// the sum does not show: it would wait for ever.)
					continue
				}
				full := t.TasksThatFit(g.Job, math.MaxInt32)
				if full == 0 {
					continue
				}
				// What this job leaves free is there for the others that wait.
				used := min(1, max(float64(min(full, n, z.remaining(zone)))/float64(full), all.waitingCores/max(t.Cores, 1)))
				c := price / used / float64(full) * (2*t.BootSeconds + max(g.Job.Estimate, 1))
				// Where machines are overdue another may be as well: rather another
				// zone, and another type only if it costs little more.
				c *= 1 + overdueSurcharge*float64(min(late[o], 4))/4
				if c < cost {
					best, cost = o, c
				}
			}
		}
	}
	return best, !math.IsInf(cost, 1)
}

func (f *Autoscaler) requestRental(req protocol.RentalRequest, at time.Duration) {
	f.rentalsInFlight++
	out := &protocol.MachineIDList{}
	f.env.Call(f.cloudAddress, "POST", "/rentals", &req, out, cloudTimeout, func(status int) {
		f.rentalsInFlight--
		o := offering{req.Type, req.Zone, req.Spot}
		now := f.env.Now()
		switch status {
		case 200:
			slog.Info("fleet: rented", "type", req.Type, "zone", req.Zone, "spot", req.Spot, "wanted", req.Count, "got", out.Machines)
			for _, id := range out.Machines {
				f.booting[id] = bootingMachine{o, at, false}
			}
			if len(out.Machines) < req.Count {
				f.backOff(o, now)
			} else {
				delete(f.backoffs, o)
			}
		case 503:
			f.backOff(o, now)
		case 400:
			slog.Error("fleet: rental refused as malformed", "type", req.Type)
			f.backOff(o, now)
		default:
			f.unanswered = append(f.unanswered, &unansweredRental{req, at})
		}
	})
}

// backOff: none to be had of this type, zone and kind; asked again after a
// pause that grows.
func (f *Autoscaler) backOff(o offering, now time.Duration) {
	r := f.backoffs[o]
	r.failures = min(r.failures+1, 4)
	boot := 20.0
	if t := f.machineTypes[o.typeName]; t != nil {
		boot = t.BootSeconds
	}
	r.until = now + env.Seconds(boot/4*float64(r.failures)*(0.75+f.env.Rand().Float64()/2))
	f.backoffs[o] = r
}
