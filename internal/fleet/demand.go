package fleet

import (
	"math"
	"sort"
	"time"

	"curlewspool/internal/wire"
)

// This file works out how many machines the work that is there will take, and what of
// that is booting already.

// boots of the usual length take up to this many times the type's boot time
// (PROTOCOL, "Controller nodes -> cloud"). What takes longer takes several times as
// long, or never comes up.
const longBoot = 1.5

// slow: it takes longer than machines of its type usually do.
func (b *booting) slow(t *wire.MachineType, now time.Duration) bool {
	return (now - b.since).Seconds() > longBoot*t.Boot
}

// overduePays is how much dearer an option may be whose machines come up in time.
const overduePays = 0.25

// overdue lists machines that take longer to boot than machines usually do. They
// count for nothing until they come, and what waits for them is rented anew: they
// come too late or never. Those that come after all are used like any other, or
// returned. Not more of them than a quarter of what is up, the oldest first: where
// most are late, the next would be, too, and would only be paid for as well.
func (f *Fleet) overdue(up int, now time.Duration) map[string]bool {
	var ids []string
	for id, b := range f.booting {
		if t := f.types[b.typ]; t != nil && b.slow(t, now) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, k int) bool {
		a, b := f.booting[ids[i]].since, f.booting[ids[k]].since
		return a < b || a == b && ids[i] < ids[k]
	})
	out := map[string]bool{}
	for _, id := range ids[:min(len(ids), max(2, up/4))] {
		out[id] = true
	}
	return out
}

// demand is what waits in all, against what could take it.
type demand struct {
	cores  float64 // that waiting tasks of spot jobs take
	spared bool    // they are in time without the ordinary machines rented
	short  []short // what is late without more of them
	added  float64 // cores that this round rents
}

// short is a lack of cores for what is due within a time.
type short struct{ in, cores float64 }

// lacks is how many cores of machines that boot in the given time would help:
// ones that are up for less than half of the time in question are not for it.
func (d *demand) lacks(boot float64) float64 {
	most := 0.0
	for _, s := range d.short {
		if s.in >= 2*boot {
			most = max(most, s.cores)
		}
	}
	return most - d.added
}

// demand works out what spot jobs wait for. Ordinary machines are rented for
// them only as far as work that can still be in time would be late on what is
// there or boots: done in the order of what is due, with the runs under way
// half over.
func (f *Fleet) demand(known []Known, retiring map[string]bool, gaps []Gap, busy Busy, now time.Duration) demand {
	type supply struct{ cores, boot float64 }
	up, boots := -busy.Deaf, []supply{}
	rented := -busy.Cores // ordinary cores that the others leave
	for _, k := range known {
		if t := f.types[k.Rec.Type]; t != nil && !retiring[k.ID] {
			up += t.Cores
			if !k.Rec.Spot && !k.Rec.Own {
				rented += t.Cores
			}
		}
	}
	for _, id := range f.bootingIDs() {
		b := f.booting[id]
		if t := f.types[b.typ]; t != nil && !f.late[id] {
			boots = append(boots, supply{t.Cores, max(0, t.Boot-(now-b.since).Seconds())})
			if !b.spot {
				rented += t.Cores
			}
		}
	}
	fastest := math.Inf(1)
	for _, t := range f.types {
		fastest = min(fastest, t.Boot)
	}
	held := busy.Cores
	type due struct {
		in, work float64
		rank     int
	}
	var d demand
	var list []due
	for _, g := range gaps {
		c := float64(g.Tasks) * max(g.Job.Cores, g.Job.GPUs)
		if !g.Job.Spot {
			held += c
			continue
		}
		d.cores += c
		e := max(g.Job.Estimate, 1)
		if len(g.Due) == 0 { // as soon as it could be
			list = append(list, due{max(e/2, 2*fastest), c * e, g.Job.Rank})
		}
		for _, at := range g.Due {
			// The first that can still be met without an effort out of
			// proportion, by machines that would be up for half of the time. A
			// part of an estimate is kept for what estimates miss.
			if in := at - g.Waited - 1.25*e; in >= max(e/2, 2*fastest) {
				list = append(list, due{in, c * e, g.Job.Rank})
				break
			}
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].in < list[k].in })
	d.spared = true
	rented = max(0, rented)
	work := busy.Work
	for _, g := range list {
		work += g.work
		capacity := up - held
		for _, s := range boots {
			capacity += s.cores * max(0, 1-s.boot/g.in)
		}
		missing := work/g.in + f.coming(g.rank) - max(0, capacity)
		d.short = append(d.short, short{g.in, missing})
		if missing+rented > 0 {
			d.spared = false
		}
	}
	return d
}
