package fleet

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"curlewspool/internal/part"
	"curlewspool/internal/wire"
	"curlewspool/internal/world"
)

// This file chooses which machines to rent for work without room, and asks for them.

type option struct {
	typ, zone string
	spot      bool
}

type refusal struct {
	until time.Duration
	times int
}

type unsure struct {
	req wire.Rental
	at  time.Duration
}

// --- rentals ---

type bin struct {
	option
	t                *wire.MachineType
	cores, gpus, mem float64
}

func (b *bin) take(j *wire.Job, n int) int {
	k := 0
	for k < n && b.cores+1e-9 >= j.Cores && b.gpus+1e-9 >= j.GPUs && b.mem+1e-9 >= j.Memory {
		b.cores -= j.Cores
		b.gpus -= j.GPUs
		b.mem -= j.Memory
		k++
		if j.Cores+j.GPUs+j.Memory == 0 {
			return n
		}
	}
	return k
}

func (f *Fleet) rent(known []Known, retiring map[string]bool, gaps []Gap, busy Busy, now time.Duration) {
	// A rental without an answer is asked again under its name, so that what
	// it rented is known.
	for len(f.unsure) > 0 && f.renting < 2 && f.spend() {
		u := f.unsure[0]
		f.unsure = f.unsure[1:]
		f.ask(u.req, u.at)
	}
	// What may only use ordinary machines comes first, large before small:
	// else small tasks would be counted into the machines that boot for it,
	// and more would be rented than start.
	sort.SliceStable(gaps, func(i, k int) bool {
		if gaps[i].Job.Spot != gaps[k].Job.Spot {
			return !gaps[i].Job.Spot
		}
		if a, b := gaps[i].Job, gaps[k].Job; !a.Spot && a.Cores != b.Cores {
			return a.Cores > b.Cores
		}
		if gaps[i].Job.Rank != gaps[k].Job.Rank {
			return gaps[i].Job.Rank > gaps[k].Job.Rank
		}
		return gaps[i].Waited > gaps[k].Waited
	})
	var bins []*bin
	add := func(o option) *bin {
		t := f.types[o.typ]
		if t == nil {
			return nil
		}
		b := &bin{o, t, t.Cores, t.GPUs, t.Memory}
		bins = append(bins, b)
		return b
	}
	late := map[option]int{}
	for _, id := range f.bootingIDs() {
		if b := f.booting[id]; f.late[id] {
			late[b.option]++
		} else {
			add(b.option)
		}
	}
	for _, u := range f.unsure {
		for i := 0; i < u.req.Count; i++ {
			add(option{u.req.Type, u.req.Zone, u.req.Spot})
		}
	}
	all := f.demand(known, retiring, gaps, busy, now)
	f.spared = all.spared
	want := map[option]int{}
	var order []option
	probed := map[option]bool{}
	for _, g := range gaps {
		n := g.Tasks
		z := f.zonesOf(&g, bins)
		n -= z.free
		for _, b := range bins {
			if n <= 0 {
				break
			}
			if part.Allows(g.Job, b.t, b.zone, b.spot) {
				n -= z.took(b.zone, b.take(g.Job, min(n, z.may(b.zone))))
			}
		}
		for n > 0 {
			o, ok := f.cheapest(g, n, &z, &all, probed, late, now)
			if !ok {
				break
			}
			// What was refused last is asked for one machine, which counts for
			// nothing before it is granted. (Hundreds of spot machines that the
			// cloud did not have were counted as good as there, round after
			// round, and thousands of cores' worth of work was late without the
			// ordinary machines that there were.)
			if f.refused[o].times > 0 {
				probed[o], want[o] = true, 1
				order = append(order, o)
				continue
			}
			b := add(o)
			if g.Job.Spot { // spot machines wanted now count as well
				all.added += b.cores
			}
			k := z.took(o.zone, b.take(g.Job, min(n, z.may(o.zone))))
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
		if f.renting >= 2 || !f.spend() {
			return
		}
		f.n++
		slog.Debug("fleet: asks", "type", o.typ, "zone", o.zone, "spot", o.spot, "count", want[o], "lacks", all.lacks(f.types[o.typ].Boot), "wait", all.cores, "busy", busy)
		f.ask(wire.Rental{Request: fmt.Sprintf("%s-%d", f.name, f.n), Type: o.typ, Zone: o.zone, Spot: o.spot, Count: min(want[o], 50)}, now)
	}
}

// cheapest finds what to rent for up to n tasks of a job: the least money for
// a task until it is done, boot time included; a boot counts twice, since the
// job waits for it as well.
func (f *Fleet) cheapest(g Gap, n int, z *zones, all *demand, probed map[option]bool, late map[option]int, now time.Duration) (option, bool) {
	var best option
	cost := math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(f.types)) {
		t := f.types[name]
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := option{name, zone, spot}
				if z.may(zone) <= 0 || !part.Allows(g.Job, t, zone, spot) || probed[o] || now < f.refused[o].until {
					continue
				}
				if !spot && g.Starts > 0 && g.Starts < t.Boot {
					continue // it starts sooner where it waits
				}
				price := t.Price
				if spot {
					price = t.Spot
				} else if g.Job.Spot && all.lacks(t.Boot) <= 0 && (g.Job.Shape != wire.Gang || g.Waited < f.s.Rent.LateBoots*t.Boot) {
					// There is enough in all. (A gang may need it in one zone, which
					// the sum does not show: it would wait for ever.)
					continue
				}
				full := t.Fits(g.Job, math.MaxInt32)
				if full == 0 {
					continue
				}
				// What this job leaves free is there for the others that wait.
				used := min(1, max(float64(min(full, n, z.may(zone)))/float64(full), all.cores/max(t.Cores, 1)))
				c := price / used / float64(full) * (2*t.Boot + max(g.Job.Estimate, 1))
				// Where machines are overdue another may be as well: rather another
				// zone, and another type only if it costs little more.
				c *= 1 + overduePays*float64(min(late[o], 4))/4
				if c < cost {
					best, cost = o, c
				}
			}
		}
	}
	return best, !math.IsInf(cost, 1)
}

func (f *Fleet) ask(req wire.Rental, at time.Duration) {
	f.renting++
	out := &wire.MachineNames{}
	f.w.Call(f.addr, "POST", "/rentals", &req, out, timeout, func(status int) {
		f.renting--
		o := option{req.Type, req.Zone, req.Spot}
		now := f.w.Now()
		switch status {
		case 200:
			slog.Info("fleet: rented", "type", req.Type, "zone", req.Zone, "spot", req.Spot, "wanted", req.Count, "got", out.Machines)
			for _, id := range out.Machines {
				f.booting[id] = booting{o, at, false}
			}
			if len(out.Machines) < req.Count {
				f.refuse(o, now)
			} else {
				delete(f.refused, o)
			}
		case 503:
			f.refuse(o, now)
		case 400:
			slog.Error("fleet: rental refused as malformed", "type", req.Type)
			f.refuse(o, now)
		default:
			f.unsure = append(f.unsure, &unsure{req, at})
		}
	})
}

// refuse: none to be had of this type, zone and kind; asked again after a
// pause that grows.
func (f *Fleet) refuse(o option, now time.Duration) {
	r := f.refused[o]
	r.times = min(r.times+1, 4)
	boot := 20.0
	if t := f.types[o.typ]; t != nil {
		boot = t.Boot
	}
	r.until = now + world.Seconds(boot/4*float64(r.times)*(0.75+f.w.Rand().Float64()/2))
	f.refused[o] = r
}
